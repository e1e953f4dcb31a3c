package rollout

import (
	"cmp"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
)

// Attempt is an attempt of a request that is in progress at an endpoint. Its fields are guarded by
// its service's lock.
type Attempt struct {
	service string
	info    endpoint.Info
	kind    Kind
	// expected is how long the answer should take; one second if there is no estimate.
	expected  time.Duration
	startedAt time.Time
	answered  bool
}

// StartAttempt records that a request is sent to an endpoint. expected is the estimated time until
// its answer, or until the first event of a stream; 0 if there is no estimate. Every attempt must
// be ended with FinishAttempt. It is nil if roll-outs are disabled.
func (s *Splitter) StartAttempt(name string, info *endpoint.Info, kind Kind, expected time.Duration, now time.Time) *Attempt {
	if !s.bounds.Enabled() {
		return nil
	}
	if expected <= 0 {
		expected = time.Second
	}
	attempt := &Attempt{service: name, info: *info, kind: kind, expected: expected, startedAt: now}
	svc := s.getOrCreate(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	svc.inFlight[info.Release]++
	if state := svc.current; state != nil && info.Release == state.order.Target {
		state.targetRequests++
		state.pending[attempt] = struct{}{}
	}
	return attempt
}

// FinishAttempt records that an attempt is no longer in progress.
func (s *Splitter) FinishAttempt(attempt *Attempt, now time.Time) {
	if attempt == nil {
		return
	}
	svc := s.getOrCreate(attempt.service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	release := attempt.info.Release
	if svc.inFlight[release] > 1 {
		svc.inFlight[release]--
	} else {
		delete(svc.inFlight, release)
	}
	if state := svc.current; state != nil {
		delete(state.pending, attempt)
		if release == state.order.Target {
			return
		}
	}
	if took := now.Sub(attempt.startedAt); took >= svc.longestOther || now.Sub(svc.longestOtherAt) > longestOtherTTL {
		svc.longestOther, svc.longestOtherAt = took, now
	}
}

// RecordAnswer records that an endpoint has answered, or that the first event of a stream has
// arrived.
func (s *Splitter) RecordAnswer(attempt *Attempt, failed bool, now time.Time) {
	if attempt == nil {
		return
	}
	svc := s.getOrCreate(attempt.service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	attempt.answered = true
	if state := svc.inProgress(); state != nil {
		state.tally(attempt.kind, state.isTarget(attempt), attempt.info.ID, failed)
	}
	if !failed {
		svc.recordDuration(attempt, attempt.kind.durationKind(), now.Sub(attempt.startedAt).Seconds()/attempt.expected.Seconds(), now)
	}
}

// RecordStream records how a stream continued after its first event. slowdown is the interval
// between its events divided by the expected one, 0 if it was not measured.
func (s *Splitter) RecordStream(attempt *Attempt, slowdown float64, failed bool, now time.Time) {
	if attempt == nil {
		return
	}
	svc := s.getOrCreate(attempt.service)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	kind := attempt.kind.streamKind()
	if state := svc.inProgress(); state != nil {
		state.tally(kind, state.isTarget(attempt), attempt.info.ID, failed)
	}
	if !failed && slowdown > 0 {
		svc.recordDuration(attempt, kind.durationKind(), slowdown, now)
	}
}

// inProgress returns the order for which evidence is collected, nil if there is none. The caller
// holds the lock.
func (svc *service) inProgress() *orderState {
	if svc.current == nil || svc.current.phase.Ended() {
		return nil
	}
	return svc.current
}

func (state *orderState) isTarget(attempt *Attempt) bool {
	return attempt.info.Release == state.order.Target
}

// recordDuration records how long an answer took. Endpoints that are slow because they have just
// started are ignored, since they say nothing about the speed of their version. The caller holds
// the lock.
func (svc *service) recordDuration(attempt *Attempt, kind Kind, value float64, now time.Time) {
	if attempt.info.Cold {
		return
	}
	state := svc.inProgress()
	r := svc.baselineOf(kind)
	r.rotate(now)
	threshold, known := svc.slowThreshold(kind, r)
	if state == nil || !state.isTarget(attempt) {
		r.add(value, now)
	}
	if state != nil && known {
		state.tally(kind, state.isTarget(attempt), attempt.info.ID, value > threshold)
	}
}

// durationKind returns the kind for the duration of the answers of a kind, streamKind the kind for
// its streams after their first event.
func (k Kind) durationKind() Kind { return k ^ 1 }

func (k Kind) streamKind() Kind { return k ^ 2 }

// slowThreshold returns the value above which answers of a kind are slow: this host's own, or that
// of all hosts while this one has too few answers. The caller holds the lock.
func (svc *service) slowThreshold(kind Kind, r *baseline) (threshold float64, ok bool) {
	if r.answers() >= minBaselineAnswers {
		return r.slowThreshold()
	}
	if svc.current == nil {
		return 0, false
	}
	for _, b := range svc.current.directive.SlowThresholds {
		if b.Kind == kind {
			return b.Value, true
		}
	}
	return 0, false
}

func (svc *service) baselineOf(kind Kind) *baseline {
	r, ok := svc.baselines[kind]
	if !ok {
		r = &baseline{}
		svc.baselines[kind] = r
	}
	return r
}

// Report returns what this host has counted for an order; the second result is false if the host
// does not know the order.
func (s *Splitter) Report(name string, order int64, now time.Time) (Report, bool) {
	svc := s.find(name)
	if svc == nil {
		return Report{}, false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	if state == nil || state.order.ID != order {
		return Report{}, false
	}
	r := Report{
		Service: name, Order: order, Phase: state.phase, Epoch: state.directive.Epoch, Number: state.directive.Number,
		Requests: state.requests, TargetRequests: state.targetRequests, LongestOther: svc.longestOther,
	}
	for release, n := range svc.inFlight {
		if release != state.order.Target {
			r.OthersRunning += n
		}
	}
	overdue := svc.overdue(now)
	for key, count := range state.tallies {
		sum := *count
		sum.add(overdue[key])
		delete(overdue, key)
		r.Tallies = append(r.Tallies, Tally{Kind: key.kind, Endpoint: key.endpoint, Count: sum})
	}
	for key, count := range overdue {
		r.Tallies = append(r.Tallies, Tally{Kind: key.kind, Endpoint: key.endpoint, Count: count})
	}
	for kind, base := range svc.baselines {
		if threshold, ok := base.slowThreshold(); ok {
			r.SlowThresholds = append(r.SlowThresholds, SlowThreshold{Kind: kind, Value: threshold, Answers: base.answers()})
		}
	}
	slices.SortFunc(r.SlowThresholds, func(a, b SlowThreshold) int { return cmp.Compare(a.Kind, b.Kind) })
	slices.SortFunc(r.Tallies, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Kind, b.Kind))
	})
	return r, true
}

// overdue counts the attempts at the target that are not answered yet and already take longer than
// the slow threshold. Slow answers arrive last, so the answers alone would favour the target. The
// caller holds the lock.
func (svc *service) overdue(now time.Time) map[tallyKey]Count {
	counts := map[tallyKey]Count{}
	for attempt := range svc.current.pending {
		if attempt.answered || attempt.info.Cold {
			continue
		}
		kind := attempt.kind.durationKind()
		threshold, known := svc.slowThreshold(kind, svc.baselineOf(kind))
		if known && now.Sub(attempt.startedAt).Seconds()/attempt.expected.Seconds() > threshold {
			key := tallyKey{kind, svc.current.tallyEndpoint(attempt.info.ID)}
			c := counts[key]
			c.add(Count{Answers: 1, Bad: 1})
			counts[key] = c
		}
	}
	return counts
}

// ObserveRelease records the version of an endpoint before the first request can be sent to it. A
// version that was not present at start-up gets no requests until an order for it is received or
// withholdTime has passed.
func (s *Splitter) ObserveRelease(name, release string, now time.Time) {
	if !s.bounds.Enabled() {
		return
	}
	s.mu.RLock()
	initialKnown := s.initialEndpointsKnown
	s.mu.RUnlock()
	svc := s.getOrCreate(name)
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if _, known := svc.firstSeen[release]; known {
		return
	}
	if !initialKnown || len(svc.firstSeen) == 0 {
		svc.firstSeen[release] = time.Time{}
		return
	}
	svc.firstSeen[release] = now
	svc.withheld = append(slices.Clone(svc.withheld), release)
	svc.updateRules()
}

// UpdateEndpoints applies the current list of endpoints. fresh is whether the operator's rows are
// being received; new versions stay withheld while they are not.
func (s *Splitter) UpdateEndpoints(infos []endpoint.Info, fresh bool, now time.Time) {
	if !s.bounds.Enabled() {
		return
	}
	s.mu.Lock()
	s.initialEndpointsKnown = true
	s.mu.Unlock()
	s.forEach(func(svc *service) { svc.endWithholding(fresh, now) })
	for _, order := range s.OpenOrders() {
		s.getOrCreate(order.Service).updateEndpoints(order, infos)
	}
}

// endWithholding admits new versions whose order would have been received by now. The caller holds
// the lock.
func (svc *service) endWithholding(fresh bool, now time.Time) {
	if len(svc.withheld) == 0 {
		return
	}
	svc.withheld = slices.DeleteFunc(slices.Clone(svc.withheld), func(release string) bool {
		return fresh && now.Sub(svc.firstSeen[release]) > withholdTime
	})
	svc.updateRules()
}

// updateEndpoints updates the target's endpoints and selects those that are tried.
func (svc *service) updateEndpoints(order Order, infos []endpoint.Info) {
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	if state == nil || state.order.ID != order.ID {
		return
	}
	others := 0
	var targets []*endpoint.Info
	for i := range infos {
		info := &infos[i]
		switch {
		case info.Service != order.Service || !info.AcceptsWork():
		case info.Release == order.Target:
			targets = append(targets, info)
		case !slices.Contains(svc.excluded, info.Release):
			others++
		}
	}
	if !state.endpointsKnown {
		state.endpointsKnown, state.nothingToSplit = true, others == 0 && state.targetInUse
	}
	state.targetEndpoints, state.otherEndpoints = targets, others
	state.selectTrialEndpoints()
	svc.updateRules()
}
