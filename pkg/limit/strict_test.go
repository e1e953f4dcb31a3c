package limit_test

import (
	"testing"
	"time"

	"ironhollow/pkg/limit"
)

var allowance = limit.Allowance{Window: 8 * time.Second, Overrun: 0.1, Slack: 190_000}

// All entries together, each asked for far more than its part, stay within the
// bound in a window, debts of large requests included.
func TestStrictRatesKeepTheBound(t *testing.T) {
	const entries, cost = 9, 57_000.0
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	team := limit.Team{Name: "t", Rate: 287_000, Burst: 287_000}
	var rates []*limit.Rates
	for range entries {
		r := limit.NewStrictRates(allowance, start.Add(-10*time.Second))
		r.SetShares(limit.Shares{Even: 1.0 / entries})
		rates = append(rates, r)
	}
	admitted := 0.0
	for at := time.Duration(0); at < allowance.Window; at += 10 * time.Millisecond {
		for _, r := range rates {
			if ok, _ := r.AllowCost(team, cost, entries, start.Add(at)); ok {
				admitted += cost
			}
		}
	}
	bound := (team.Rate*8+team.Burst)*1.1 + 190_000
	if admitted > bound {
		t.Errorf("admitted in 8 s: got %.0f, want at most %.0f", admitted, bound)
	}
	if admitted < team.Rate*8 {
		t.Errorf("admitted in 8 s: got %.0f, want the rate's %.0f at least", admitted, team.Rate*8)
	}
}

// A process that takes the place of one that was killed has no burst: the one
// before may just have used its own.
func TestRestartGivesNoSecondBurst(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	team := limit.Team{Name: "t", Rate: 100, Burst: 1000}
	r := limit.NewStrictRates(limit.Allowance{}, start)
	r.SetShares(limit.Shares{Even: 1})
	admitted := 0
	for range 1000 {
		if ok, _ := r.AllowCost(team, 1, 1, start.Add(time.Second)); ok {
			admitted++
		}
	}
	if want := 100; admitted != want {
		t.Errorf("admitted a second after the start: got %d, want %d", admitted, want)
	}
}

func TestRefusalTellsWhenThereIsRoom(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	team := limit.Team{Name: "t", Rate: 100, Burst: 100}
	r := limit.NewStrictRates(limit.Allowance{}, start.Add(-time.Minute))
	r.SetShares(limit.Shares{Even: 1})
	if ok, _ := r.AllowCost(team, 100, 1, start); !ok {
		t.Fatal("first request: got refused, want admitted")
	}
	ok, wait := r.AllowCost(team, 50, 1, start)
	if ok || wait != 500*time.Millisecond {
		t.Errorf("second request: got %v, %v, want refused for 500ms", ok, wait)
	}
	if ok, _ := r.AllowCost(team, 50, 1, start.Add(wait)); !ok {
		t.Error("after that time: got refused, want admitted")
	}
}
