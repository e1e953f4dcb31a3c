package control

import "github.com/prometheus/client_golang/prometheus"

// Counters count what a control process does.
type Counters struct {
	Orders       prometheus.Counter
	OrdersStale  prometheus.Counter
	OrdersFailed prometheus.Counter
	Notices      prometheus.Counter
	Grants       prometheus.Counter
}

// NewCounters registers the counters.
func NewCounters(registry prometheus.Registerer) *Counters {
	counter := func(name, help string) prometheus.Counter {
		c := prometheus.NewCounter(prometheus.CounterOpts{Namespace: "ironhollow", Subsystem: "control", Name: name, Help: help})
		registry.MustRegister(c)
		return c
	}
	return &Counters{
		Orders:       counter("orders_total", "Orders to engines that were taken."),
		OrdersStale:  counter("orders_stale_total", "Orders refused because a later holder had spoken."),
		OrdersFailed: counter("orders_failed_total", "Orders that failed."),
		Notices:      counter("notices_total", "Reclaim notices passed on."),
		Grants:       counter("grants_total", "Leases taken."),
	}
}
