package callerapi

import (
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/entropy"
	"ironhollow/pkg/entrychoice"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/metrics"
)

// Counters are the metrics of callers' requests.
type Counters struct {
	Requests   *prometheus.CounterVec
	OverRate   *prometheus.CounterVec
	Overloaded *prometheus.CounterVec
	Panics     prometheus.Counter
	// UnmarkedEnds counts responses of plain services whose end does not show that they are complete.
	UnmarkedEnds *prometheus.CounterVec
	FirstToken   *prometheus.HistogramVec
	Duration     *prometheus.HistogramVec
}

// NewCounters registers the counters and returns them.
func NewCounters(registry prometheus.Registerer) *Counters {
	group := metrics.New(registry, "caller")
	return &Counters{
		Requests:     group.CounterVec("requests_total", "Requests of known teams.", "team"),
		OverRate:     group.CounterVec("over_rate_total", "Requests refused because the team is over its rate.", "team"),
		Overloaded:   group.CounterVec("overloaded_total", "Requests refused early because their deadline could not be met.", "service"),
		Panics:       group.Counter("panics_total", "Faults caught while serving a request."),
		UnmarkedEnds: group.CounterVec("unmarked_ends_total", "Responses without length or chunks, whose end does not show that they are complete.", "service"),
		FirstToken:   group.HistogramVec("first_token_seconds", "Time to the first token of streams.", "service"),
		Duration:     group.HistogramVec("duration_seconds", "Time of model calls.", "service"),
	}
}

// chooseEntries returns entry hosts for a caller, those in dataCenter first if it is set.
func (a *API) chooseEntries(dataCenter string) []membership.Node {
	return entrychoice.Choose(a.Nodes.ServingNodes(), dataCenter, entropy.Rand)
}
