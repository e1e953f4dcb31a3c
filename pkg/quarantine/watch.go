package quarantine

import (
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Watch finds out which requests end endpoints: it takes in how runs ended and which
// endpoints have, and writes a line for each end and each request that is held back. It
// is safe for concurrent use.
type Watch struct {
	*Quarantine
	suspects *Suspects
	ended    prometheus.Counter
	log      *log.Logger
}

// NewWatch returns a watch that has seen nothing.
func NewWatch(registry prometheus.Registerer, logger *log.Logger) *Watch {
	w := &Watch{
		Quarantine: NewQuarantine(), suspects: NewSuspects(), log: logger,
		ended: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "ironhollow_endpoints_ended_total", Help: "Endpoints that ended while they ran requests of this host.",
		}),
	}
	registry.MustRegister(w.ended)
	return w
}

// RecordInterruption notes that a run broke off at an endpoint, and not as planned. It reports whether
// the endpoint is to be looked at, after LookBegins.
func (w *Watch) RecordInterruption(endpoint string, f Fingerprint, now time.Time) (look bool) {
	return w.suspects.RecordInterruption(endpoint, f, now)
}

// ProbeStarted notes that a look at an endpoint begins.
func (w *Watch) ProbeStarted(endpoint string) { w.suspects.ProbeStarted(endpoint) }

// SuspectedEndpoints returns the endpoints at which runs broke off of late.
func (w *Watch) SuspectedEndpoints(now time.Time) []string { return w.suspects.Endpoints(now) }

// EndpointCrashed notes that an endpoint has ended, which shows in some way: the requests
// whose runs broke off there are counted as under way at its end.
func (w *Watch) EndpointCrashed(endpoint, shownBy string, now time.Time) {
	suspects := w.suspects.TakeInterrupted(endpoint, now)
	if len(suspects) == 0 {
		return
	}
	w.ended.Inc()
	w.log.Info().Str("endpoint", endpoint).Int("requests", len(suspects)).Str("shown-by", shownBy).Msg("endpoint ended under requests")
	for _, s := range suspects {
		if c, held := w.RecordCrash(s.Fingerprint, Crash{Endpoint: endpoint, At: s.At}, now); held {
			w.noteHeld(c, "own")
		}
	}
}

// ApplyReports applies cases of another host or of the store; from names it.
func (w *Watch) ApplyReports(told []Case, from string, now time.Time) {
	for _, c := range w.Merge(told, now) {
		w.noteHeld(c, from)
	}
}

func (w *Watch) noteHeld(c Case, from string) {
	endpoints := make([]string, 0, len(c.Crashes))
	for _, end := range c.Crashes {
		endpoints = append(endpoints, end.Endpoint)
	}
	w.log.Warn().Stringer("fingerprint", c.Fingerprint).Strs("endpoints", endpoints).Str("from", from).
		Msg("request held back: endpoints ended under it")
}
