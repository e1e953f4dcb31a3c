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

// loadRun is a run of load against a fleet.
type loadRun struct {
	entries, admins   []string
	short, long, once float64
	lasts             time.Duration
	seed              uint64
	longTokens        int
	allowCuts         bool
	out               io.Writer
	http              *http.Client
}

func runCommand() *cobra.Command {
	var fleet string
	r := loadRun{http: httpx.NewClient(512)}
	command := &cobra.Command{
		Use:   "run",
		Short: "Send load at stated rates and check every answer; fails if one is wrong or cut off",
		RunE: func(command *cobra.Command, _ []string) error {
			words, ok := fleets[fleet]
			if !ok {
				return fmt.Errorf("--fleet: got %q, valid: authority, head-office", fleet)
			}
			r.out = command.OutOrStdout()
			return r.run(command.Context(), words)
		},
	}
	flags := command.Flags()
	flags.StringVar(&fleet, "fleet", "authority", "authority or head-office")
	flags.StringSliceVar(&r.entries, "entries", nil, "callers' addresses to begin with")
	flags.StringSliceVar(&r.admins, "admins", nil, "admin addresses of the entries")
	flags.Float64Var(&r.short, "short", 10, "short streamed requests a second")
	flags.Float64Var(&r.long, "long", 1, "jobs a second")
	flags.IntVar(&r.longTokens, "long-tokens", 300, "longest answer of a job")
	flags.Float64Var(&r.once, "once", 10, "calls a second that may not be repeated")
	flags.DurationVar(&r.lasts, "for", 20*time.Second, "how long")
	flags.Uint64Var(&r.seed, "seed", 1, "seed of the arrivals")
	flags.BoolVar(&r.allowCuts, "allow-cuts", false, "do not fail for connections that broke and were taken up")
	return command
}

func (r loadRun) run(ctx context.Context, words fleetWords) error {
	shortModel := map[string]string{"eligibility": "credit-8b", "commentary": "narrator-8b"}[words.short]
	check := func(model string) func(load.Prompt, string, string) string {
		return func(p load.Prompt, request, text string) string {
			if want := wholeAnswer(model, p, request); text != want {
				return fmt.Sprintf("request %s: got %d characters, want %d", request, len(text), len(want))
			}
			return ""
		}
	}
	sources := []load.Source{
		{Kind: load.KindStream, Service: words.short, Team: words.shortTeam, Rate: r.short, MaxTokens: 60, Check: check(shortModel)},
		{Kind: load.KindJob, Service: words.long, Team: words.longTeam, Rate: r.long, MaxTokens: r.longTokens, Check: check(words.longModel)},
		{Kind: load.KindCall, Service: words.plain, Team: words.plainTeam, Rate: r.once, Path: words.oncePath},
	}
	report := load.Run(ctx, sources, r.entries, r.http, r.lasts, r.seed)
	_, _ = fmt.Fprint(r.out, report.String())
	return errors.Join(r.judge(report), r.compareLedger(ctx, words, report))
}

func (r loadRun) judge(report load.Report) error {
	var faults []error
	for _, s := range report.Sources {
		if s.Wrong > 0 || (s.Interrupted > 0 && !r.allowCuts) {
			faults = append(faults, fmt.Errorf("%s: %d wrong, %d cut off of %d", s.Source.Service, s.Wrong, s.Interrupted, s.Sent))
		}
	}
	return errors.Join(faults...)
}

// compareLedger asks the stand-in service how often each call ran.
func (r loadRun) compareLedger(ctx context.Context, words fleetWords, report load.Report) error {
	runs, err := r.ledger(ctx, words.plain)
	if err != nil {
		return err
	}
	var faults []error
	for key, outcome := range report.CallOutcomes {
		switch ran := runs[key]; {
		case ran > 1:
			faults = append(faults, fmt.Errorf("call %s ran %d times", key, ran))
		case outcome == "not-run" && ran > 0:
			faults = append(faults, fmt.Errorf("call %s was told \"not run\", but it ran", key))
		case outcome == "done" && ran != 1:
			faults = append(faults, fmt.Errorf("call %s was told \"done\", but it did not run", key))
		}
	}
	_, _ = fmt.Fprintf(r.out, "%d calls that may not be repeated: none ran twice, and each was told the truth: %v\n", len(report.CallOutcomes), len(faults) == 0)
	return errors.Join(faults...)
}

func (r loadRun) ledger(ctx context.Context, service string) (map[string]int, error) {
	runs := map[string]int{}
	for _, admin := range r.admins {
		var status operatorwire.EntryStatus
		if httpx.CallJSON(ctx, r.http, http.MethodGet, "http://"+admin+"/status", nil, &status) != nil {
			continue
		}
		// Each stand-in process has a ledger of its own, shared by its hosts.
		for _, e := range status.Endpoints {
			if e.Service != service {
				continue
			}
			var own map[string]int
			if err := httpx.CallJSON(ctx, r.http, http.MethodGet, "http://"+e.Address+"/standin/runs", nil, &own); err != nil {
				return nil, err
			}
			for key, n := range own {
				runs[key] += n
			}
		}
		return runs, nil
	}
	return nil, errors.New("no entry answers on its admin address")
}
