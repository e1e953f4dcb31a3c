package stream

import "github.com/prometheus/client_golang/prometheus"

// Counters count what happens to streams.
type Counters struct {
	Attempts    prometheus.Counter
	Resumed     prometheus.Counter
	Reattached  prometheus.Counter
	Moved       prometheus.Counter
	MoveFailed  prometheus.Counter
	Yielded     prometheus.Counter
	Broken      prometheus.Counter
	Foreign     prometheus.Counter
	Tokens      prometheus.Counter
	Recomputed  prometheus.Counter
	BudgetEmpty prometheus.Counter
}

// NewCounters registers the counters.
func NewCounters(registry prometheus.Registerer) *Counters {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "ironhollow", Subsystem: "stream", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	return &Counters{
		Attempts:    counter("attempts_total", "Attempts sent to endpoints."),
		Resumed:     counter("resumed_total", "Attempts after the first of a request."),
		Reattached:  counter("reattached_total", "Streams taken up at the endpoint that still ran them."),
		Moved:       counter("moved_total", "Streams whose KV cache was moved off a leaving endpoint."),
		MoveFailed:  counter("move_failed_total", "Moves of KV cache that failed."),
		Yielded:     counter("yielded_total", "Attempts of work that can wait that gave their place up."),
		Broken:      counter("broken_total", "Attempts that broke off."),
		Foreign:     counter("foreign_frames_total", "Frames of another attempt that were dropped."),
		Tokens:      counter("tokens_total", "Tokens passed on."),
		Recomputed:  counter("recomputed_tokens_total", "Prompt and answer tokens computed again, as reckoned when a stream is resumed."),
		BudgetEmpty: counter("retry_budget_empty_total", "Retries that had to wait for the budget."),
	}
}
