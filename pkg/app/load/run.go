package load

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/load"
	"ironhollow/pkg/operatorapi/operatorwire"
)

// loadRun holds the flags of the run command. The rates are in requests per second.
type loadRun struct {
	entries, admins                     []string
	shortRate, longRate, atMostOnceRate float64
	duration                            time.Duration
	seed                                uint64
	longTokens                          int
	allowCuts                           bool
	out                                 io.Writer
	http                                *http.Client
}

func runCommand() *cobra.Command {
	var fleet string
	r := loadRun{http: httpx.NewClient(512)}
	command := &cobra.Command{
		Use:   "run",
		Short: "Send load at stated rates and check every answer; fails if one is wrong or cut off",
		RunE: func(command *cobra.Command, _ []string) error {
			scenario, ok := fleetScenarios[fleet]
			if !ok {
				return fmt.Errorf("--fleet: got %q, valid: authority, head-office", fleet)
			}
			r.out = command.OutOrStdout()
			return r.run(command.Context(), scenario)
		},
	}
	flags := command.Flags()
	flags.StringVar(&fleet, "fleet", "authority", "authority or head-office")
	flags.StringSliceVar(&r.entries, "entries", nil, "callers' addresses to begin with")
	flags.StringSliceVar(&r.admins, "admins", nil, "admin addresses of the entries")
	flags.Float64Var(&r.shortRate, "short", 10, "short streamed requests a second")
	flags.Float64Var(&r.longRate, "long", 1, "jobs a second")
	flags.IntVar(&r.longTokens, "long-tokens", 300, "longest answer of a job")
	flags.Float64Var(&r.atMostOnceRate, "once", 10, "calls a second that may not be repeated")
	flags.DurationVar(&r.duration, "for", 20*time.Second, "how long")
	flags.Uint64Var(&r.seed, "seed", 1, "seed of the arrivals")
	flags.BoolVar(&r.allowCuts, "allow-cuts", false, "do not fail for connections that broke and were taken up")
	return command
}

func (r loadRun) run(ctx context.Context, scenario fleetScenario) error {
	shortModel := map[string]string{"eligibility": "credit-8b", "commentary": "narrator-8b"}[scenario.shortService]
	check := func(model string) func(load.Prompt, string, string) string {
		return func(p load.Prompt, request, text string) string {
			if want := expectedAnswer(model, p, request); text != want {
				return fmt.Sprintf("request %s: got %d characters, want %d", request, len(text), len(want))
			}
			return ""
		}
	}
	sources := []load.Source{
		{Kind: load.KindStream, Service: scenario.shortService, Team: scenario.shortTeam, Rate: r.shortRate, MaxTokens: 60, Check: check(shortModel)},
		{Kind: load.KindJob, Service: scenario.longService, Team: scenario.longTeam, Rate: r.longRate, MaxTokens: r.longTokens, Check: check(scenario.longModel)},
		{Kind: load.KindCall, Service: scenario.plainService, Team: scenario.plainTeam, Rate: r.atMostOnceRate, Path: scenario.atMostOncePath},
	}
	report := load.Run(ctx, sources, r.entries, r.http, r.duration, r.seed)
	_, _ = fmt.Fprint(r.out, report.String())
	return errors.Join(r.checkReport(report), r.checkCallOutcomes(ctx, scenario, report))
}

func (r loadRun) checkReport(report load.Report) error {
	var errs []error
	for _, s := range report.Sources {
		if s.Wrong > 0 || (s.Interrupted > 0 && !r.allowCuts) {
			errs = append(errs, fmt.Errorf("%s: %d wrong, %d cut off of %d", s.Source.Service, s.Wrong, s.Interrupted, s.Sent))
		}
	}
	return errors.Join(errs...)
}

// checkCallOutcomes compares the reported outcomes of the plain calls with the
// number of runs that the stand-in service recorded.
func (r loadRun) checkCallOutcomes(ctx context.Context, scenario fleetScenario, report load.Report) error {
	runs, err := r.callRuns(ctx, scenario.plainService)
	if err != nil {
		return err
	}
	var errs []error
	for key, outcome := range report.CallOutcomes {
		switch runCount := runs[key]; {
		case runCount > 1:
			errs = append(errs, fmt.Errorf("call %s ran %d times", key, runCount))
		case outcome == "not-run" && runCount > 0:
			errs = append(errs, fmt.Errorf("call %s was told \"not run\", but it ran", key))
		case outcome == "done" && runCount != 1:
			errs = append(errs, fmt.Errorf("call %s was told \"done\", but it did not run", key))
		}
	}
	_, _ = fmt.Fprintf(r.out, "%d calls that may not be repeated: none ran twice, and each was told the truth: %v\n", len(report.CallOutcomes), len(errs) == 0)
	return errors.Join(errs...)
}

func (r loadRun) callRuns(ctx context.Context, service string) (map[string]int, error) {
	runs := map[string]int{}
	for _, admin := range r.admins {
		var status operatorwire.EntryStatus
		if httpx.CallJSON(ctx, r.http, http.MethodGet, "http://"+admin+"/status", nil, &status) != nil {
			continue
		}
		// Each stand-in process has its own ledger, which its hosts share.
		for _, e := range status.Endpoints {
			if e.Service != service {
				continue
			}
			var hostRuns map[string]int
			if err := httpx.CallJSON(ctx, r.http, http.MethodGet, "http://"+e.Address+"/standin/runs", nil, &hostRuns); err != nil {
				return nil, err
			}
			for key, n := range hostRuns {
				runs[key] += n
			}
		}
		return runs, nil
	}
	return nil, errors.New("no entry answers on its admin address")
}
