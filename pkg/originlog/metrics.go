package originlog

import "github.com/prometheus/client_golang/prometheus"

// metrics are the metrics of a log.
type metrics struct {
	searches *prometheus.CounterVec
	writes   *prometheus.CounterVec
	badRows  prometheus.Counter
}

// newMetrics registers the metrics.
func newMetrics(registry prometheus.Registerer) *metrics {
	m := &metrics{
		searches: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_origin_searches_total", Help: "Searches of the store for where a stream began, as no other host had a record, by result.",
		}, []string{"result"}),
		writes: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_origin_writes_total", Help: "Writes of this host's row of where streams began, by outcome.",
		}, []string{"outcome"}),
		badRows: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ironhollow_origin_bad_rows_total", Help: "Rows of where streams began that could not be decoded.",
		}),
	}
	registry.MustRegister(m.searches, m.writes, m.badRows)
	return m
}
