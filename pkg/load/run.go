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

// Kind is what a request of a run is.
type Kind string

// The kinds of request.
const (
	KindStream Kind = "stream"
	KindJob    Kind = "job"
	KindCall   Kind = "call"
)

// Source is one stream of requests at a stated rate.
type Source struct {
	Kind    Kind
	Service string
	Team    string
	// Rate is requests a second, whatever the system does: requests that it
	// holds up do not hold up the next ones.
	Rate      float64
	MaxTokens int
	// Path is of a call that may not be repeated.
	Path string
	// Check returns what is wrong with an answer, empty for nothing.
	Check func(p Prompt, request, text string) string
}

// Report is what came of a run.
type Report struct {
	Sources []SourceReport
	// Ledger is how often each call was asked for, to compare with the service.
	CallOutcomes map[string]string
}

// SourceReport is one source's part.
type SourceReport struct {
	Source  Source
	Sent    int
	Succeeded   int
	Refused int
	// Interrupted counts streams and connections that broke on the way; Wrong answers
	// that are not what they should be; Unknown ends that the system left open.
	Interrupted, Wrong, Unknown int
	Failures              []string
	first, total        *hdrhistogram.Histogram
}

// Bounds of the histograms, in microseconds, and their digits.
const (
	leastMicros = 1
	mostMicros  = 10 * 60 * 1_000_000
	digits      = 3
	mostFaults  = 5
)

// Run sends the sources' load for a time and waits for the answers.
func Run(ctx context.Context, sources []Source, entries []string, client *http.Client, lasts time.Duration, seed uint64) Report {
	report := Report{Sources: make([]SourceReport, len(sources)), CallOutcomes: map[string]string{}}
	var mu sync.Mutex
	var wait sync.WaitGroup
	for i, source := range sources {
		r := &report.Sources[i]
		r.Source = source
		r.first = hdrhistogram.New(leastMicros, mostMicros, digits)
		r.total = hdrhistogram.New(leastMicros, mostMicros, digits)
		caller := NewClient("key-"+source.Team, entries, client)
		wait.Go(func() {
			run := sourceRun{source: source, client: caller, report: r, mu: &mu, asked: report.CallOutcomes}
			run.all(ctx, lasts, rand.New(rand.NewPCG(seed, uint64(i))))
		})
	}
	wait.Wait()
	return report
}

type sourceRun struct {
	source Source
	client *Client
	report *SourceReport
	mu     *sync.Mutex
	asked  map[string]string
}

// all sends requests at their times; latency counts from those times.
func (s sourceRun) all(ctx context.Context, lasts time.Duration, random *rand.Rand) {
	begun := time.Now()
	var wait sync.WaitGroup
	at := time.Duration(0)
	for n := 0; ; n++ {
		at += time.Duration(random.ExpFloat64() / s.source.Rate * float64(time.Second))
		if at > lasts || ctx.Err() != nil {
			break
		}
		time.Sleep(time.Until(begun.Add(at)))
		due := begun.Add(at)
		wait.Go(func() { s.one(ctx, n, due) })
	}
	wait.Wait()
}

func (s sourceRun) one(ctx context.Context, n int, due time.Time) {
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
	late := time.Since(due)
	answer, err := s.client.Stream(ctx, p)
	s.note(due, late+answer.TimeToFirstToken, answer.Attempts > 1, err, s.source.Check(p, answer.RequestID, answer.Text))
}

// jobWait bounds the wait for a job's result.
const jobWait = 2 * time.Minute

func (s sourceRun) job(ctx context.Context, n int, due time.Time) {
	p := s.prompt(n)
	key := fmt.Sprintf("job-%s-%d-%d", s.source.Team, due.UnixNano(), n)
	var j Job
	cut := false
	err := s.elsewhere(ctx, &cut, func(address string) (err error) {
		j, err = s.client.PostJob(ctx, address, key, p)
		return err
	})
	accepted := time.Since(due)
	id := j.ID
	for err == nil && j.Status != "done" && j.Status != "failed" && time.Since(due) < jobWait {
		err = s.elsewhere(ctx, &cut, func(address string) (err error) {
			j, err = s.client.GetJob(ctx, address, id, time.Second)
			return err
		})
		if isStoreDown(err) {
			// An accepted job is asked for again until the store is back.
			time.Sleep(time.Second)
			err = nil
		}
	}
	fault := "no result"
	if j.Result != nil {
		fault = s.source.Check(p, id, j.Result.Text)
	}
	s.note(due, accepted, cut, err, fault)
}

func isStoreDown(err error) bool {
	var refused *APIError
	return errors.As(err, &refused) && refused.Number == code.StoreDown.Number()
}

func (s sourceRun) call(ctx context.Context, n int, due time.Time) {
	key := fmt.Sprintf("call-%s-%d-%d", s.source.Team, due.UnixNano(), n)
	cut := false
	var outcome string
	err := s.elsewhere(ctx, &cut, func(address string) error {
		_, err := s.client.Call(ctx, address, http.MethodPost, s.source.Service, s.source.Path, key, []byte(key))
		return err
	})
	outcome = "done"
	var refused *APIError
	if errors.As(err, &refused) {
		outcome = refused.Outcome
	}
	s.mu.Lock()
	s.asked[key] = outcome
	s.mu.Unlock()
	s.note(due, time.Since(due), cut, err, "")
}

// elsewhere tries another entry when one can't be reached; cut is set then.
func (s sourceRun) elsewhere(ctx context.Context, cut *bool, do func(address string) error) error {
	var err error
	for range mostPieces {
		var address string
		address, err = s.client.NextEntry(ctx)
		if err == nil {
			err = do(address)
		}
		var refused *APIError
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			return err
		}
		*cut = true
		s.client.InvalidateEntries()
		time.Sleep(piecePause)
	}
	return err
}

func (s sourceRun) note(due time.Time, first time.Duration, cut bool, err error, fault string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.report
	r.Sent++
	if cut {
		r.Interrupted++
	}
	var refused *APIError
	switch {
	case errors.As(err, &refused) && refused.Outcome == "unknown":
		r.Unknown++
		fault = err.Error()
	case errors.As(err, &refused):
		r.Refused++
		fault = err.Error()
	case err != nil:
		r.Wrong++
		fault = err.Error()
	case fault != "":
		r.Wrong++
	default:
		r.Succeeded++
		_ = r.first.RecordValue(first.Microseconds())
		_ = r.total.RecordValue(time.Since(due).Microseconds())
	}
	if fault != "" && len(r.Failures) < mostFaults {
		r.Failures = append(r.Failures, fault)
	}
}

// String gives the report as a table.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-14s %-8s %6s %6s %8s %5s %6s %8s %12s %12s %12s\n", "service", "kind", "sent", "whole", "refused", "cut", "wrong", "unknown", "first p50", "first p99", "total p99")
	for _, s := range r.Sources {
		ms := func(h *hdrhistogram.Histogram, q float64) string {
			return fmt.Sprintf("%.1f ms", float64(h.ValueAtQuantile(q))/1000)
		}
		fmt.Fprintf(&b, "%-14s %-8s %6d %6d %8d %5d %6d %8d %12s %12s %12s\n", s.Source.Service, s.Source.Kind, s.Sent, s.Succeeded, s.Refused, s.Interrupted,
			s.Wrong, s.Unknown, ms(s.first, 50), ms(s.first, 99), ms(s.total, 99))
		sort.Strings(s.Failures)
		for _, fault := range s.Failures {
			fmt.Fprintf(&b, "    %s\n", fault)
		}
	}
	return b.String()
}
