package quarantine

import (
	"slices"
	"strings"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

// Watch detects which requests and which parts of prompts crash endpoints, from interrupted runs and
// endpoint crashes. It logs each crash and what is quarantined. It is safe for concurrent use.
type Watch struct {
	*Quarantine
	suspects *Suspects
	metrics  metrics
	log      *log.Logger
}

type metrics struct {
	crashes prometheus.Counter
	// rejected counts rejected requests, cleared cases that a success clears, by kind.
	rejected, cleared *prometheus.CounterVec
	trials            prometheus.Counter
}

// Kinds of cases in metrics.
const (
	kindRequest = "request"
	kindPart    = "part"
)

// NewWatch returns a watch with an empty quarantine.
func NewWatch(registry prometheus.Registerer, logger *log.Logger) *Watch {
	w := &Watch{
		Quarantine: NewQuarantine(), suspects: NewSuspects(), log: logger,
		metrics: metrics{
			crashes: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "ironhollow_endpoints_ended_total", Help: "Endpoints that ended while they ran requests of this host.",
			}),
			rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "ironhollow_quarantine_rejected_total", Help: "Requests rejected because endpoints ended under the request or under a part of its prompt.",
			}, []string{"kind"}),
			cleared: prometheus.NewCounterVec(prometheus.CounterOpts{
				Name: "ironhollow_quarantine_cleared_total", Help: "Quarantined requests and parts of prompts that an answer at this host has cleared.",
			}, []string{"kind"}),
			trials: prometheus.NewCounter(prometheus.CounterOpts{
				Name: "ironhollow_quarantine_trials_total", Help: "Quarantined requests that this host has admitted to find out whether they still end endpoints.",
			}),
		},
	}
	registry.MustRegister(w.metrics.crashes, w.metrics.rejected, w.metrics.cleared, w.metrics.trials)
	return w
}

// RecordInterruption records an unplanned interruption of a run at an endpoint. It reports
// whether the caller has to probe the endpoint, after ProbeStarted.
func (w *Watch) RecordInterruption(endpoint string, r Run, now time.Time) (probe bool) {
	return w.suspects.RecordInterruption(endpoint, r, now)
}

// ProbeStarted records the start of a probe of an endpoint.
func (w *Watch) ProbeStarted(endpoint string) { w.suspects.ProbeStarted(endpoint) }

// SuspectedEndpoints returns the endpoints with recently interrupted runs.
func (w *Watch) SuspectedEndpoints(now time.Time) []string { return w.suspects.Endpoints(now) }

// EndpointCrashed records the crash of an endpoint against the requests whose runs it
// interrupted, and against the parts of their prompts; shownBy is the evidence of the crash, for the log.
func (w *Watch) EndpointCrashed(endpoint, shownBy string, now time.Time) {
	suspects := w.suspects.TakeInterrupted(endpoint, now)
	if len(suspects) == 0 {
		return
	}
	w.metrics.crashes.Inc()
	unanswered, parts := unansweredParts(suspects)
	w.log.Info().Str("endpoint", endpoint).Int("requests", len(suspects)).Int("unanswered", unanswered).Str("parts", parts).
		Str("shown-by", shownBy).Msg("endpoint ended under requests")
	// Runs are interrupted some milliseconds apart. One time for all lets reports share the crash.
	crash := Crash{Endpoint: endpoint, At: suspects[len(suspects)-1].At}
	for _, s := range suspects {
		for _, subject := range s.suspected() {
			if c, quarantined := w.recordCrash(subject, crash, now); quarantined {
				w.logQuarantined(c, subject.part, "own")
			}
		}
	}
}

// unansweredParts returns how many of the runs had no answer when their endpoint crashed, and the parts
// of their prompts.
func unansweredParts(suspects []Suspect) (unanswered int, parts string) {
	var names []string
	for _, s := range suspects {
		if !s.Answered {
			unanswered++
			names = append(names, s.Request.parts...)
		}
	}
	slices.Sort(names)
	return unanswered, strings.Join(slices.Compact(names), ",")
}

// CheckRequest reports whether a request may run, and why if it may not. isTrial is set if it is admitted
// to find out whether its case still crashes endpoints.
func (w *Watch) CheckRequest(r Request, now time.Time) (v Verdict, admitted, isTrial bool) {
	v, admitted, isTrial = w.Admit(r, now)
	switch {
	case isTrial:
		w.metrics.trials.Inc()
	case !admitted:
		w.metrics.rejected.WithLabelValues(kindOf(v.Part)).Inc()
	}
	return v, admitted, isTrial
}

func kindOf(part string) string {
	if part == "" {
		return kindRequest
	}
	return kindPart
}

// AnswerBegan records that the answer to a request has begun.
func (w *Watch) AnswerBegan(r Request, now time.Time) {
	for _, part := range w.RecordAnswer(r, now) {
		w.metrics.cleared.WithLabelValues(kindPart).Inc()
		w.log.Info().Str("part", part).Msg("prompt part cleared: an answer began")
	}
}

// AnswerCompleted records that a request was answered completely. It shows nothing of the parts of the prompt, whose
// answer may have begun long ago.
func (w *Watch) AnswerCompleted(r Request, now time.Time) {
	if w.RecordSuccess(r.fingerprint, now) {
		w.metrics.cleared.WithLabelValues(kindRequest).Inc()
		w.log.Info().Stringer("fingerprint", r.fingerprint).Msg("request cleared: it was answered")
	}
}

// DiscardSince removes the interrupted runs and crashes that this process has recorded since a given
// time, as the loss of its links to endpoints explains them.
func (w *Watch) DiscardSince(since, now time.Time) {
	w.suspects.Discard(since)
	w.Discard(since, now)
}

// ApplyReports applies cases from another host or from the store; source names it in the
// log.
func (w *Watch) ApplyReports(cases []Case, source string, now time.Time) {
	for _, c := range w.Merge(cases, now) {
		w.logQuarantined(c, "", source)
	}
}

// EndpointList returns the endpoints that crashed, for a log line.
func (c Case) EndpointList() string {
	endpoints := make([]string, 0, len(c.Crashes))
	for _, crash := range c.Crashes {
		endpoints = append(endpoints, crash.Endpoint)
	}
	return strings.Join(slices.Compact(endpoints), ",")
}

func (w *Watch) logQuarantined(c Case, part, source string) {
	w.log.Warn().Stringer("fingerprint", c.Fingerprint).Str("part", part).Str("endpoints", c.EndpointList()).Time("since", c.Crashes[0].At).
		Str("from", source).Msg("request held back: endpoints ended under it")
}
