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

// fleetWords are what a demonstration sends for one of the users.
type fleetWords struct {
	short, long, plain  string
	shortTeam, longTeam string
	plainTeam           string
	oncePath            string
	shortText, longText string
	longModel           string
	shortSays, onceSays string
	longTokens          int
}

var fleets = map[string]fleetWords{
	"authority": {
		short: "eligibility", long: "review", plain: "ledger", shortTeam: "applicants", longTeam: "officers", plainTeam: "agents",
		oncePath: "/confirmations", longModel: "narrative-70b", longTokens: 1200,
		shortText: "Am I eligible for a market loan of 300?", longText: "Review the file of applicant 4711: " + strings.Repeat("repaid on time; ", 60),
		shortSays: "eligibility text", onceSays: "disbursement confirmation",
	},
	"head-office": {
		short: "commentary", long: "recap", plain: "lobby", shortTeam: "spectators", longTeam: "stewards", plainTeam: "lobbies",
		oncePath: "/seats", longModel: "narrator-70b", longTokens: 1100,
		shortText: "Lap 12: car 7 closes on car 3.", longText: "Recap the season: " + strings.Repeat("round won by car 7; ", 60),
		shortSays: "pit-wall commentary", onceSays: "seat check",
	},
}

// demo is one demonstration run.
type demo struct {
	words    fleetWords
	entries  []string
	admins   []string
	platform string
	// onlyReady waits for the fleet and shows nothing.
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
			words, ok := fleets[fleet]
			if !ok {
				return fmt.Errorf("--fleet: got %q, valid: authority, head-office", fleet)
			}
			d.words, d.out = words, command.OutOrStdout()
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

func (d *demo) say(format string, args ...any) { _, _ = fmt.Fprintf(d.out, format+"\n", args...) }

func (d *demo) run(ctx context.Context) error {
	steps := []func(context.Context) error{d.awaitReady}
	if !d.onlyReady {
		steps = append(steps, d.shortAnswer, d.jobElsewhere, d.callTwice, d.reclaimUnderJob)
	}
	for _, step := range steps {
		if err := step(ctx); err != nil {
			return err
		}
	}
	if !d.onlyReady {
		d.say("All promises shown were kept.")
	}
	return nil
}

// awaitReady waits until every entry serves and both models are placed.
func (d *demo) awaitReady(ctx context.Context) error {
	begun := time.Now()
	for {
		if d.ready(ctx) {
			d.say("- %d entries serve, models are placed (%.1f s)", len(d.entries), time.Since(begun).Seconds())
			return nil
		}
		if time.Since(begun) > 30*time.Second {
			return errors.New("the fleet was not ready within 30 s")
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func (d *demo) ready(ctx context.Context) bool {
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
		if serving < len(d.admins) || plain == 0 || loaded[d.words.longModel] < 2 || len(loaded) < 3 {
			return false
		}
	}
	return true
}

func (d *demo) shortAnswer(ctx context.Context) error {
	answer, err := d.client(d.words.shortTeam).Stream(ctx, load.Prompt{Service: d.words.short, Text: d.words.shortText, MaxTokens: 60})
	if err != nil {
		return fmt.Errorf("%s: %w", d.words.shortSays, err)
	}
	d.say("- %s: %d tokens streamed, the first after %d ms: %.40s...", d.words.shortSays, answer.Tokens, answer.FirstToken.Milliseconds(), answer.Text)
	return nil
}

// jobElsewhere has one entry accept a job and fetches its result from another.
func (d *demo) jobElsewhere(ctx context.Context) error {
	c := d.client(d.words.longTeam)
	j, err := c.PostJob(ctx, d.entries[0], "demo-job-1", load.Prompt{Service: d.words.long, Text: d.words.longText, MaxTokens: 200})
	if err != nil {
		return fmt.Errorf("%s: %w", d.words.long, err)
	}
	again, err := c.PostJob(ctx, d.entries[1], "demo-job-1", load.Prompt{Service: d.words.long, Text: d.words.longText, MaxTokens: 200})
	if err != nil || again.ID != j.ID {
		return fmt.Errorf("%s sent again with its key: got job %q, want %q (%w)", d.words.long, again.ID, j.ID, err)
	}
	other := d.entries[len(d.entries)-1]
	done, err := c.GetJob(ctx, other, j.ID, 20*time.Second)
	if err != nil || done.Result == nil {
		return fmt.Errorf("%s from another entry: %w, status %s", d.words.long, err, done.Status)
	}
	d.say("- %s: accepted by %s, whole result of %d characters fetched from %s", d.words.long, d.entries[0], len(done.Result.Text), other)
	return nil
}

func (d *demo) callTwice(ctx context.Context) error {
	c := d.client(d.words.plainTeam)
	body := []byte(`{"loan":4711,"amount":300}`)
	var answers []services.Response
	for i := range 2 {
		got, err := c.Call(ctx, d.entries[i%len(d.entries)], http.MethodPost, d.words.plain, d.words.oncePath, "demo-once-1", body)
		if err != nil {
			return fmt.Errorf("%s: %w", d.words.onceSays, err)
		}
		var answer services.Response
		if err := json.Unmarshal(got.Body, &answer); err != nil {
			return err
		}
		answers = append(answers, answer)
	}
	if answers[0].Run != 1 || answers[0] != answers[1] {
		return fmt.Errorf("%s ran more than once: %+v", d.words.onceSays, answers)
	}
	d.say("- %s sent twice with one key, at two entries: it ran once, and both got that run's answer", d.words.onceSays)
	return nil
}

// reclaimUnderJob reclaims the endpoint that runs a job and compares its result
// with what the engine would have said undisturbed.
func (d *demo) reclaimUnderJob(ctx context.Context) error {
	c := d.client(d.words.longTeam)
	prompt := load.Prompt{Service: d.words.long, Text: d.words.longText + " In full.", MaxTokens: d.words.longTokens}
	j, err := d.longJob(ctx, c, prompt)
	if err != nil {
		return err
	}
	host, err := d.runningOn(ctx, d.words.longModel, j.ID)
	if err != nil {
		return err
	}
	order := clouds.ReclaimRequest{Host: host, NoticeMS: 1500}
	var result clouds.ReclaimResult
	if err := httpx.CallJSON(ctx, d.http, http.MethodPost, "http://"+d.platform+"/standin/reclaim", order, &result); err != nil || result.Count != 1 {
		return fmt.Errorf("reclaim of %s: %w, %d hosts", host, err, result.Count)
	}
	done, err := c.GetJob(ctx, d.entries[1], j.ID, 45*time.Second)
	if err != nil || done.Result == nil {
		return fmt.Errorf("%s after a reclaim: %w, %+v", d.words.long, err, done)
	}
	want := wholeAnswer(d.words.longModel, prompt, j.ID)
	if done.Result.Text != want {
		return fmt.Errorf("%s after a reclaim is not whole: got %d characters, want %d", d.words.long, len(done.Result.Text), len(want))
	}
	d.say("- %s: its endpoint %s was reclaimed with 1.5 s notice while it ran; the answer is whole (%d characters, as undisturbed)", d.words.long, host, len(want))
	return nil
}

// longAnswer is how many characters make an answer that runs for longer than
// the notice; how long an answer is depends on the job's id.
const longAnswer = 6000

// longJob posts jobs until one has a long answer.
func (d *demo) longJob(ctx context.Context, c *load.Client, prompt load.Prompt) (load.Job, error) {
	for range 20 {
		j, err := c.PostJob(ctx, d.entries[0], "", prompt)
		if err != nil || len(wholeAnswer(d.words.longModel, prompt, j.ID)) >= longAnswer {
			return j, err
		}
	}
	return load.Job{}, errors.New("no job has a long answer")
}

// wholeAnswer is what the stand-in engine gives undisturbed.
func wholeAnswer(model string, p load.Prompt, request string) string {
	loaded := engines.ModelRef{Model: model, Version: "1"}
	return strings.Join(engines.Completion(loaded, string(p.Messages()), load.SeedOf(request), p.MaxTokens), "")
}

// runningOn returns the engine that runs a request.
func (d *demo) runningOn(ctx context.Context, model, request string) (string, error) {
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
