package load

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/measure"
)

// hop measures what one entry hop adds, against a direct call and a naive hop.
type hop struct {
	engine, passthrough, entry, admin, service string
	entryPID, passthroughPID                   int
	workers, rounds, tokens                    int
	lasts                                      time.Duration
	out                                        string
	http                                       *http.Client
}

func hopCommand() *cobra.Command {
	h := hop{http: httpx.NewClient(256)}
	command := &cobra.Command{
		Use:   "hop",
		Short: "Measure what one entry hop adds",
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := h.run(command.Context())
			if err != nil {
				return err
			}
			_, _ = fmt.Fprint(command.OutOrStdout(), text)
			return os.WriteFile(h.out, []byte(text), 0o644)
		},
	}
	flags := command.Flags()
	flags.StringVar(&h.engine, "engine", "", "address of the engine")
	flags.StringVar(&h.passthrough, "passthrough", "", "address of the naive hop")
	flags.StringVar(&h.entry, "entry", "", "callers' address of the entry")
	flags.StringVar(&h.admin, "admin", "", "admin address of the entry")
	flags.StringVar(&h.service, "service", "eligibility", "service the entry is asked for")
	flags.IntVar(&h.entryPID, "entry-pid", 0, "process id of the entry")
	flags.IntVar(&h.passthroughPID, "passthrough-pid", 0, "process id of the naive hop")
	flags.IntVar(&h.workers, "workers", 8, "requests at once")
	flags.IntVar(&h.rounds, "rounds", 5, "rounds of each way, in turn")
	flags.IntVar(&h.tokens, "tokens", 60, "tokens of an answer")
	flags.DurationVar(&h.lasts, "for", 3*time.Second, "time of one round")
	flags.StringVar(&h.out, "out", "", "file for the table")
	return command
}

// way is one path to the engine.
type way struct {
	name  string
	url   string
	model string
	// admin and pid are of the process in between, empty for none.
	admin string
	pid   int
	// measured:
	micros   []float64
	requests int
	cpu      time.Duration
	allocs   float64
}

func (h hop) run(ctx context.Context) (string, error) {
	ways := []*way{
		{name: "direct", url: "http://" + h.engine, model: "credit-8b"},
		{name: "naive pass-through", url: "http://" + h.passthrough, model: "credit-8b", admin: h.passthrough, pid: h.passthroughPID},
		{name: "entry", url: "http://" + h.entry, model: h.service, admin: h.admin, pid: h.entryPID},
	}
	for round := 0; round <= h.rounds; round++ {
		for _, w := range ways {
			// The first round warms up and is not counted.
			if err := h.round(ctx, w, round > 0); err != nil {
				return "", fmt.Errorf("%s: %w", w.name, err)
			}
		}
	}
	return h.table(ways), nil
}

func (h hop) round(ctx context.Context, w *way, counted bool) error {
	var before, after measure.Usage
	var allocsBefore, allocsAfter map[string]float64
	var err error
	if w.pid != 0 {
		if allocsBefore, err = measure.Counters(ctx, h.http, w.admin); err != nil {
			return err
		}
		if before, err = measure.ProcessUsage(w.pid); err != nil {
			return err
		}
	}
	micros, err := h.load(ctx, w)
	if err != nil || !counted {
		return err
	}
	if w.pid != 0 {
		if after, err = measure.ProcessUsage(w.pid); err != nil {
			return err
		}
		if allocsAfter, err = measure.Counters(ctx, h.http, w.admin); err != nil {
			return err
		}
		w.cpu += after.CPU - before.CPU
		w.allocs += allocsAfter["go_memstats_mallocs_total"] - allocsBefore["go_memstats_mallocs_total"]
	}
	w.micros = append(w.micros, micros...)
	w.requests += len(micros)
	return nil
}

// load sends requests one after the other on each worker.
func (h hop) load(ctx context.Context, w *way) ([]float64, error) {
	var mu sync.Mutex
	var micros []float64
	var faults []error
	var wait sync.WaitGroup
	until := time.Now().Add(h.lasts)
	for range h.workers {
		wait.Go(func() {
			for time.Now().Before(until) {
				begun := time.Now()
				err := h.one(ctx, w)
				mu.Lock()
				micros = append(micros, float64(time.Since(begun).Microseconds()))
				if err != nil {
					faults = append(faults, err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wait.Wait()
	return micros, errors.Join(faults...)
}

func (h hop) one(ctx context.Context, w *way) error {
	body := fmt.Sprintf(`{"model":%q,"version":"1","adapter":"","stream":true,"max_tokens":%d,"seed":7,"messages":[{"role":"user","content":"Am I eligible?"}]}`, w.model, h.tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, w.url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
	if err != nil {
		return err
	}
	request.Header.Set("Authorization", "Bearer key-applicants")
	request.Header.Set("Content-Type", "application/json")
	response, err := h.http.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	if !strings.HasSuffix(string(data), "data: [DONE]\n\n") {
		return fmt.Errorf("status %s, answer ends with %.80q", response.Status, data[max(0, len(data)-80):])
	}
	return nil
}

func (h hop) table(ways []*way) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# What one entry hop adds\n\nMade by `make bench-hop`: streamed answers of %d tokens from one stand-in engine, %d at once, %d rounds of %v\n"+
		"of each way in turn, on one machine; limits, counters and sampling of traces are on in the entry.\n\n", h.tokens, h.workers, h.rounds, h.lasts)
	b.WriteString("| way | requests | p50 | p99 | requests/s a core of the hop | allocations a request |\n|---|---|---|---|---|---|\n")
	for _, w := range ways {
		sort.Float64s(w.micros)
		perCore, allocs := "", ""
		if w.pid != 0 {
			perCore = fmt.Sprintf("%.0f", w.perCore())
			allocs = fmt.Sprintf("%.0f", w.allocs/float64(w.requests))
		}
		fmt.Fprintf(&b, "| %s | %d | %.2f ms | %.2f ms | %s | %s |\n", w.name, w.requests, measure.Quantile(w.micros, 0.5)/1000, measure.Quantile(w.micros, 0.99)/1000, perCore, allocs)
	}
	naive, entry := ways[1], ways[2]
	fmt.Fprintf(&b, "\nThe entry against the naive pass-through: %.2f of its requests/s a core (target at least 0.8), %.2f of its p50 and %.2f of its p99 (target at most 1.25).\n",
		entry.perCore()/naive.perCore(), measure.Quantile(entry.micros, 0.5)/measure.Quantile(naive.micros, 0.5),
		measure.Quantile(entry.micros, 0.99)/measure.Quantile(naive.micros, 0.99))
	return b.String()
}

func (w *way) perCore() float64 { return float64(w.requests) / w.cpu.Seconds() }
