package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/metrics"
)

// Counters are the metrics of a control process.
type Counters struct {
	Orders       prometheus.Counter
	OrdersStale  prometheus.Counter
	OrdersFailed prometheus.Counter
	Notices      prometheus.Counter
	Grants       prometheus.Counter
}

// NewCounters returns registered counters.
func NewCounters(registry prometheus.Registerer) *Counters {
	group := metrics.New(registry, "control")
	return &Counters{
		Orders:       group.Counter("orders_total", "Orders to engines that were taken."),
		OrdersStale:  group.Counter("orders_stale_total", "Orders refused because a later holder had spoken."),
		OrdersFailed: group.Counter("orders_failed_total", "Orders that failed."),
		Notices:      group.Counter("notices_total", "Reclaim notices passed on."),
		Grants:       group.Counter("grants_total", "Leases taken."),
	}
}
