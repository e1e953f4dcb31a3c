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
	kinds map[string]*Got
	// Read is the prompt tokens that engines read, ReadAgain those of shared parts
	// that some engine had read before.
	Read, ReadAgain int
	// off are the first tokens' times less what was reckoned.
	off []time.Duration
}

// Got is what callers of one kind got.
type Got struct {
	// Asked counts requests, InTime those with a first token within the objective,
	// SentBack those that were refused once, Lost those that got nothing.
	Asked, InTime, SentBack, Lost int
	// Worth is what all answers in time would have been worth, Earned what was.
	Worth, Earned float64
	// First is the times to the first token, from the first try.
	First []time.Duration
}

func newOutcome() *Outcome { return &Outcome{kinds: map[string]*Got{}} }

func (o *Outcome) of(kind string) *Got {
	g, ok := o.kinds[kind]
	if !ok {
		g = &Got{}
		o.kinds[kind] = g
	}
	return g
}

// EarnedShare is the part of the worth that was earned, over all kinds.
func (o *Outcome) EarnedShare() float64 {
	worth, earned := 0.0, 0.0
	for _, g := range o.kinds {
		worth += g.Worth
		earned += g.Earned
	}
	return earned / worth
}

// Of returns what callers of a kind got.
func (o *Outcome) Of(kind string) Got { return *o.of(kind) }

func (o *Outcome) reckoned(wait, took time.Duration) { o.off = append(o.off, took-wait) }

func (o *Outcome) close() {
	for _, g := range o.kinds {
		slices.Sort(g.First)
	}
	slices.Sort(o.off)
}

// InTimeShare is the part that got a first token within the objective.
func (g Got) InTimeShare() float64 { return float64(g.InTime) / float64(max(g.Asked, 1)) }

// FirstAt returns a quantile of the times to the first token, 0 if there is none.
func (g Got) FirstAt(part float64) time.Duration { return quantile(g.First, part) }

// OffAt returns a quantile of how much later first tokens came than was reckoned
// when the endpoint was chosen.
func (o *Outcome) OffAt(part float64) time.Duration { return quantile(o.off, part) }

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
		fmt.Fprintf(&b, "%-12s asked %5d in time %.3f sent back %4d lost %4d first p50 %4d p90 %4d p99 %4d ms\n", name, g.Asked, g.InTimeShare(),
			g.SentBack, g.Lost, g.FirstAt(0.5).Milliseconds(), g.FirstAt(0.9).Milliseconds(), g.FirstAt(0.99).Milliseconds())
	}
	fmt.Fprintf(&b, "earned %.3f; tokens read %.1fM, again %.2fM; later than reckoned p50 %d p90 %d p99 %d ms", o.EarnedShare(), float64(o.Read)/1e6, float64(o.ReadAgain)/1e6,
		o.OffAt(0.5).Milliseconds(), o.OffAt(0.9).Milliseconds(), o.OffAt(0.99).Milliseconds())
	return b.String()
}
