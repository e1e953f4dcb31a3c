package autoscale

import "github.com/prometheus/client_golang/prometheus"

// Metrics are the gauges and counters of the holder of the lease. Other hosts report none.
type Metrics struct {
	need, ordered, probability *prometheus.GaugeVec
	losses, refused            *prometheus.CounterVec
}

// NewMetrics registers the metrics.
func NewMetrics(registry prometheus.Registerer) *Metrics {
	gauge := func(name, help string, labels ...string) *prometheus.GaugeVec {
		return prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "ironhollow_autoscale_" + name, Help: help}, append([]string{"service"}, labels...))
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "ironhollow_autoscale_" + name, Help: help}, append([]string{"service"}, labels...))
	}
	m := &Metrics{
		need:        gauge("need_endpoints", "Endpoints that a service needs at the full price, by resource.", "resource"),
		ordered:     gauge("ordered_endpoints", "Endpoints ordered, by class.", "class"),
		probability: gauge("further_loss_probability", "Probability that another data centre loses its reclaimable endpoints."),
		losses:      counter("losses_total", "Losses of a data centre's reclaimable endpoints.", "dc"),
		refused:     counter("refused_orders_total", "Orders refused for lack of capacity.", "dc", "class"),
	}
	registry.MustRegister(m.need, m.ordered, m.probability, m.losses, m.refused)
	return m
}

// className returns the label of a class.
func className(reclaimable bool) string {
	if reclaimable {
		return "reclaimable"
	}
	return "on-demand"
}

// Set sets the gauges of a service.
func (m *Metrics) Set(service string, need Need, pools []PoolState, outlook Outlook) {
	for resource, count := range map[string]int{"engine-time": need.EngineTime, "slots": need.Slots, "memory": need.Memory, "refused": need.Refused} {
		m.need.WithLabelValues(service, resource).Set(float64(count))
	}
	ordered := map[bool]int{true: 0, false: 0}
	for _, p := range pools {
		ordered[p.Reclaimable] += p.Ordered
	}
	for reclaimable, count := range ordered {
		m.ordered.WithLabelValues(service, className(reclaimable)).Set(float64(count))
	}
	m.probability.WithLabelValues(service).Set(outlook.Next)
}

// CountLoss counts the loss of a data centre.
func (m *Metrics) CountLoss(service, dataCenter string) {
	m.losses.WithLabelValues(service, dataCenter).Inc()
}

// CountRefusal counts a refused order.
func (m *Metrics) CountRefusal(p Pool) {
	m.refused.WithLabelValues(p.Service, p.DataCenter, className(p.Reclaimable)).Inc()
}

// Reset removes the gauges, because this host no longer holds the lease.
func (m *Metrics) Reset() {
	m.need.Reset()
	m.ordered.Reset()
	m.probability.Reset()
}
