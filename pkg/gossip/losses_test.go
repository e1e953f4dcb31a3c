package gossip_test

import (
	"testing"
	"time"
)

// Guards against hosts that repeatedly switch from live aggregators back to lost ones, which
// makes the advertised hosts change every few seconds.
func TestHostsAgreeAfterLosses(t *testing.T) { checkLosses(t, 1, 2, 3, 4) }

// Guards against hosts disagreeing on whether the fleet has levels after it has shrunk below the
// size from which levels are used.
func TestHostsAgreeNearLevelThreshold(t *testing.T) { checkLosses(t, 12) }

// Guards against more than 2% of the hosts advertising a different set than the others for some
// seconds.
func TestFewHostsAdvertiseAnotherSet(t *testing.T) { checkLosses(t, 29, 30) }

// loseMostHosts kills a data centre, a third of the other hosts and the core, and advances the time
// by 16 s after each of these losses.
func (f *simFleet) loseMostHosts() {
	f.advance(10 * time.Second)
	for _, matches := range []func(*simHost) bool{
		func(h *simHost) bool { return h.self.DataCenter == "dc1" },
		func(*simHost) bool { return f.random.IntN(3) == 0 },
		func(h *simHost) bool { return h.members.InCore(h.self.Node) },
	} {
		f.kill(matches)
		f.advance(16 * time.Second)
	}
}

// Guards against hosts of a shrunken fleet that no longer receive digests before they know each
// other, so that up to a quarter of them advertise another set.
func TestHostsAgreeWhileFleetLosesLevels(t *testing.T) {
	const (
		forgottenAfter = 20 * time.Second
		observedTime   = 70 * time.Second
	)
	f := newSimFleet(200, 29)
	f.flatRows = true
	f.loseMostHosts()
	worst, flat := 0, 0
	for end := f.now.Add(observedTime); f.now.Before(end); {
		f.advance(time.Second)
		for _, h := range f.hosts {
			for _, incarnation := range h.members.SilentIncarnations(forgottenAfter) {
				h.members.Remove(incarnation)
			}
			h.members.Prune(forgottenAfter)
		}
		worst = max(worst, f.countDisagreeing())
	}
	for _, h := range f.hosts {
		if !h.dead && !h.members.IsHierarchical() {
			flat++
		}
	}
	if flat == 0 || worst > 4 {
		t.Errorf("in %v after the last loss: got %d hosts without levels and up to %d that advertise a different set than most, want some and at most 4", observedTime, flat, worst)
	}
}

func checkLosses(t *testing.T, seeds ...uint64) {
	t.Helper()
	const (
		settleTime   = 25 * time.Second
		observedTime = 25 * time.Second
	)
	for _, seed := range seeds {
		f := newSimFleet(*fleetHosts, seed)
		f.loseMostHosts()
		f.advance(settleTime - 16*time.Second)
		worst := 0
		for end := f.now.Add(observedTime); f.now.Before(end); {
			f.advance(time.Second)
			worst = max(worst, f.countDisagreeing())
		}
		if tolerated := *fleetHosts / 50; worst > tolerated {
			t.Errorf("seed %d, from %v after the last loss: got up to %d hosts that advertise a different set than most, want at most %d", seed, settleTime, worst, tolerated)
		}
	}
}
