package callerapi

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/entrychoice"
	"ironhollow/pkg/membership"
)

// Counters count callers' requests.
type Counters struct {
	Requests   *prometheus.CounterVec
	OverRate   *prometheus.CounterVec
	Overloaded *prometheus.CounterVec
	Panics     prometheus.Counter
	FirstToken *prometheus.HistogramVec
	Duration   *prometheus.HistogramVec
}

// NewCounters registers the counters.
func NewCounters(registry prometheus.Registerer) *Counters {
	vector := func(name, help, label string) *prometheus.CounterVec {
		c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "ironhollow", Subsystem: "caller", Name: name, Help: help}, []string{label})
		registry.MustRegister(c)
		return c
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: "ironhollow", Subsystem: "caller", Name: name, Help: help,
			Buckets: prometheus.ExponentialBuckets(0.005, 2, 14),
		}, []string{"service"})
		registry.MustRegister(h)
		return h
	}
	panics := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "ironhollow", Subsystem: "caller", Name: "panics_total", Help: "Faults caught while serving a request."})
	registry.MustRegister(panics)
	return &Counters{
		Requests:   vector("requests_total", "Requests of known teams.", "team"),
		OverRate:   vector("over_rate_total", "Requests refused because the team is over its rate.", "team"),
		Overloaded: vector("overloaded_total", "Requests refused early because their deadline could not be met.", "service"),
		Panics:     panics,
		FirstToken: histogram("first_token_seconds", "Time to the first token of streams."),
		Duration:   histogram("duration_seconds", "Time of model calls."),
	}
}

// chooseEntries returns the entry hosts to use now.
func (a *API) chooseEntries(dataCenter string) []membership.Node {
	return entrychoice.Choose(a.Nodes.Serving(), dataCenter, shuffles)
}
