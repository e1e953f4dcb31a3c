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

// generator generates the answers of jobs; it is a job.Generator.
type generator struct {
	config              *config.Holder
	runner              *stream.Runner
	concurrencyLimiters *limit.ConcurrencyLimiters
}

func newGenerator(holder *config.Holder, runner *stream.Runner, concurrencyLimiters *limit.ConcurrencyLimiters) job.Generator {
	return &generator{holder, runner, concurrencyLimiters}
}

// newPermitHolder returns the holder of a job's concurrency permit. Jobs share the permits of a
// target with requests whose callers wait, and yield to them.
func (g *generator) newPermitHolder(j job.Job, c *fleet.Config, s fleet.Service) *limit.PermitHolder {
	weight := 1
	if team, ok := c.Team(j.Team); ok {
		weight = team.Weight()
	}
	target := route.Target{Model: s.Model(), Version: s.Version(), Adapter: s.Adapter()}
	return limit.NewPermitHolder(g.concurrencyLimiters.For(target), limit.PermitRequest{
		Team: j.Team, Weight: weight, Priority: s.Priority(), MayWait: true, Yield: func() bool { return g.runner.Preempt(j.ID) },
	})
}

// Generate runs a job's request. It continues after the tokens of a checkpoint if they are from
// the version that the service still uses.
func (g *generator) Generate(ctx context.Context, j job.Job, version string, receivedTokens []string, started func(job.Progress)) (job.Result, error) {
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
		request.Received = receivedTokens
	}
	permit := g.newPermitHolder(j, c, s)
	if err := permit.Acquire(ctx); err != nil {
		return job.Result{}, err
	}
	defer permit.Release()
	request.MayWait = true
	request.Requeue = permit.Reacquire
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
