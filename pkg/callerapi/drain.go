package callerapi

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/urfave/negroni/v3"

	"ironhollow/pkg/code"
	"ironhollow/pkg/membership"
)

// drain is a planned stop of this host.
type drain struct {
	// Requests that may last until after requestsEndAt are rejected from rejectFrom on: by then callers
	// have received the list of the other hosts.
	rejectFrom, requestsEndAt time.Time
}

// InProgress describes a request in progress.
type InProgress struct {
	Method, Path string
	StartedAt    time.Time
}

// errProcessEnds is the cause of the end of a request that this process cannot continue.
var errProcessEnds = errors.New("the process of this host ends")

// StartDrain begins a planned stop. All requests are accepted for acceptTime, and requests can run for
// requestTime.
func (a *API) StartDrain(acceptTime, requestTime time.Duration) {
	now := time.Now()
	a.drain.Store(&drain{now.Add(acceptTime), now.Add(requestTime)})
}

// EndRequests ends the requests in progress and rejects those that come later. Requests whose response
// has not begun are answered: as not run if they were sent to no endpoint, otherwise with an unknown
// outcome. Streams break off, and their callers resume them at another host.
func (a *API) EndRequests() { a.end() }

// InProgress returns the requests in progress.
func (a *API) InProgress() []InProgress {
	var requests []InProgress
	a.running.Range(func(request, _ any) bool {
		requests = append(requests, *request.(*InProgress))
		return true
	})
	return requests
}

// checkDrain returns an error if the process may end before the deadline of a request that comes late
// in a drain.
func (a *API) checkDrain(deadline time.Time) error {
	d := a.drain.Load()
	if d == nil || time.Now().Before(d.rejectFrom) || !deadline.After(d.requestsEndAt) {
		return nil
	}
	return code.New(code.Stopping, "this host is stopping and would cut the request off")
}

// checkDrainForJob returns an error for a job that comes late in a drain, when this host starts no jobs
// any more. If there is no other host, the job is accepted for the next one to start.
func (a *API) checkDrainForJob() error {
	d := a.drain.Load()
	if d == nil || time.Now().Before(d.rejectFrom) || !a.hasOtherEntry() {
		return nil
	}
	return code.New(code.Stopping, "this host is stopping and starts no more jobs")
}

func (a *API) hasOtherEntry() bool {
	return slices.ContainsFunc(a.Nodes.ServingNodes(), func(n membership.Node) bool { return n.ID != a.Node })
}

// errNotSent is the error for a request that the end of the process ended before an endpoint received it.
func errNotSent() error {
	return code.New(code.Stopping, "the process of this host ends before the request was sent to an endpoint")
}

// untilProcessEnds returns a context that EndRequests ends too. release must be called after the request.
func (a *API) untilProcessEnds(ctx context.Context) (limited context.Context, release func()) {
	ctx, end := context.WithCancelCause(ctx)
	stop := context.AfterFunc(a.ending, func() { end(errProcessEnds) })
	return ctx, func() {
		stop()
		end(nil)
	}
}

// endedByProcess reports whether EndRequests ended a request's context.
func endedByProcess(ctx context.Context) bool { return errors.Is(context.Cause(ctx), errProcessEnds) }

// endWithProcess makes EndRequests end the request, and asks callers to close their connections during
// a drain.
func (a *API) endWithProcess(w http.ResponseWriter, r *http.Request, next http.HandlerFunc) {
	ctx, release := a.untilProcessEnds(r.Context())
	defer release()
	running := &InProgress{r.Method, r.URL.Path, time.Now()}
	a.running.Store(running, nil)
	defer a.running.Delete(running)
	if hooked, ok := w.(negroni.ResponseWriter); ok {
		hooked.Before(func(started negroni.ResponseWriter) {
			if a.drain.Load() != nil {
				started.Header().Set("Connection", "close")
			}
		})
	}
	if a.ending.Err() != nil {
		writeError(w, code.New(code.Stopping, "the process of this host ends"))
		return
	}
	defer func() {
		if endedByProcess(ctx) {
			a.Log.Warn().Str("method", running.Method).Str("path", running.Path).Str("request", w.Header().Get(headerRequest)).
				Dur("age", time.Since(running.StartedAt)).Str("code", w.Header().Get(headerCode)).Msg("request ended by the end of the process")
		}
	}()
	next(w, r.WithContext(ctx))
}
