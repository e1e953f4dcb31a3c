package control

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/metrics"
)

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
	group := metrics.New(registry, "control")
	return &Counters{
		Orders:       group.Counter("orders_total", "Orders to engines that were taken."),
		OrdersStale:  group.Counter("orders_stale_total", "Orders refused because a later holder had spoken."),
		OrdersFailed: group.Counter("orders_failed_total", "Orders that failed."),
		Notices:      group.Counter("notices_total", "Reclaim notices passed on."),
		Grants:       group.Counter("grants_total", "Leases taken."),
	}
}
