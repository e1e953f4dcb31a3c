// Package metrics registers metrics under the namespace of the product.
package metrics

import "github.com/prometheus/client_golang/prometheus"

// namespace is the first part of every metric name.
const namespace = "ironhollow"

// Group registers the metrics of one subsystem.
type Group struct {
	registry  prometheus.Registerer
	subsystem string
}

// New returns a group whose metric names start with ironhollow and subsystem.
func New(registry prometheus.Registerer, subsystem string) Group {
	return Group{registry, subsystem}
}

// Counter registers a counter.
func (g Group) Counter(name, help string) prometheus.Counter {
	c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help})
	g.registry.MustRegister(c)
	return c
}

// CounterVec registers a counter with a label.
func (g Group) CounterVec(name, help, label string) *prometheus.CounterVec {
	c := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help}, []string{label})
	g.registry.MustRegister(c)
	return c
}

// Buckets of the histograms: the bounds start at 5 ms and double up to 41 s.
const (
	firstBucketSeconds = 0.005
	bucketFactor       = 2
	bucketCount        = 14
)

// HistogramVec registers a histogram of seconds with a label.
func (g Group) HistogramVec(name, help, label string) *prometheus.HistogramVec {
	h := prometheus.NewHistogramVec(prometheus.HistogramOpts{
		Namespace: namespace, Subsystem: g.subsystem, Name: name, Help: help,
		Buckets: prometheus.ExponentialBuckets(firstBucketSeconds, bucketFactor, bucketCount),
	}, []string{label})
	g.registry.MustRegister(h)
	return h
}
