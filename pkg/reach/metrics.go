package reach

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the metrics of a Monitor.
type Metrics struct {
	cut    prometheus.Gauge
	checks *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	m := &Metrics{
		cut: prometheus.NewGauge(prometheus.GaugeOpts{Name: "ironhollow_links_cut", Help: "1 while this host has lost its links to endpoints, else 0."}),
		checks: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "ironhollow_links_checks_total",
			Help: "Checks of the links to endpoints by result: answered (an endpoint answered), accepted (endpoints accepted connections, and neither they nor other hosts' endpoints answered), cut (another host reaches endpoints), alone (none does).",
		}, []string{"result"}),
	}
	registry.MustRegister(m.cut, m.checks)
	return m
}

// count counts a check.
func (m *Metrics) count(c Check, cut bool) {
	result := "alone"
	switch {
	case c.Answered > 0:
		result = "answered"
	case c.Accepted > 0 && c.InTouch == 0:
		result = "accepted"
	case c.InTouch > 0:
		result = "cut"
	}
	m.checks.WithLabelValues(result).Inc()
	m.cut.Set(0)
	if cut {
		m.cut.Set(1)
	}
}
