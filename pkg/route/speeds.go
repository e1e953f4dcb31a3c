package route

import (
	"cmp"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
)

// SpeedReport is what the answers that an entry received since its previous report show about the
// speed of an endpoint.
type SpeedReport struct {
	Endpoint endpoint.Ref
	Evidence enginemodel.Evidence
}

const (
	// maxSpeedReports is the number of endpoints in one report, as many as fit in a datagram.
	// The others are reported in the next round.
	maxSpeedReports = 24
	// factorInterval is the time after which the factors of a target's endpoints are computed
	// again. Computing them takes time proportional to the number of endpoints.
	factorInterval = 250 * time.Millisecond
)

// timings returns the estimated timings of an endpoint: those of its service, scaled by the
// endpoint's factor.
func (s *slot) timings() enginemodel.Timings {
	t := s.group.speed.Timings()
	if s.load.factor == 1 {
		return t
	}
	scale := func(d time.Duration) time.Duration { return time.Duration(s.load.factor * float64(d)) }
	t.FixedTime, t.PrefillPerToken, t.TokenGap = scale(t.FixedTime), scale(t.PrefillPerToken), scale(t.TokenGap)
	return t
}

// updateSpeed updates the estimates of the service and of the endpoint from a result. The
// group's lock must be held.
func (s *slot) updateSpeed(c Choice, result Result, now time.Time) {
	uncached := c.uncachedTokens
	if result.TokensReported {
		uncached = max(result.PromptTokens-result.CachedTokens, 0)
	}
	sample := enginemodel.Sample{
		PrefillTokens: uncached + c.aheadTokens, FirstToken: result.FirstToken, DecodedTokens: result.Tokens, DecodeTime: result.Decode,
		BatchShare: c.batchShare, ShortQueue: c.Queued <= c.Wait-c.Queued,
	}
	if evidence := s.group.speed.Compare(sample); evidence.Weight > 0 {
		s.load.relative.Add(evidence, now)
		s.load.unsentSpeed = s.load.unsentSpeed.Plus(evidence)
		s.group.hasSpeeds = true
	}
	s.group.speed.Observe(sample.DividedBy(s.load.factor))
}

// refreshFactors computes the factors of the endpoints if that is due. The group's lock must be
// held.
func (g *group) refreshFactors(now time.Time) {
	if !g.hasSpeeds || now.Sub(g.factorsAt) < factorInterval {
		return
	}
	g.factorsAt = now
	endpoints := make([]*enginemodel.Relative, len(g.slots))
	for i, s := range g.slots {
		endpoints[i] = &s.load.relative
	}
	for i, factor := range enginemodel.Factors(nil, endpoints, now) {
		g.slots[i].load.factor = factor
	}
}

// DrainSpeeds returns the evidence on the speed of endpoints that this entry has not reported yet,
// and counts it as reported. It returns at most maxSpeedReports endpoints, those with most evidence.
func (r *Router) DrainSpeeds() []SpeedReport {
	if !r.hasUnsentSpeeds.Swap(false) {
		return nil
	}
	var unsent []*slot
	weights := map[*slot]float64{}
	r.eachKnownSlot(func(s *slot) {
		if weight := s.load.unsentSpeed.Weight; weight > 0 {
			unsent = append(unsent, s)
			weights[s] = weight
		}
	})
	slices.SortFunc(unsent, func(a, b *slot) int {
		return cmp.Or(cmp.Compare(weights[b], weights[a]), cmp.Compare(a.hash, b.hash))
	})
	if len(unsent) > maxSpeedReports {
		unsent = unsent[:maxSpeedReports]
		r.hasUnsentSpeeds.Store(true)
	}
	reports := make([]SpeedReport, 0, len(unsent))
	for _, s := range unsent {
		s.group.mu.Lock()
		reports = append(reports, SpeedReport{s.info.Ref(), s.load.unsentSpeed})
		s.load.unsentSpeed = enginemodel.Evidence{}
		s.group.mu.Unlock()
	}
	return reports
}

// eachKnownSlot calls visit for each slot, under its group's lock. It does not update the groups
// from the directory.
func (r *Router) eachKnownSlot(visit func(*slot)) {
	r.mu.RLock()
	byID := r.byID
	r.mu.RUnlock()
	for _, s := range byID {
		s.group.mu.Lock()
		visit(s)
		s.group.mu.Unlock()
	}
}

// ApplySpeeds applies the reports of another entry and returns how many of them were used. Invalid
// reports and those about incarnations that this entry does not use are ignored.
func (r *Router) ApplySpeeds(reports []SpeedReport, now time.Time) (used int) {
	r.mu.RLock()
	byID := r.byID
	r.mu.RUnlock()
	for _, report := range reports {
		evidence, ok := report.Evidence.Bounded()
		s := byID[report.Endpoint.ID]
		if s == nil || !ok {
			continue
		}
		s.group.mu.Lock()
		if s.info.Ref() == report.Endpoint {
			s.load.relative.Add(evidence, now)
			s.group.hasSpeeds = true
			used++
		}
		s.group.mu.Unlock()
	}
	return used
}

// SpeedSpread is the least and the greatest factor of a service's endpoints: the time that an
// endpoint takes relative to the others. Both are 1 if the endpoints count as equal.
type SpeedSpread struct {
	Target          Target
	Least, Greatest float64
}

// SpeedSpreads returns the spread of each service that has endpoints. Targets that also name a model
// are left out.
func (r *Router) SpeedSpreads() []SpeedSpread {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []SpeedSpread
	for target, g := range r.groups {
		g.mu.Lock()
		if len(g.slots) > 0 && target.Model == "" {
			spread := SpeedSpread{target, g.slots[0].load.factor, g.slots[0].load.factor}
			for _, s := range g.slots[1:] {
				spread.Least, spread.Greatest = min(spread.Least, s.load.factor), max(spread.Greatest, s.load.factor)
			}
			list = append(list, spread)
		}
		g.mu.Unlock()
	}
	return list
}
