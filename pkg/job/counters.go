package job

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/metrics"
)

// Counters are the metrics of jobs.
type Counters struct {
	Accepted    prometheus.Counter
	Repeated    prometheus.Counter
	Finished    prometheus.Counter
	Rerun       prometheus.Counter
	Lost        prometheus.Counter
	TakenOver   prometheus.Counter
	Checkpoints prometheus.Counter
}

// NewCounters registers the counters and returns them.
func NewCounters(registry prometheus.Registerer) *Counters {
	group := metrics.New(registry, "job")
	return &Counters{
		Accepted:    group.Counter("accepted_total", "Jobs accepted."),
		Repeated:    group.Counter("repeated_total", "Requests whose key had a job already."),
		Finished:    group.Counter("finished_total", "Jobs whose result was written."),
		Rerun:       group.Counter("rerun_total", "Jobs put back after a failure."),
		Lost:        group.Counter("lost_total", "Jobs whose result was dropped because another owner has them."),
		TakenOver:   group.Counter("taken_over_total", "Jobs taken over from another owner."),
		Checkpoints: group.Counter("checkpoints_total", "Checkpoints written."),
	}
}
