package lab

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

// Outcome is the result of a run as callers see it.
type Outcome struct {
	kinds map[string]*KindOutcome
	// PrefillTokens is the number of prompt tokens that engines prefilled, RecomputedTokens the
	// number of those in shared parts that an engine had prefilled before.
	PrefillTokens, RecomputedTokens int
	// waitErrors are the measured times to the first token minus the estimated ones.
	waitErrors []time.Duration
	// LeastFactor and GreatestFactor are the extremes of the endpoints' speed factors at the first
	// host when the last request arrives.
	LeastFactor, GreatestFactor float64
}

// KindOutcome is the result for requests of one kind.
type KindOutcome struct {
	// Requests is the number of requests, OnTime of those whose first token came within the
	// objective, Retried of those that were rejected and sent again, Failed of those that got no
	// answer because the retry was rejected, there was no time for one, or the engine was full.
	Requests, OnTime, Retried, Failed int
	// MaxValue is the value of the requests if all answers had been on time, EarnedValue the value
	// of the actual answers.
	MaxValue, EarnedValue float64
	// FirstTokenTimes are the times from the first try to the first token.
	FirstTokenTimes []time.Duration
}

func newOutcome() *Outcome { return &Outcome{kinds: map[string]*KindOutcome{}} }

func (o *Outcome) getOrCreate(kind string) *KindOutcome {
	k, ok := o.kinds[kind]
	if !ok {
		k = &KindOutcome{}
		o.kinds[kind] = k
	}
	return k
}

// EarnedValueShare returns the earned fraction of the maximum value over all kinds.
func (o *Outcome) EarnedValueShare() float64 {
	maxValue, earned := 0.0, 0.0
	for _, k := range o.kinds {
		maxValue += k.MaxValue
		earned += k.EarnedValue
	}
	return earned / maxValue
}

// ForKind returns the result for requests of one kind.
func (o *Outcome) ForKind(kind string) KindOutcome { return *o.getOrCreate(kind) }

func (o *Outcome) addWaitError(estimated, measured time.Duration) {
	o.waitErrors = append(o.waitErrors, measured-estimated)
}

func (o *Outcome) sortTimes() {
	for _, k := range o.kinds {
		slices.Sort(k.FirstTokenTimes)
	}
	slices.Sort(o.waitErrors)
}

// OnTimeShare returns the fraction of requests whose first token came within the objective.
func (k KindOutcome) OnTimeShare() float64 { return float64(k.OnTime) / float64(max(k.Requests, 1)) }

// FirstTokenQuantile returns a quantile of the times to the first token, 0 if there are none.
func (k KindOutcome) FirstTokenQuantile(q float64) time.Duration {
	return quantile(k.FirstTokenTimes, q)
}

// WaitErrorQuantile returns a quantile of the delay of first tokens relative to the estimate made
// when the endpoint was chosen.
func (o *Outcome) WaitErrorQuantile(q float64) time.Duration { return quantile(o.waitErrors, q) }

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// String formats the outcome as a table for test logs.
func (o *Outcome) String() string {
	var b strings.Builder
	names := make([]string, 0, len(o.kinds))
	for name := range o.kinds {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		k := o.kinds[name]
		fmt.Fprintf(&b, "%-12s requests %5d on time %.3f retried %4d failed %4d first token p50 %4d p90 %4d p99 %4d ms\n", name, k.Requests, k.OnTimeShare(),
			k.Retried, k.Failed, k.FirstTokenQuantile(0.5).Milliseconds(), k.FirstTokenQuantile(0.9).Milliseconds(), k.FirstTokenQuantile(0.99).Milliseconds())
	}
	fmt.Fprintf(&b, "earned value %.3f; prefill tokens %.1fM, recomputed %.2fM; wait error p50 %d p90 %d p99 %d ms", o.EarnedValueShare(), float64(o.PrefillTokens)/1e6, float64(o.RecomputedTokens)/1e6,
		o.WaitErrorQuantile(0.5).Milliseconds(), o.WaitErrorQuantile(0.9).Milliseconds(), o.WaitErrorQuantile(0.99).Milliseconds())
	return b.String()
}
