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

func TestStartsFromTheOperatorsFigure(t *testing.T) {
	e := hazard.New()
	e.SetPrior(north, 0.3, start)
	if got := e.Rate(north, start); got != 0.3 {
		t.Errorf("got %v, want 0.3", got)
	}
}

// TestLearnsARateAndForgets lets ten hosts lose one an hour for two days, and
// then none for two days.
func TestLearnsARateAndForgets(t *testing.T) {
	e := hazard.New()
	e.SetPrior(north, 0.01, start)
	e.SetHosts(north, 10, start)
	at := start
	for range 48 {
		at = at.Add(time.Hour)
		e.RecordReclaim(north, 1, at)
	}
	quiet := at.Add(59 * time.Minute) // The surge of the last reclaim has died away.
	if got := e.Rate(north, quiet); got < 0.05 || got > 0.15 {
		t.Errorf("one of ten hosts an hour: got %.3f, want about 0.1", got)
	}
	if got := e.Rate(north, at.Add(48*time.Hour)); got > 0.02 {
		t.Errorf("after two days without: got %.3f, want nearly the operator's 0.01", got)
	}
}

// TestWaveRaisesItsNeighboursToo loses a whole data centre.
func TestWaveRaisesItsNeighboursToo(t *testing.T) {
	e := hazard.New()
	for _, p := range []hazard.Pool{north, south} {
		e.SetPrior(p, 0.05, start)
		e.SetHosts(p, 5, start)
	}
	e.RecordReclaim(north, 5, start)
	hit, near := e.Rate(north, start), e.Rate(south, start)
	if hit < 10 || near < 1 || near > hit/2 {
		t.Errorf("right after: got %.1f there and %.1f beside it, want both raised, there more", hit, near)
	}
	if got := e.Rate(south, start.Add(time.Hour)); got > 0.1 {
		t.Errorf("an hour later: got %.3f beside it, want the operator's figure again", got)
	}
}

func TestRefusalsCountForLess(t *testing.T) {
	e := hazard.New()
	before := e.Rate(north, start)
	e.RecordRefusal(north, start)
	refused := e.Rate(north, start)
	e.RecordReclaim(south, 1, start)
	if refused <= before || refused >= e.Rate(south, start) {
		t.Errorf("got %.3f before, %.3f after a refusal, %.3f after a reclaim; want them to grow", before, refused, e.Rate(south, start))
	}
}
