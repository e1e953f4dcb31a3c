package job

import "github.com/prometheus/client_golang/prometheus"

// Counters count what happens to jobs.
type Counters struct {
	Accepted    prometheus.Counter
	Repeated    prometheus.Counter
	Finished    prometheus.Counter
	Rerun       prometheus.Counter
	Lost        prometheus.Counter
	TakenOver   prometheus.Counter
	Checkpoints prometheus.Counter
}

// NewCounters registers the counters.
func NewCounters(registry prometheus.Registerer) *Counters {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "ironhollow", Subsystem: "job", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	return &Counters{
		Accepted:    counter("accepted_total", "Jobs accepted."),
		Repeated:    counter("repeated_total", "Requests whose key had a job already."),
		Finished:    counter("finished_total", "Jobs whose result was written."),
		Rerun:       counter("rerun_total", "Jobs put back after a failure."),
		Lost:        counter("lost_total", "Jobs whose result was dropped because another owner has them."),
		TakenOver:   counter("taken_over_total", "Jobs taken over from another owner."),
		Checkpoints: counter("checkpoints_total", "Checkpoints written."),
	}
}
