package limit_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"ironhollow/pkg/limit"
)

// Limits in tokens of a team with large prompts.
var (
	tokenTolerance = limit.Tolerance{Window: 8 * time.Second, Overrun: 0.1, Slack: 190_000}
	tokenTeam      = limit.TeamLimit{Name: "t", Rate: 287_000, Burst: 287_000}
)

func bound(team limit.TeamLimit) float64 {
	return (team.Rate*tokenTolerance.Window.Seconds()+team.Burst)*(1+tokenTolerance.Overrun) + tokenTolerance.Slack
}

// entries is a fleet in virtual time.
type entries struct {
	limiters []*limit.CostLimiter
	// names are the names of the entries' processes, new after each restart.
	names []string
	// restartCount is the number of restarts so far.
	restartCount int
	// restarts are the entries to restart by time since the start of run.
	restarts map[time.Duration][]int
	// outage is how long no entry serves before each restart. If outageKnown is set, the
	// entries know of it, except for 300 ms by which users' rows may be late.
	outage      time.Duration
	outageKnown bool
	// priority is the priority of all requests.
	priority int
	// connected reports whether the reports of one entry reach another.
	connected func(from, to int) bool
}

// restart replaces entries by new ones without state.
func (e *entries) restart(now time.Time, which ...int) {
	for _, i := range which {
		e.limiters[i] = limit.NewCostLimiter(tokenTolerance, now)
		e.limiters[i].SetFleet(len(e.limiters), 0)
		e.restartCount++
		e.names[i] = fmt.Sprint(i, ".", e.restartCount)
		if e.outageKnown {
			e.limiters[i].FleetRestarted(max(e.outage-300*time.Millisecond, 0))
		}
	}
}

// inOutage reports whether no entry serves.
func (e *entries) inOutage(at time.Duration) bool {
	for restart := range e.restarts {
		if at >= restart-e.outage && at < restart {
			return true
		}
	}
	return false
}

func newEntries(n int, start time.Time) *entries {
	e := &entries{connected: func(int, int) bool { return true }}
	for range n {
		s := limit.NewCostLimiter(tokenTolerance, start)
		s.SetFleet(n, 0)
		e.limiters = append(e.limiters, s)
		e.names = append(e.names, fmt.Sprint(len(e.names)))
	}
	return e
}

func (e *entries) exchange(now time.Time) {
	for from, l := range e.limiters {
		own := l.LocalUsage(now)
		for to, other := range e.limiters {
			if from != to && e.connected(from, to) {
				other.ApplyPeer(e.names[from], own, now)
			}
		}
	}
}

// run sends requests of a total cost per second to random entries. It returns the cost
// admitted in the worst window, admitted in total, and requested in total.
func (e *entries) run(team limit.TeamLimit, requestedRate float64, start time.Time, length time.Duration, seed uint64) (worst, total, requested float64) {
	random := rand.New(rand.NewPCG(seed, 1))
	type admission struct {
		at   time.Duration
		cost float64
	}
	var admitted []admission
	const step = 5 * time.Millisecond
	for at := time.Duration(0); at < length; at += step {
		e.restart(start.Add(at), e.restarts[at]...)
		if e.inOutage(at) {
			continue
		}
		if at%(200*time.Millisecond) == 0 {
			e.exchange(start.Add(at))
		}
		for budget := requestedRate * step.Seconds(); budget > 0; {
			cost := 1000 + random.ExpFloat64()*14_000
			if random.Float64() > budget/cost {
				break
			}
			budget -= cost
			requested += cost
			request := limit.Request{Cost: cost, Priority: e.priority}
			if e.limiters[random.IntN(len(e.limiters))].Allow(team, request, start.Add(at)).Admitted {
				admitted = append(admitted, admission{at, cost})
				total += cost
			}
		}
	}
	first, sum := 0, 0.0
	for _, a := range admitted {
		sum += a.cost
		for a.at-admitted[first].at > tokenTolerance.Window {
			sum -= admitted[first].cost
			first++
		}
		worst = max(worst, sum)
	}
	return worst, total, requested
}

// A team that requests several times its limit gets the limit, and no more.
func TestSharedLimitIsHeldOverEntries(t *testing.T) {
	for _, n := range []int{1, 3, 9, 30} {
		for seed := range uint64(5) {
			start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			e := newEntries(n, start.Add(-10*time.Second))
			worst, total, _ := e.run(tokenTeam, 5*tokenTeam.Rate, start, 30*time.Second, seed)
			if worst > bound(tokenTeam) {
				t.Errorf("%d entries, seed %d: admitted in a window: got %.0f, want at most %.0f", n, seed, worst, bound(tokenTeam))
			}
			if least := 0.95 * tokenTeam.Rate * 30; total < least {
				t.Errorf("%d entries, seed %d: admitted in 30 s: got %.0f, want %.0f or more", n, seed, total, least)
			}
		}
	}
}

// A team below its limit is served, also if the limit is small and its requests are large and
// spread over all entries.
func TestSharedLimitAdmitsRequestsBelowIt(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	team := limit.TeamLimit{Name: "t", Rate: 150_000, Burst: 150_000}
	e := newEntries(9, start.Add(-10*time.Second))
	_, total, requested := e.run(team, team.Rate*0.6, start, 60*time.Second, 1)
	if total < 0.99*requested {
		t.Errorf("admitted: got %.0f, want %.0f or more of %.0f requested", total, 0.99*requested, requested)
	}
}

// Guards against exceeding the limit in a partition: three of nine entries are cut off, each
// alone, and continue to serve.
func TestSharedLimitWhileEntriesAreCutOff(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	e := newEntries(9, start.Add(-10*time.Second))
	e.connected = func(from, to int) bool { return from < 6 && to < 6 }
	for i, l := range e.limiters {
		reachable := 6
		if i >= 6 {
			reachable = 1
		}
		l.SetFleet(reachable, 9-reachable)
	}
	worst, _, _ := e.run(tokenTeam, 5*tokenTeam.Rate, start, 30*time.Second, 2)
	if worst > bound(tokenTeam) {
		t.Errorf("admitted in a window: got %.0f, want at most %.0f", worst, bound(tokenTeam))
	}
}

// A process that replaces a killed one starts without a burst, because the killed one may just
// have used it.
func TestRestartGivesNoSecondBurst(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := limit.NewCostLimiter(limit.Tolerance{}, start)
	team := limit.TeamLimit{Name: "t", Rate: 100, Burst: 1000}
	admitted := 0
	for range 1000 {
		if s.Allow(team, limit.Request{Cost: 1}, start.Add(time.Second)).Admitted {
			admitted++
		}
	}
	if want := 100; admitted != want {
		t.Errorf("admitted a second after the start: got %d, want %d", admitted, want)
	}
}

func TestRejectionHasTimeOfAvailability(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := limit.NewCostLimiter(limit.Tolerance{}, start.Add(-time.Minute))
	team := limit.TeamLimit{Name: "t", Rate: 100, Burst: 100}
	if !s.Allow(team, limit.Request{Cost: 100}, start).Admitted {
		t.Fatal("first request: got rejected, want admitted")
	}
	rejected := s.Allow(team, limit.Request{Cost: 50}, start)
	if rejected.Admitted || rejected.Wait != 500*time.Millisecond || rejected.Available != 0 || rejected.Required != 50 {
		t.Errorf("second request: got %+v, want rejected for 500ms with 0 available of 50 required", rejected)
	}
	if !s.Allow(team, limit.Request{Cost: 50}, start.Add(rejected.Wait)).Admitted {
		t.Error("after that time: got rejected, want admitted")
	}
}

// A new entry takes the mean cost from the team's first request, and estimates the contenders
// from the demand at the other entries rather than from their number.
func TestFirstRequestSetsMeanCost(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := start.Add(500 * time.Millisecond)
	const cost = 15_000
	s := limit.NewCostLimiter(tokenTolerance, start)
	for i := range 8 {
		s.ApplyPeer(fmt.Sprint(i), []limit.TeamUsage{{Team: tokenTeam.Name, RequestedRate: cost}}, at)
	}
	d := s.Allow(tokenTeam, limit.Request{Cost: cost}, at)
	// Eight entries with one request per second each, whose reports take 0.3 s.
	if want := 1 + 8*0.3; d.Contenders < want-0.1 || d.Contenders > want+0.1 {
		t.Errorf("contenders: got %.1f, want %.1f within 0.1", d.Contenders, want)
	}
	if least := cost * (1 + 8*0.29); d.Required < least {
		t.Errorf("required: got %.0f, want %.0f or more", d.Required, least)
	}
}

// Guards against rejecting large requests of a team over its limit far more than small ones:
// what other entries may admit at the same time does not depend on the size of this request.
func TestLargeRequestsAreAdmittedAsWell(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	e := newEntries(9, start.Add(-10*time.Second))
	random := rand.New(rand.NewPCG(1, 1))
	var requested, admitted [3]float64
	for at := time.Duration(0); at < 20*time.Second; at += 10 * time.Millisecond {
		if at%(200*time.Millisecond) == 0 {
			e.exchange(start.Add(at))
		}
		size, cost := 0, 3000.0
		switch draw := random.Float64(); {
		case draw < 0.3:
			size, cost = 1, 20_000
		case draw < 0.4:
			size, cost = 2, 200
		}
		requested[size]++
		if e.limiters[random.IntN(9)].Allow(tokenTeam, limit.Request{Cost: cost}, start.Add(at)).Admitted {
			admitted[size]++
		}
	}
	small, large, tiny := admitted[0]/requested[0], admitted[1]/requested[1], admitted[2]/requested[2]
	if large < 0.5*small {
		t.Errorf("admitted: got %.2f of the large requests and %.2f of the small ones, want the former to be at least half of the latter", large, small)
	}
	if tiny < 0.95 {
		t.Errorf("admitted: got %.2f of the requests of negligible cost, want 0.95 or more", tiny)
	}
}

// all returns the indexes of n entries.
func all(n int) []int {
	list := make([]int, n)
	for i := range list {
		list[i] = i
	}
	return list
}

// Guards against exceeding the limit over restarts: all entries restart, once or twice in a
// window, in two groups, or one after the other, while a team requests several times its limit.
func TestSharedLimitOverRestarts(t *testing.T) {
	inTurn := map[time.Duration][]int{}
	for i := range 9 {
		inTurn[10*time.Second+time.Duration(i)*1300*time.Millisecond] = []int{i}
	}
	for name, restarts := range map[string]map[time.Duration][]int{
		"all at once":       {10 * time.Second: all(9)},
		"all, twice":        {10 * time.Second: all(9), 14 * time.Second: all(9)},
		"half, then others": {10 * time.Second: {0, 1, 2, 3, 4}, 12 * time.Second: {5, 6, 7, 8}},
		"in turn":           inTurn,
	} {
		for seed := range uint64(8) {
			start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
			for _, team := range []limit.TeamLimit{tokenTeam, {Name: "t", Rate: 60_000, Burst: 60_000}} {
				e := newEntries(9, start.Add(-10*time.Second))
				e.restarts = restarts
				worst, _, _ := e.run(team, 5*team.Rate, start, 30*time.Second, seed)
				if worst > bound(team) {
					t.Errorf("%s, seed %d, rate %.0f: admitted in a window: got %.0f, want at most %.0f", name, seed, team.Rate, worst, bound(team))
				}
			}
		}
	}
}

// All entries lose power once or twice in a window and know the minimum duration of the outage.
// The limit holds for a team that requests several times it, and a team that requests half of it
// is served at once. If the duration is not known, an eighth of the cost requested in the first
// second is rejected.
func TestSharedLimitOverKnownOutages(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	const at = 10 * time.Second
	for _, outage := range []time.Duration{700 * time.Millisecond, 1300 * time.Millisecond, 2500 * time.Millisecond} {
		for _, restarts := range []map[time.Duration][]int{{at: all(9)}, {at: all(9), at + 4*time.Second: all(9)}} {
			for seed := range uint64(8) {
				e := newEntries(9, start.Add(-10*time.Second))
				e.restarts, e.outage, e.outageKnown = restarts, outage, true
				if worst, _, _ := e.run(tokenTeam, 5*tokenTeam.Rate, start, 30*time.Second, seed); worst > bound(tokenTeam) {
					t.Errorf("outage of %v, %d times, seed %d: admitted in a window: got %.0f, want at most %.0f", outage, len(restarts), seed, worst, bound(tokenTeam))
				}
			}
		}
	}
	served := func(outageKnown bool) float64 {
		e := newEntries(9, start.Add(-10*time.Second))
		e.restarts, e.outage, e.outageKnown, e.priority = map[time.Duration][]int{0: all(9)}, 1300*time.Millisecond, outageKnown, 2
		_, total, requested := e.run(tokenTeam, 0.5*tokenTeam.Rate, start, time.Second, 1)
		return total / requested
	}
	if known, unknown := served(true), served(false); known < 0.97 || unknown > 0.9 {
		t.Errorf("half of the limit requested in the first second: got %.2f served with a known outage, want 0.97 or more; got %.2f with an unknown one, want 0.9 or less", known, unknown)
	}
}

// A new entry adopts the level of the bucket from an older one. If no older one reports, all
// entries have restarted, and the bucket gets the restart credit.
func TestNewEntryTakesOverTheBucket(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	team := limit.TeamLimit{Name: "t", Rate: 140_000, Burst: 140_000}
	for _, c := range []struct {
		name string
		// older is set if there is an older entry, which has admitted drained.
		older   bool
		drained float64
		after   time.Duration
		cost    float64
		want    bool
	}{
		{"bucket of the older entry is full", true, 0, 300 * time.Millisecond, 150_000, true},
		{"bucket of the older entry is drained", true, 190_000, 450 * time.Millisecond, 100_000, false},
		{"no older entry", false, 0, 450 * time.Millisecond, 100_000, true},
		{"no older entry, cost above the credit", false, 0, 450 * time.Millisecond, 150_000, false},
		{"not known yet if there is an older entry", false, 0, 300 * time.Millisecond, 80_000, false},
	} {
		s := limit.NewCostLimiter(tokenTolerance, start)
		if c.older {
			older := limit.NewCostLimiter(tokenTolerance, start.Add(-10*time.Second))
			older.Allow(team, limit.Request{Cost: 1}, start)
			if c.drained > 0 && !older.Allow(team, limit.Request{Cost: c.drained}, start).Admitted {
				t.Fatalf("%s: older entry: got a cost of %.0f rejected, want admitted", c.name, c.drained)
			}
			s.ApplyPeer("older", older.LocalUsage(start), start.Add(c.after-time.Millisecond))
		}
		if got := s.Allow(team, limit.Request{Cost: c.cost}, start.Add(c.after)).Admitted; got != c.want {
			t.Errorf("%s, %v after the start: got a cost of %.0f admitted %v, want %v", c.name, c.after, c.cost, got, c.want)
		}
	}
}

// A team requests three times its limit, one third of it at each priority: urgent requests are
// admitted, the least urgent ones are rejected, and the team gets its limit.
func TestUrgentRequestsAreAdmittedFirst(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := limit.NewCostLimiter(tokenTolerance, start.Add(-10*time.Second))
	random := rand.New(rand.NewPCG(3, 3))
	requested, admitted := [3]float64{}, [3]float64{}
	for at := time.Duration(0); at < 30*time.Second; at += 10 * time.Millisecond {
		for priority := range requested {
			cost := 3 * tokenTeam.Rate / 300 * (0.5 + random.Float64())
			requested[priority] += cost
			if s.Allow(tokenTeam, limit.Request{Cost: cost, Priority: priority}, start.Add(at)).Admitted {
				admitted[priority] += cost
			}
		}
	}
	parts := [3]float64{}
	for i := range parts {
		parts[i] = admitted[i] / requested[i]
	}
	if parts[0] < 0.95 || parts[2] > 0.2 {
		t.Errorf("admitted parts by priority: got %.2f, want 0.95 or more of the first and 0.2 or less of the last", parts)
	}
	if total, least := admitted[0]+admitted[1]+admitted[2], 0.95*tokenTeam.Rate*30; total < least {
		t.Errorf("admitted in total: got %.0f, want %.0f or more", total, least)
	}
}

// Requests of negligible cost are admitted even at the lowest priority.
func TestCheapRequestsNeedNoReserve(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	s := limit.NewCostLimiter(tokenTolerance, start.Add(-10*time.Second))
	for i := 0; s.Allow(tokenTeam, limit.Request{Cost: 10_000, Priority: 2}, start).Admitted; i++ {
		if i > 1000 {
			t.Fatal("bucket not empty after 1000 requests")
		}
	}
	if !s.Allow(tokenTeam, limit.Request{Cost: 200, Priority: 2}, start).Admitted {
		t.Error("request of cost 200 after ones of 10,000: got rejected, want admitted")
	}
	if !s.Allow(tokenTeam, limit.Request{Cost: 10_000}, start).Admitted {
		t.Error("urgent request: got rejected, want admitted from the reserve")
	}
}
