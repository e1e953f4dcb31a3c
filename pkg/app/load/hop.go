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

// hopBenchmark measures the overhead of one entry hop, compared with direct calls to
// the engine and with calls through a plain pass-through proxy (the naive hop).
type hopBenchmark struct {
	engine, passthrough, entry, admin, service string
	entryPID, passthroughPID                   int
	workers, rounds, tokens                    int
	roundDuration                              time.Duration
	outPath                                    string
	http                                       *http.Client
}

func hopCommand() *cobra.Command {
	h := hopBenchmark{http: httpx.NewClient(256)}
	command := &cobra.Command{
		Use:   "hop",
		Short: "Measure what one entry hop adds",
		RunE: func(command *cobra.Command, _ []string) error {
			text, err := h.run(command.Context())
			if err != nil {
				return err
			}
			_, _ = fmt.Fprint(command.OutOrStdout(), text)
			return os.WriteFile(h.outPath, []byte(text), 0o644)
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
	flags.DurationVar(&h.roundDuration, "for", 3*time.Second, "time of one round")
	flags.StringVar(&h.outPath, "out", "", "file for the table")
	return command
}

// target is one path to the engine, with the measurements of its counted rounds.
type target struct {
	name  string
	url   string
	model string
	// admin is the admin address and pid the id of the intermediate process;
	// both are empty if there is none.
	admin string
	pid   int
	// The fields below are measured.
	latencyMicros []float64
	requests      int
	cpuTime       time.Duration
	allocations   float64
}

func (h hopBenchmark) run(ctx context.Context) (string, error) {
	targets := []*target{
		{name: "direct", url: "http://" + h.engine, model: "credit-8b"},
		{name: "naive pass-through", url: "http://" + h.passthrough, model: "credit-8b", admin: h.passthrough, pid: h.passthroughPID},
		{name: "entry", url: "http://" + h.entry, model: h.service, admin: h.admin, pid: h.entryPID},
	}
	for round := 0; round <= h.rounds; round++ {
		for _, t := range targets {
			// The first round is a warm-up and does not count.
			if err := h.runRound(ctx, t, round > 0); err != nil {
				return "", fmt.Errorf("%s: %w", t.name, err)
			}
		}
	}
	return h.formatTable(targets), nil
}

func (h hopBenchmark) runRound(ctx context.Context, t *target, counted bool) error {
	var before, after measure.Usage
	var allocsBefore, allocsAfter map[string]float64
	var err error
	if t.pid != 0 {
		if allocsBefore, err = measure.Counters(ctx, h.http, t.admin); err != nil {
			return err
		}
		if before, err = measure.ProcessUsage(t.pid); err != nil {
			return err
		}
	}
	micros, err := h.runWorkers(ctx, t)
	if err != nil || !counted {
		return err
	}
	if t.pid != 0 {
		if after, err = measure.ProcessUsage(t.pid); err != nil {
			return err
		}
		if allocsAfter, err = measure.Counters(ctx, h.http, t.admin); err != nil {
			return err
		}
		t.cpuTime += after.CPU - before.CPU
		t.allocations += allocsAfter["go_memstats_mallocs_total"] - allocsBefore["go_memstats_mallocs_total"]
	}
	t.latencyMicros = append(t.latencyMicros, micros...)
	t.requests += len(micros)
	return nil
}

// runWorkers starts the workers for one round; each sends one request at a time.
func (h hopBenchmark) runWorkers(ctx context.Context, t *target) ([]float64, error) {
	var mu sync.Mutex
	var micros []float64
	var errs []error
	var wg sync.WaitGroup
	deadline := time.Now().Add(h.roundDuration)
	for range h.workers {
		wg.Go(func() {
			for time.Now().Before(deadline) {
				start := time.Now()
				err := h.sendRequest(ctx, t)
				mu.Lock()
				micros = append(micros, float64(time.Since(start).Microseconds()))
				if err != nil {
					errs = append(errs, err)
				}
				mu.Unlock()
				if err != nil {
					return
				}
			}
		})
	}
	wg.Wait()
	return micros, errors.Join(errs...)
}

func (h hopBenchmark) sendRequest(ctx context.Context, t *target) error {
	body := fmt.Sprintf(`{"model":%q,"version":"1","adapter":"","stream":true,"max_tokens":%d,"seed":7,"messages":[{"role":"user","content":"Am I eligible?"}]}`, t.model, h.tokens)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url+"/v1/chat/completions", bytes.NewReader([]byte(body)))
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

func (h hopBenchmark) formatTable(targets []*target) string {
	var b strings.Builder
	fmt.Fprintf(&b, "# What one entry hop adds\n\nMade by `make bench-hop`: streamed answers of %d tokens from one stand-in engine, %d at once, %d rounds of %v\n"+
		"of each way in turn, on one machine; limits, counters and sampling of traces are on in the entry.\n\n", h.tokens, h.workers, h.rounds, h.roundDuration)
	b.WriteString("| way | requests | p50 | p99 | requests/s a core of the hop | allocations a request |\n|---|---|---|---|---|---|\n")
	for _, t := range targets {
		sort.Float64s(t.latencyMicros)
		perCore, allocs := "", ""
		if t.pid != 0 {
			perCore = fmt.Sprintf("%.0f", t.requestsPerCore())
			allocs = fmt.Sprintf("%.0f", t.allocations/float64(t.requests))
		}
		fmt.Fprintf(&b, "| %s | %d | %.2f ms | %.2f ms | %s | %s |\n", t.name, t.requests, measure.Quantile(t.latencyMicros, 0.5)/1000, measure.Quantile(t.latencyMicros, 0.99)/1000, perCore, allocs)
	}
	naive, entry := targets[1], targets[2]
	fmt.Fprintf(&b, "\nThe entry against the naive pass-through: %.2f of its requests/s a core (target at least 0.8), %.2f of its p50 and %.2f of its p99 (target at most 1.25).\n",
		entry.requestsPerCore()/naive.requestsPerCore(), measure.Quantile(entry.latencyMicros, 0.5)/measure.Quantile(naive.latencyMicros, 0.5),
		measure.Quantile(entry.latencyMicros, 0.99)/measure.Quantile(naive.latencyMicros, 0.99))
	return b.String()
}

func (t *target) requestsPerCore() float64 { return float64(t.requests) / t.cpuTime.Seconds() }
