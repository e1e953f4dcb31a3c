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

// jobBody is a job as returned to its caller. Result is set only if it is complete.
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

func jobBodyOf(j job.Job) jobBody {
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

// serveJobPost accepts a job. The response is sent only after the commit. Other hosts take over the
// jobs that a host accepted and has not run when its process ends.
func (a *API) serveJobPost(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	requested, err := a.prepareJob(w, r, c, team)
	if err != nil {
		writeError(w, err)
		return
	}
	accepted, created, err := a.Jobs.Accept(r.Context(), requested)
	if err != nil {
		if code.Of(err) == code.AcceptUnknown {
			a.Worker.RequestReconcile()
		}
		writeError(w, err)
		return
	}
	status := http.StatusOK
	if created {
		status = http.StatusAccepted
		a.JobCounters.Accepted.Inc()
		a.Worker.Add(accepted)
	} else {
		a.JobCounters.Repeated.Inc()
	}
	w.Header().Set("Location", "/v1/jobs/"+accepted.ID)
	httpx.WriteJSON(w, status, jobBodyOf(accepted))
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
	s, err := findService(c, team, body.Service(), fleet.Model)
	if err != nil {
		return job.Job{}, err
	}
	if err := a.checkDrainForJob(); err != nil {
		return job.Job{}, err
	}
	if err := a.checkRate(team); err != nil {
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

// Limits of a wait for a job's result, and of the intervals between reads of the job.
const (
	maxWait             = time.Minute
	initialPollInterval = 100 * time.Millisecond
	maxPollInterval     = time.Second
)

// serveJobGet returns a job. With wait=DURATION it first waits until the job has finished, for
// that long at most, or until the process ends.
func (a *API) serveJobGet(w http.ResponseWriter, r *http.Request, _ *fleet.Config, team fleet.Team) {
	wait := time.Duration(0)
	if text := r.URL.Query().Get("wait"); text != "" {
		parsed, err := time.ParseDuration(text)
		if err != nil || parsed < 0 || parsed > maxWait {
			writeError(w, code.New(code.BadHeader, "wait: got "+text+", valid: a duration up to "+maxWait.String()))
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
	httpx.WriteJSON(w, http.StatusOK, jobBodyOf(j))
}

func (a *API) awaitJob(ctx context.Context, team, id string, wait time.Duration) (job.Job, error) {
	deadline := time.Now().Add(wait)
	interval := initialPollInterval
	for {
		j, err := a.Jobs.Get(ctx, team, id)
		if err != nil || j.State != job.Accepted || time.Now().After(deadline) {
			return j, err
		}
		if !pause.For(ctx, min(interval, time.Until(deadline)+time.Millisecond)) {
			if endedByProcess(ctx) {
				return j, nil
			}
			return j, ctx.Err()
		}
		interval = min(interval*3/2, maxPollInterval)
	}
}
