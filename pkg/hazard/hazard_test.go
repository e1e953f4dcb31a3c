package hazard_test

import (
	"testing"
	"time"

	"ironhollow/pkg/hazard"
)

var (
	start = time.UnixMilli(1_800_000_000_000)
	north = hazard.Pool{DataCenter: "north", Class: "c"}
	south = hazard.Pool{DataCenter: "south", Class: "c"}
)

func TestRateStartsFromPrior(t *testing.T) {
	e := hazard.New()
	e.SetPrior(north, 0.3, start)
	if got := e.Rate(north, start); got != 0.3 {
		t.Errorf("rate without observations: got %v, want the prior of 0.3", got)
	}
}

// TestRateFollowsReclaimsAndDecays reclaims one of ten hosts an hour for two days and then none
// for two days.
func TestRateFollowsReclaimsAndDecays(t *testing.T) {
	e := hazard.New()
	e.SetPrior(north, 0.01, start)
	e.SetHosts(north, 10, start)
	at := start
	for range 48 {
		at = at.Add(time.Hour)
		e.RecordReclaim(north, 1, at)
	}
	quiet := at.Add(59 * time.Minute) // The surge of the last reclaim has decayed.
	if got := e.Rate(north, quiet); got < 0.05 || got > 0.15 {
		t.Errorf("one reclaim of ten hosts an hour: got a rate of %.3f, want about 0.1", got)
	}
	if got := e.Rate(north, at.Add(48*time.Hour)); got > 0.02 {
		t.Errorf("after two days without reclaims: got a rate of %.3f, want close to the prior of 0.01", got)
	}
}

// TestWaveRaisesRateInOtherDataCenters loses all hosts of one data centre: the rate must rise
// there, and less so in the other data centre, and decay within an hour.
func TestWaveRaisesRateInOtherDataCenters(t *testing.T) {
	e := hazard.New()
	for _, p := range []hazard.Pool{north, south} {
		e.SetPrior(p, 0.05, start)
		e.SetHosts(p, 5, start)
	}
	e.RecordReclaim(north, 5, start)
	lost, other := e.Rate(north, start), e.Rate(south, start)
	if lost < 10 || other < 1 || other > lost/2 {
		t.Errorf("right after the wave: got rates of %.1f in its data centre and %.1f in the other, want both raised, the first at least twice as much", lost, other)
	}
	if got := e.Rate(south, start.Add(time.Hour)); got > 0.1 {
		t.Errorf("an hour after the wave: got a rate of %.3f in the other data centre, want the prior again", got)
	}
}

func TestRefusalsWeighLessThanReclaims(t *testing.T) {
	e := hazard.New()
	before := e.Rate(north, start)
	e.RecordRefusal(north, start)
	refused := e.Rate(north, start)
	e.RecordReclaim(south, 1, start)
	if refused <= before || refused >= e.Rate(south, start) {
		t.Errorf("rates: got %.3f before, %.3f after a refusal, %.3f after a reclaim; want each above the one before it", before, refused, e.Rate(south, start))
	}
}
