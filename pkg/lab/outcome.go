package lab

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Outcome is what callers got.
type Outcome struct {
	kinds map[string]*KindOutcome
	// PrefillTokens is the prompt tokens that engines read, RecomputedTokens those of shared parts
	// that some engine had read before.
	PrefillTokens, RecomputedTokens int
	// off are the first tokens' times less what was reckoned.
	off []time.Duration
}

// KindOutcome is what callers of one kind got.
type KindOutcome struct {
	// Requests counts requests, OnTime those with a first token within the objective,
	// Retried those that were refused once, Failed those that got nothing.
	Requests, OnTime, Retried, Failed int
	// MaxValue is what all answers in time would have been worth, EarnedValue what was.
	MaxValue, EarnedValue float64
	// FirstTokenTimes is the times to the first token, from the first try.
	FirstTokenTimes []time.Duration
}

func newOutcome() *Outcome { return &Outcome{kinds: map[string]*KindOutcome{}} }

func (o *Outcome) getOrCreate(kind string) *KindOutcome {
	g, ok := o.kinds[kind]
	if !ok {
		g = &KindOutcome{}
		o.kinds[kind] = g
	}
	return g
}

// EarnedValueShare is the part of the worth that was earned, over all kinds.
func (o *Outcome) EarnedValueShare() float64 {
	worth, earned := 0.0, 0.0
	for _, g := range o.kinds {
		worth += g.MaxValue
		earned += g.EarnedValue
	}
	return earned / worth
}

// ForKind returns what callers of a kind got.
func (o *Outcome) ForKind(kind string) KindOutcome { return *o.getOrCreate(kind) }

func (o *Outcome) reckoned(wait, took time.Duration) { o.off = append(o.off, took-wait) }

func (o *Outcome) close() {
	for _, g := range o.kinds {
		slices.Sort(g.FirstTokenTimes)
	}
	slices.Sort(o.off)
}

// OnTimeShare is the part that got a first token within the objective.
func (g KindOutcome) OnTimeShare() float64 { return float64(g.OnTime) / float64(max(g.Requests, 1)) }

// FirstTokenQuantile returns a quantile of the times to the first token, 0 if there is none.
func (g KindOutcome) FirstTokenQuantile(part float64) time.Duration {
	return quantile(g.FirstTokenTimes, part)
}

// WaitErrorQuantile returns a quantile of how much later first tokens came than was reckoned
// when the endpoint was chosen.
func (o *Outcome) WaitErrorQuantile(part float64) time.Duration { return quantile(o.off, part) }

func quantile(sorted []time.Duration, part float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(part*float64(len(sorted))), len(sorted)-1)]
}

// String returns a table for people.
func (o *Outcome) String() string {
	var b strings.Builder
	names := make([]string, 0, len(o.kinds))
	for name := range o.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		g := o.kinds[name]
		fmt.Fprintf(&b, "%-12s asked %5d in time %.3f sent back %4d lost %4d first p50 %4d p90 %4d p99 %4d ms\n", name, g.Requests, g.OnTimeShare(),
			g.Retried, g.Failed, g.FirstTokenQuantile(0.5).Milliseconds(), g.FirstTokenQuantile(0.9).Milliseconds(), g.FirstTokenQuantile(0.99).Milliseconds())
	}
	fmt.Fprintf(&b, "earned %.3f; tokens read %.1fM, again %.2fM; later than reckoned p50 %d p90 %d p99 %d ms", o.EarnedValueShare(), float64(o.PrefillTokens)/1e6, float64(o.RecomputedTokens)/1e6,
		o.WaitErrorQuantile(0.5).Milliseconds(), o.WaitErrorQuantile(0.9).Milliseconds(), o.WaitErrorQuantile(0.99).Milliseconds())
	return b.String()
}
