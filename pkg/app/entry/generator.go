package entry

import (
	"context"

	"ironhollow/pkg/chat"
	"ironhollow/pkg/code"
	"ironhollow/pkg/config"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
)

// generator gives jobs their answers.
type generator struct {
	config *config.Holder
	runner *stream.Runner
	gates  *limit.ConcurrencyLimiters
}

func newGenerator(holder *config.Holder, runner *stream.Runner, gates *limit.ConcurrencyLimiters) job.Generator {
	return &generator{holder, runner, gates}
}

// placeFor returns a job's place beside callers who wait.
func (g *generator) placeFor(j job.Job, c *fleet.Config, s fleet.Service) *limit.PermitHolder {
	weight := 1
	if team, ok := c.Team(j.Team); ok {
		weight = team.Weight()
	}
	target := route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()}
	return limit.NewPermitHolder(g.gates.For(target), limit.PermitRequest{
		Team: j.Team, Weight: weight, Priority: s.Priority(), MayWait: true, Yield: func() bool { return g.runner.Preempt(j.ID) },
	})
}

// Generate runs a job's request, going on after the tokens of a checkpoint if
// they are of the version that is served still.
func (g *generator) Generate(ctx context.Context, j job.Job, version string, received []string, started func(job.Progress)) (job.Result, error) {
	body, err := chat.Parse(j.Body)
	if err != nil {
		return job.Result{}, err
	}
	c := g.config.Current()
	s, ok := c.Service(j.Service)
	if !ok {
		return job.Result{}, code.New(code.UnknownService, "service "+j.Service+" was removed")
	}
	request := body.Request(j.ID, s)
	request.Prompt.Deadline = j.Deadline
	request.EndpointTimeout = s.Deadline()
	if c.Policy().NaiveRoute() {
		request.Strategy = route.RoundRobin
	}
	if version == s.Version() {
		request.Received = received
	}
	place := g.placeFor(j, c, s)
	if err := place.Acquire(ctx); err != nil {
		return job.Result{}, err
	}
	defer place.Release()
	request.MayWait = true
	request.Requeue = place.Reacquire
	collector := chat.NewCollector(s.Version(), request.Received)
	started(collector)
	result, err := g.runner.Run(ctx, request, collector)
	if err != nil {
		return job.Result{}, err
	}
	return job.Result{
		Text: collector.Text(), Finish: result.FinishReason, Model: s.Model() + "@" + result.Version,
		PromptTokens: result.Usage.PromptTokens, CompletionTokens: result.Usage.CompletionTokens,
	}, nil
}
