package retry_test

import (
	"testing"
	"time"

	"ironhollow/pkg/retry"
)

// Nine nodes with uneven load retry whenever they may. All of them together must stay below the
// bound in every window.
func TestWindowBudgetBoundsAllNodes(t *testing.T) {
	const (
		nodes = 9
		share = 0.2
		slack = 58.0
		span  = 10 * time.Second
		step  = 50 * time.Millisecond
	)
	start := time.Unix(1000, 0)
	var budgets []*retry.WindowBudget
	for range nodes {
		budgets = append(budgets, retry.NewWindowBudget(share, slack, span))
	}
	var first, again []int
	for i := range 1200 {
		now := start.Add(time.Duration(i) * step)
		f, a := 0, 0
		for n, b := range budgets {
			// Traffic starts and stops, and one node has most of it.
			if i%400 < 200 && (n == 0 || i%7 == 0) {
				b.RecordFirstSend("svc", now)
				f++
			}
			if b.Take("svc", nodes, now) {
				a++
			}
		}
		first, again = append(first, f), append(again, a)
	}
	per := int(span / step)
	for i := per; i+per <= len(again); i++ {
		retries, requests := 0, 0
		for j := i; j < i+per; j++ {
			retries += again[j]
		}
		// The window itself or the one before, whichever has more requests.
		for _, from := range []int{i, i - per} {
			sum := 0
			for j := from; j < from+per; j++ {
				sum += first[j]
			}
			requests = max(requests, sum)
		}
		if bound := share*float64(requests) + slack; float64(retries) > bound {
			t.Fatalf("window at step %d: got %d retries, want at most %.0f", i, retries, bound)
		}
	}
}

func TestWindowBudgetIsPerService(t *testing.T) {
	now := time.Unix(1000, 0)
	w := retry.NewWindowBudget(0, 2.5, time.Second)
	for i, want := range []bool{true, true, false} {
		if got := w.Take("a", 1, now); got != want {
			t.Errorf("retry %d of a: got %v, want %v", i, got, want)
		}
	}
	if !w.Take("b", 1, now) {
		t.Error("retry of b: got none, want one from its own budget")
	}
	if !w.Take("a", 1, now.Add(2*time.Second)) {
		t.Error("retry of a two seconds later: got none, want one")
	}
}
