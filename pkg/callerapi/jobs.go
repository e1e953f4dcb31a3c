package callerapi

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"time"

	"ironhollow/pkg/chat"
	"ironhollow/pkg/code"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/job"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/plainservice"
)

// jobBody is a job as shown to its caller. Result is there only when whole.
type jobBody struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Service string       `json:"service"`
	Status  string       `json:"status"`
	Created int64        `json:"created"`
	Expires int64        `json:"expires"`
	Runs    int          `json:"runs"`
	Result  *jobResult   `json:"result,omitempty"`
	Error   *errorDetail `json:"error,omitempty"`
}

type jobResult struct {
	Text         string            `json:"text"`
	FinishReason string            `json:"finish_reason"`
	Usage        engine.ChunkUsage `json:"usage"`
}

func showJob(j job.Job) jobBody {
	body := jobBody{
		ID: j.ID, Object: "job", Service: j.Service, Status: string(j.State),
		Created: j.Accepted.Unix(), Expires: j.Deadline.Unix(), Runs: j.Takeovers + 1,
	}
	switch j.State {
	case job.Done:
		usage := usageOf(engine.Usage{PromptTokens: j.Result.PromptTokens, CompletionTokens: j.Result.CompletionTokens})
		usage.Details = nil
		body.Result = &jobResult{j.Result.Text, j.Result.Finish, usage}
	case job.Failed:
		c, _ := code.ByNumber(j.Result.Code)
		body.Error = &errorDetail{j.Result.Message, "ironhollow_error", c.Name(), c.Number(), string(c.Outcome())}
	}
	return body
}

// serveJobPost accepts a job. The answer is sent only after the commit. A host
// that is leaving accepts jobs as long as callers come: those it does not get to
// are taken over from its rows.
func (a *API) serveJobPost(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	asked, err := a.prepareJob(w, r, c, team)
	if err != nil {
		writeError(w, err)
		return
	}
	held, fresh, err := a.Jobs.Accept(r.Context(), asked)
	if err != nil {
		if code.Of(err) == code.AcceptUnknown {
			a.Worker.RequestReconcile()
		}
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if fresh {
		status = http.StatusAccepted
		a.JobCounters.Accepted.Inc()
		a.Worker.Add(held)
	} else {
		a.JobCounters.Repeated.Inc()
	}
	w.Header().Set("Location", "/v1/jobs/"+held.ID)
	httpx.WriteJSON(w, status, showJob(held))
}

func (a *API) prepareJob(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) (job.Job, error) {
	data, err := a.readBody(w, r)
	if err != nil {
		return job.Job{}, err
	}
	body, err := chat.Parse(data)
	if err != nil {
		return job.Job{}, err
	}
	s, err := service(c, team, body.Service(), fleet.Model)
	if err != nil {
		return job.Job{}, err
	}
	if err := a.admit(team); err != nil {
		return job.Job{}, err
	}
	now := time.Now()
	sum := sha256.Sum256(data)
	return job.Job{
		ID:   job.NewID(team.Name(), s.Name(), r.Header.Get(plainservice.HeaderKey)),
		Team: team.Name(), Service: s.Name(), RequestHash: hex.EncodeToString(sum[:]), Body: data,
		Deadline: now.Add(s.Deadline()), Accepted: now, State: job.Accepted, Owner: a.Owner,
	}, nil
}

// Bounds of a wait for a job's result.
const (
	mostWait  = time.Minute
	firstPoll = 100 * time.Millisecond
	mostPoll  = time.Second
)

// serveJobGet shows a job; with wait=DURATION it waits for the end of it.
func (a *API) serveJobGet(w http.ResponseWriter, r *http.Request, _ *fleet.Config, team fleet.Team) {
	wait := time.Duration(0)
	if text := r.URL.Query().Get("wait"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > mostWait {
			writeError(w, code.New(code.BadHeader, "wait: got "+text+", valid: a duration up to "+mostWait.String()))
			return
		}
		wait = parsed
	}
	j, err := a.awaitJob(r.Context(), team.Name(), r.PathValue("id"), wait)
	if err != nil {
		writeError(w, err)
		return
	}
	if j.State == job.Accepted {
		w.Header().Set("Retry-After", "1")
	}
	httpx.WriteJSON(w, http.StatusOK, showJob(j))
}

func (a *API) awaitJob(ctx context.Context, team, id string, wait time.Duration) (job.Job, error) {
	until := time.Now().Add(wait)
	poll := firstPoll
	for {
		j, err := a.Jobs.Get(ctx, team, id)
		if err != nil || j.State != job.Accepted || time.Now().After(until) {
			return j, err
		}
		if !pause.For(ctx, min(poll, time.Until(until)+time.Millisecond)) {
			return j, ctx.Err()
		}
		poll = min(poll*3/2, mostPoll)
	}
}
