package autoscale

import (
	"math"
	"time"
)

// Demand is the load that a service must be able to serve.
type Demand struct {
	// Load is the offered load over all entries, in engine seconds a second.
	Load float64
	// SlotTime and TokenTime are the slots and the tokens of memory that requests hold at a
	// time, over all entries.
	SlotTime, TokenTime float64
	// Refused is the number of endpoints needed so that no work is refused for lack of room,
	// 0 if none was.
	Refused float64
	// Measured is false until load has been observed for a while. Until then the need
	// is derived from the number of endpoints allowed.
	Measured bool
	// MaxLoad is the load that the teams' limits allow, in engine seconds a second; 0
	// if not all teams are limited.
	MaxLoad float64
}

// Observation is what all entries measured of a service.
type Observation struct {
	// Load is the offered load in engine seconds a second.
	Load float64
	// SlotTime and TokenTime are the slots and the tokens of memory that requests hold at a
	// time.
	SlotTime, TokenTime float64
	// Offered is the offered load of the entries that measure refusals, Refused the part of
	// it that was refused for lack of room.
	Offered, Refused float64
	// Serving is the number of endpoints that serve.
	Serving int
}

// refusedShare returns the share of the offered load that was refused.
func (o Observation) refusedShare() float64 {
	if o.Offered <= 0 {
		return 0
	}
	return min(max(o.Refused/o.Offered, 0), maxRefusedShare)
}

// Parameters of the load measurement.
const (
	// measuredAfter is how long after its first load a service counts as measured. The
	// observed load is itself an average over some seconds.
	measuredAfter = 12 * time.Second
	// loadDecayTime is the time constant with which the peak load decays: when hosts
	// die the observed load drops at once, but their callers come back.
	loadDecayTime = 20 * time.Second
	// refusalWindow is the time constant over which entries average the refused share.
	// The number of endpoints is averaged in the same way: those that have just begun to
	// serve have not lowered the share yet, and counting them would order as many again.
	refusalWindow = 4 * time.Second
	// minRefusedShare is the refused share from which callers count as refused. While they do,
	// the demand does not decay.
	minRefusedShare = 0.02
	// highRefusedShare is the refused share from which endpoints are added at once; a
	// lower one must last for lowRefusedTime. A queue that is full for 0.3 s gives a share of
	// 0.08, which takes 5.5 s to decay below minRefusedShare.
	highRefusedShare = 0.1
	lowRefusedTime   = 8 * time.Second
	// maxRefusedShare bounds the refused share, so that the endpoints ordered for it within
	// a boot time are at most three times those that serve.
	maxRefusedShare = 0.75
)

// DemandTracker tracks the load of each service that the holder of the lease has
// observed. It is not safe for concurrent use.
type DemandTracker struct {
	services map[string]*serviceLoad
}

// serviceLoad is the observed load of one service.
type serviceLoad struct {
	// firstLoadAt is when load was first observed; zero before.
	firstLoadAt time.Time
	// peak has the decaying peaks at updatedAt.
	peak      peaks
	updatedAt time.Time
	// serving is the number of endpoints that served, averaged over refusalWindow. It starts
	// at 0, as the first refused share may be from before the present endpoints served.
	serving float64
	// refusedSince is when callers began to be refused, zero while they are not.
	refusedSince time.Time
}

// peaks are the peaks of what a service needs; see Demand.
type peaks struct{ load, slotTime, tokenTime, refused float64 }

func (p peaks) scaled(factor float64) peaks {
	return peaks{p.load * factor, p.slotTime * factor, p.tokenTime * factor, p.refused * factor}
}

// NewDemandTracker returns a DemandTracker without any observations.
func NewDemandTracker() *DemandTracker { return &DemandTracker{services: map[string]*serviceLoad{}} }

// Observe records what is measured now and returns the service's demand. While callers are
// refused, the demand does not fall.
func (t *DemandTracker) Observe(service string, o Observation, now time.Time) Demand {
	state, ok := t.services[service]
	if !ok {
		state = &serviceLoad{updatedAt: now}
		t.services[service] = state
	}
	if o.Load > 0 && state.firstLoadAt.IsZero() {
		state.firstLoadAt = now
	}
	elapsed := now.Sub(state.updatedAt)
	state.updatedAt = now
	state.serving += (float64(o.Serving) - state.serving) * (1 - math.Exp(-elapsed.Seconds()/refusalWindow.Seconds()))
	refused := state.observeRefusals(o, now)
	if state.refusedSince.IsZero() {
		state.peak = state.peak.scaled(math.Exp(-elapsed.Seconds() / loadDecayTime.Seconds()))
	}
	p := &state.peak
	p.load, p.slotTime, p.tokenTime, p.refused = max(o.Load, p.load), max(o.SlotTime, p.slotTime), max(o.TokenTime, p.tokenTime), max(refused, p.refused)
	return Demand{
		Load: p.load, SlotTime: p.slotTime, TokenTime: p.tokenTime, Refused: p.refused,
		Measured: !state.firstLoadAt.IsZero() && now.Sub(state.firstLoadAt) > measuredAfter,
	}
}

// observeRefusals records whether callers are refused and returns the number of endpoints
// that this shows to be needed, 0 if none.
func (s *serviceLoad) observeRefusals(o Observation, now time.Time) float64 {
	share := o.refusedShare()
	if share < minRefusedShare {
		s.refusedSince = time.Time{}
		return 0
	}
	if s.refusedSince.IsZero() {
		s.refusedSince = now
	}
	if share < highRefusedShare && now.Sub(s.refusedSince) < lowRefusedTime {
		return 0
	}
	// After a loss, the average number of endpoints is above the present one.
	return min(s.serving, float64(o.Serving)) / (1 - share)
}
