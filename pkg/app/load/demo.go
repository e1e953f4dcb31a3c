package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/load"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/standin/clouds"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/standin/services"
)

// fleetScenario holds the services, teams and requests of one demonstration fleet.
type fleetScenario struct {
	shortService, longService, plainService string
	shortTeam, longTeam                     string
	plainTeam                               string
	atMostOncePath                          string
	shortPrompt, longPrompt                 string
	longModel                               string
	shortLabel, atMostOnceLabel             string
	longMaxTokens                           int
}

var fleetScenarios = map[string]fleetScenario{
	"authority": {
		shortService: "eligibility", longService: "review", plainService: "ledger", shortTeam: "applicants", longTeam: "officers", plainTeam: "agents",
		atMostOncePath: "/confirmations", longModel: "narrative-70b", longMaxTokens: 1200,
		shortPrompt: "Am I eligible for a market loan of 300?", longPrompt: "Review the file of applicant 4711: " + strings.Repeat("repaid on time; ", 60),
		shortLabel: "eligibility text", atMostOnceLabel: "disbursement confirmation",
	},
	"head-office": {
		shortService: "commentary", longService: "recap", plainService: "lobby", shortTeam: "spectators", longTeam: "stewards", plainTeam: "lobbies",
		atMostOncePath: "/seats", longModel: "narrator-70b", longMaxTokens: 1100,
		shortPrompt: "Lap 12: car 7 closes on car 3.", longPrompt: "Recap the season: " + strings.Repeat("round won by car 7; ", 60),
		shortLabel: "pit-wall commentary", atMostOnceLabel: "seat check",
	},
}

// demo is one run of the demonstration.
type demo struct {
	scenario fleetScenario
	entries  []string
	admins   []string
	platform string
	// onlyReady makes the run stop once the fleet is ready.
	onlyReady bool
	out       io.Writer
	http      *http.Client
}

func demoCommand() *cobra.Command {
	var fleet string
	d := demo{http: httpx.NewClient(8)}
	command := &cobra.Command{
		Use:   "demo",
		Short: "Show the promises on a running fleet; fails if one is broken",
		RunE: func(command *cobra.Command, _ []string) error {
			scenario, ok := fleetScenarios[fleet]
			if !ok {
				return fmt.Errorf("--fleet: got %q, valid: authority, head-office", fleet)
			}
			d.scenario, d.out = scenario, command.OutOrStdout()
			return d.run(command.Context())
		},
	}
	flags := command.Flags()
	flags.StringVar(&fleet, "fleet", "authority", "authority or head-office")
	flags.StringSliceVar(&d.entries, "entries", nil, "callers' addresses of the entries")
	flags.StringSliceVar(&d.admins, "admins", nil, "admin addresses of the same entries")
	flags.StringVar(&d.platform, "platform", "", "address of the platform stand-in")
	flags.BoolVar(&d.onlyReady, "only-ready", false, "wait until the fleet is ready, and no more")
	return command
}

func (d *demo) client(team string) *load.Client {
	return load.NewClient("key-"+team, d.entries, d.http)
}

func (d *demo) printLine(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.awaitReady}
	if !d.onlyReady {
		steps = append(steps, d.streamShortAnswer, d.fetchJobFromOtherEntry, d.repeatCallWithKey, d.reclaimDuringJob)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if !d.onlyReady {
		d.printLine("All promises shown were kept.")
	}
	return nil
}

// awaitReady waits until every entry is ready and the models are loaded.
func (d *demo) awaitReady(ctx context.Context) error {
	start := time.Now()
	for {
		if d.isReady(ctx) {
			d.printLine("- %d entries serve, models are placed (%.1f s)", len(d.entries), time.Since(start).Seconds())
			return nil
		}
		if time.Since(start) > 30*time.Second {
			return errors.New("the fleet was not ready within 30 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *demo) isReady(ctx context.Context) bool {
	for _, admin := range d.admins {
		var status operatorwire.EntryStatus
		if httpx.CallJSON(ctx, d.http, http.MethodGet, "http://"+admin+"/status", nil, &status) != nil || status.Revision == 0 {
			return false
		}
		serving := 0
		for _, n := range status.Nodes {
			if n.Status == "alive" && n.Ready {
				serving++
			}
		}
		loaded, plain := map[string]int{}, 0
		for _, e := range status.Endpoints {
			if e.Kind == "plain" {
				plain++
			} else if e.Model == "" {
				return false
			}
			loaded[e.Model]++
		}
		if serving < len(d.admins) || plain == 0 || loaded[d.scenario.longModel] < 2 || len(loaded) < 3 {
			return false
		}
	}
	return true
}

func (d *demo) streamShortAnswer(ctx context.Context) error {
	answer, err := d.client(d.scenario.shortTeam).Stream(ctx, load.Prompt{Service: d.scenario.shortService, Text: d.scenario.shortPrompt, MaxTokens: 60})
	if err != nil {
		return fmt.Errorf("%s: %w", d.scenario.shortLabel, err)
	}
	d.printLine("- %s: %d tokens streamed, the first after %d ms: %.40s...", d.scenario.shortLabel, answer.Tokens, answer.TimeToFirstToken.Milliseconds(), answer.Text)
	return nil
}

// fetchJobFromOtherEntry submits a job to one entry, submits it to a second one
// with the same key, and fetches the result from the last entry.
func (d *demo) fetchJobFromOtherEntry(ctx context.Context) error {
	c := d.client(d.scenario.longTeam)
	j, err := c.PostJob(ctx, d.entries[0], "demo-job-1", load.Prompt{Service: d.scenario.longService, Text: d.scenario.longPrompt, MaxTokens: 200})
	if err != nil {
		return fmt.Errorf("%s: %w", d.scenario.longService, err)
	}
	repeated, err := c.PostJob(ctx, d.entries[1], "demo-job-1", load.Prompt{Service: d.scenario.longService, Text: d.scenario.longPrompt, MaxTokens: 200})
	if err != nil || repeated.ID != j.ID {
		return fmt.Errorf("%s sent again with its key: got job %q, want %q (%w)", d.scenario.longService, repeated.ID, j.ID, err)
	}
	other := d.entries[len(d.entries)-1]
	finished, err := c.GetJob(ctx, other, j.ID, 20*time.Second)
	if err != nil || finished.Result == nil {
		return fmt.Errorf("%s from another entry: %w, status %s", d.scenario.longService, err, finished.Status)
	}
	d.printLine("- %s: accepted by %s, whole result of %d characters fetched from %s", d.scenario.longService, d.entries[0], len(finished.Result.Text), other)
	return nil
}

func (d *demo) repeatCallWithKey(ctx context.Context) error {
	c := d.client(d.scenario.plainTeam)
	body := []byte(`{"loan":4711,"amount":300}`)
	var answers []services.Response
	for i := range 2 {
		got, err := c.Call(ctx, d.entries[i%len(d.entries)], http.MethodPost, d.scenario.plainService, d.scenario.atMostOncePath, "demo-once-1", body)
		if err != nil {
			return fmt.Errorf("%s: %w", d.scenario.atMostOnceLabel, err)
		}
		var answer services.Response
		if err := json.Unmarshal(got.Body, &answer); err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if answers[0].Run != 1 || answers[0] != answers[1] {
		return fmt.Errorf("%s ran more than once: %+v", d.scenario.atMostOnceLabel, answers)
	}
	d.printLine("- %s sent twice with one key, at two entries: it ran once, and both got that run's answer", d.scenario.atMostOnceLabel)
	return nil
}

// reclaimDuringJob reclaims the endpoint that runs a job and compares the result
// with the answer of an uninterrupted run.
func (d *demo) reclaimDuringJob(ctx context.Context) error {
	c := d.client(d.scenario.longTeam)
	prompt := load.Prompt{Service: d.scenario.longService, Text: d.scenario.longPrompt + " In full.", MaxTokens: d.scenario.longMaxTokens}
	j, err := d.postLongJob(ctx, c, prompt)
	if err != nil {
		return err
	}
	host, err := d.findRunningEngine(ctx, d.scenario.longModel, j.ID)
	if err != nil {
		return err
	}
	reclaimRequest := clouds.ReclaimRequest{Host: host, NoticeMS: 1500}
	var result clouds.ReclaimResult
	if err := httpx.CallJSON(ctx, d.http, http.MethodPost, "http://"+d.platform+"/standin/reclaim", reclaimRequest, &result); err != nil || result.Count != 1 {
		return fmt.Errorf("reclaim of %s: %w, %d hosts", host, err, result.Count)
	}
	finished, err := c.GetJob(ctx, d.entries[1], j.ID, 45*time.Second)
	if err != nil || finished.Result == nil {
		return fmt.Errorf("%s after a reclaim: %w, %+v", d.scenario.longService, err, finished)
	}
	want := expectedAnswer(d.scenario.longModel, prompt, j.ID)
	if finished.Result.Text != want {
		return fmt.Errorf("%s after a reclaim is not whole: got %d characters, want %d", d.scenario.longService, len(finished.Result.Text), len(want))
	}
	d.printLine("- %s: its endpoint %s was reclaimed with 1.5 s notice while it ran; the answer is whole (%d characters, as undisturbed)", d.scenario.longService, host, len(want))
	return nil
}

// minLongAnswerLength is the number of characters from which an answer takes
// longer than the reclaim notice. The length of an answer depends on the job id.
const minLongAnswerLength = 6000

// postLongJob submits jobs until the id of one gives a long answer.
func (d *demo) postLongJob(ctx context.Context, c *load.Client, prompt load.Prompt) (load.Job, error) {
	for range 20 {
		j, err := c.PostJob(ctx, d.entries[0], "", prompt)
		if err != nil || len(expectedAnswer(d.scenario.longModel, prompt, j.ID)) >= minLongAnswerLength {
			return j, err
		}
	}
	return load.Job{}, errors.New("no job has a long answer")
}

// expectedAnswer returns the answer of the stand-in engine in an uninterrupted run.
func expectedAnswer(model string, p load.Prompt, request string) string {
	modelRef := engines.ModelRef{Model: model, Version: "1"}
	return strings.Join(engines.Completion(modelRef, string(p.Messages()), load.SeedOf(request), p.MaxTokens), "")
}

// findRunningEngine returns the endpoint of the engine that runs a request.
func (d *demo) findRunningEngine(ctx context.Context, model, request string) (string, error) {
	for range 200 {
		var status operatorwire.EntryStatus
		if err := httpx.CallJSON(ctx, d.http, http.MethodGet, "http://"+d.admins[0]+"/status", nil, &status); err != nil {
			return "", err
		}
		for _, e := range status.Endpoints {
			if e.Model != model || e.State != "live" {
				continue
			}
			if httpx.CallJSON(ctx, d.http, http.MethodGet, "http://"+e.Address+"/v1/kv/"+request, nil, nil) == nil {
				return e.Endpoint, nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return "", errors.New("no engine runs the job")
}
