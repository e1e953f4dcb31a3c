// Package metrics registers counters under the names the product shows.
package metrics

import "github.com/prometheus/client_golang/prometheus"

// namespace stands before every name.
const namespace = "ironhollow"

// Group registers the counters of one part.
type Group struct {
	registry  prometheus.Registerer
	subsystem string
}

// New returns a group whose names begin with ironhollow and subsystem.
func New(registry prometheus.Registerer, subsystem string) Group {
	return Group{registry, subsystem}
}

// Counter registers a counter.
func (g Group) Counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help})
	g.registry.MustRegister(c)
	return c
}

// CounterVec registers counters told apart by a label.
func (g Group) CounterVec(name, help, label string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help}, []string{label})
	g.registry.MustRegister(c)
	return c
}

// Bounds of the histograms: 5 ms, doubled until 41 s.
const (
	firstBucket  = 0.005
	bucketFactor = 2
	buckets      = 14
)

// HistogramVec registers histograms of seconds told apart by a label.
func (g Group) HistogramVec(name, help, label string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(firstBucket, bucketFactor, buckets),
	}, []string{label})
	g.registry.MustRegister(h)
	return h
}
