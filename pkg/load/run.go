package load

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"ironhollow/pkg/code"
)

// Kind is the type of the requests of a source.
type Kind string

// The kinds of request.
const (
	KindStream Kind = "stream"
	KindJob    Kind = "job"
	KindCall   Kind = "call"
)

// Source describes one kind of traffic with its rate.
type Source struct {
	Kind    Kind
	Service string
	Team    string
	// Rate is the arrival rate in requests per second. The load is open-loop:
	// slow responses do not delay the requests after them.
	Rate      float64
	MaxTokens int
	// Path is the path of a plain call that must run at most once.
	Path string
	// Check returns what is wrong with an answer, or an empty string.
	Check func(p Prompt, request, text string) string
}

// Report holds the results of a run.
type Report struct {
	Sources []SourceReport
	// CallOutcomes holds the reported outcome of each plain call by its
	// idempotency key, to compare with the runs that the service recorded.
	CallOutcomes map[string]string
}

// SourceReport holds the results of one source.
type SourceReport struct {
	Source    Source
	Sent      int
	Succeeded int
	Refused   int
	// Interrupted counts requests that needed another attempt because a
	// connection broke or an entry could not be reached. Unknown counts requests
	// that ended in an APIError with the outcome unknown. Wrong counts answers
	// that failed their check, and requests that failed without an APIError.
	Interrupted, Wrong, Unknown    int
	Failures                       []string
	firstLatencies, totalLatencies *hdrhistogram.Histogram
}

// Range of the latency histograms in microseconds (up to 10 minutes) and their
// precision; maxFailures bounds the failure messages kept for each source.
const (
	minLatencyMicros  = 1
	maxLatencyMicros  = 10 * 60 * 1_000_000
	significantDigits = 3
	maxFailures       = 5
)

// Run sends the load of all sources for the given duration and waits for the answers.
func Run(ctx context.Context, sources []Source, entries []string, httpClient *http.Client, duration time.Duration, seed uint64) Report {
	report := Report{Sources: make([]SourceReport, len(sources)), CallOutcomes: map[string]string{}}
	var mu sync.Mutex
	var wg sync.WaitGroup
	for i, source := range sources {
		r := &report.Sources[i]
		r.Source = source
		r.firstLatencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		r.totalLatencies = hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits)
		teamClient := NewClient("key-"+source.Team, entries, httpClient)
		wg.Go(func() {
			run := sourceRun{source: source, client: teamClient, report: r, mu: &mu, callOutcomes: report.CallOutcomes}
			run.sendAll(ctx, duration, rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	wg.Wait()
	return report
}

type sourceRun struct {
	source       Source
	client       *Client
	report       *SourceReport
	mu           *sync.Mutex
	callOutcomes map[string]string
}

// sendAll sends requests with exponentially distributed gaps. Latencies count
// from the time a request was due, so that a late start is included.
func (s sourceRun) sendAll(ctx context.Context, duration time.Duration, rng *rand.Rand) {
	start := time.Now()
	var wg sync.WaitGroup
	offset := time.Duration(0)
	for n := 0; ; n++ {
		offset += time.Duration(rng.ExpFloat64() / s.source.Rate * float64(time.Second))
		if offset > duration || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(start.Add(offset)))
		due := start.Add(offset)
		wg.Go(func() { s.sendOne(ctx, n, due) })
	}
	wg.Wait()
}

func (s sourceRun) sendOne(ctx context.Context, n int, due time.Time) {
	switch s.source.Kind {
	case KindStream:
		s.stream(ctx, n, due)
	case KindJob:
		s.job(ctx, n, due)
	case KindCall:
		s.call(ctx, n, due)
	}
}

func (s sourceRun) prompt(n int) Prompt {
	return Prompt{Service: s.source.Service, Text: fmt.Sprintf("request %d of %s", n, s.source.Team), MaxTokens: s.source.MaxTokens}
}

func (s sourceRun) stream(ctx context.Context, n int, due time.Time) {
	p := s.prompt(n)
	startDelay := time.Since(due)
	answer, err := s.client.Stream(ctx, p)
	s.record(due, startDelay+answer.TimeToFirstToken, answer.Attempts > 1, err, s.source.Check(p, answer.RequestID, answer.Text))
}

// jobTimeout bounds the wait for the result of a job, from the time its request was due.
const jobTimeout = 2 * time.Minute

func (s sourceRun) job(ctx context.Context, n int, due time.Time) {
	p := s.prompt(n)
	key := fmt.Sprintf("job-%s-%d-%d", s.source.Team, due.UnixNano(), n)
	var j Job
	interrupted := false
	err := s.withFailover(ctx, &interrupted, func(address string) (err error) {
		j, err = s.client.PostJob(ctx, address, key, p)
		return err
	})
	acceptLatency := time.Since(due)
	id := j.ID
	for err == nil && j.Status != "done" && j.Status != "failed" && time.Since(due) < jobTimeout {
		err = s.withFailover(ctx, &interrupted, func(address string) (err error) {
			j, err = s.client.GetJob(ctx, address, id, time.Second)
			return err
		})
		if isStoreDown(err) {
			// The job was accepted, so keep polling until the store is back.
			time.Sleep(time.Second)
			err = nil
		}
	}
	failure := "no result"
	if j.Result != nil {
		failure = s.source.Check(p, id, j.Result.Text)
	}
	s.record(due, acceptLatency, interrupted, err, failure)
}

func isStoreDown(err error) bool {
	var apiErr *APIError
	return errors.As(err, &apiErr) && apiErr.Number == code.StoreDown.Number()
}

func (s sourceRun) call(ctx context.Context, n int, due time.Time) {
	key := fmt.Sprintf("call-%s-%d-%d", s.source.Team, due.UnixNano(), n)
	interrupted := false
	err := s.withFailover(ctx, &interrupted, func(address string) error {
		_, err := s.client.Call(ctx, address, http.MethodPost, s.source.Service, s.source.Path, key, []byte(key))
		return err
	})
	outcome := string(code.Done)
	var apiErr *APIError
	switch {
	case errors.As(err, &apiErr):
		outcome = apiErr.Outcome
	case err != nil:
		outcome = string(code.Unknown)
	}
	s.mu.Lock()
	s.callOutcomes[key] = outcome
	s.mu.Unlock()
	s.record(due, time.Since(due), interrupted, err, "")
}

// withFailover calls send with one entry after another until it succeeds or
// returns an APIError. It sets interrupted if an attempt failed in another way.
func (s sourceRun) withFailover(ctx context.Context, interrupted *bool, send func(address string) error) error {
	var err error
	for range maxAttempts {
		var address string
		address, err = s.client.NextEntry(ctx)
		if err == nil {
			err = send(address)
		}
		var apiErr *APIError
		if err == nil || errors.As(err, &apiErr) || ctx.Err() != nil {
			return err
		}
		*interrupted = true
		s.client.InvalidateEntries()
		time.Sleep(retryDelay)
	}
	return err
}

func (s sourceRun) record(due time.Time, firstLatency time.Duration, interrupted bool, err error, failure string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Sent++
	if interrupted {
		r.Interrupted++
	}
	var apiErr *APIError
	switch {
	case errors.As(err, &apiErr) && apiErr.Outcome == "unknown":
		r.Unknown++
		failure = err.Error()
	case errors.As(err, &apiErr):
		r.Refused++
		failure = err.Error()
	case err != nil:
		r.Wrong++
		failure = err.Error()
	case failure != "":
		r.Wrong++
	default:
		r.Succeeded++
		_ = r.firstLatencies.RecordValue(firstLatency.Microseconds())
		_ = r.totalLatencies.RecordValue(time.Since(due).Microseconds())
	}
	if failure != "" && len(r.Failures) < maxFailures {
		r.Failures = append(r.Failures, failure)
	}
}

// String formats the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %-8s %6s %6s %8s %5s %6s %8s %12s %12s %12s\n", "service", "kind", "sent", "whole", "refused", "cut", "wrong", "unknown", "first p50", "first p99", "total p99")
	for _, s := range r.Sources {
		ms := func(h *hdrhistogram.Histogram, q float64) string {
			return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintf(&b, "%-14s %-8s %6d %6d %8d %5d %6d %8d %12s %12s %12s\n", s.Source.Service, s.Source.Kind, s.Sent, s.Succeeded, s.Refused, s.Interrupted,
			s.Wrong, s.Unknown, ms(s.firstLatencies, 50), ms(s.firstLatencies, 99), ms(s.totalLatencies, 99))
		sort.Strings(s.Failures)
		for _, failure := range s.Failures {
			fmt.Fprintf(&b, "    %s\n", failure)
		}
	}
	return b.String()
}
