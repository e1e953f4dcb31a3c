package stream

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/metrics"
)

// Counters are the metrics of streams.
type Counters struct {
	Attempts      prometheus.Counter
	Resumed       prometheus.Counter
	Reattached    prometheus.Counter
	Moved         prometheus.Counter
	MoveFailed    prometheus.Counter
	Preempted     prometheus.Counter
	Broken        prometheus.Counter
	ForeignFrames prometheus.Counter
	Tokens        prometheus.Counter
	Recomputed    prometheus.Counter
	BudgetEmpty   prometheus.Counter
	// MayContinue counts runs of broken attempts that engines did not say to have ended.
	MayContinue prometheus.Counter
}

// NewCounters registers the counters and returns them.
func NewCounters(registry prometheus.Registerer) *Counters {
	group := metrics.New(registry, "stream")
	return &Counters{
		Attempts:      group.Counter("attempts_total", "Attempts sent to endpoints."),
		Resumed:       group.Counter("resumed_total", "Attempts after the first of a request."),
		Reattached:    group.Counter("reattached_total", "Streams taken up at the endpoint that still ran them."),
		Moved:         group.Counter("moved_total", "Streams whose KV cache was moved off a leaving endpoint."),
		MoveFailed:    group.Counter("move_failed_total", "Moves of KV cache that failed."),
		Preempted:     group.Counter("yielded_total", "Attempts of work that can wait that gave their place up."),
		Broken:        group.Counter("broken_total", "Attempts that broke off."),
		ForeignFrames: group.Counter("foreign_frames_total", "Frames of another attempt that were dropped."),
		Tokens:        group.Counter("tokens_total", "Tokens passed on."),
		Recomputed:    group.Counter("recomputed_tokens_total", "Prompt and answer tokens computed again, as reckoned when a stream is resumed."),
		BudgetEmpty:   group.Counter("retry_budget_empty_total", "Retries that had to wait for the budget."),
		MayContinue:   group.Counter("may_continue_total", "Runs of attempts that broke off which the engine did not say to have ended."),
	}
}
