package forward

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/route"
)

// openRun is a run that its endpoint may continue although the connection to it has ended: a reset may
// have reached one side only, and some endpoints ignore it. Only the endpoint knows.
type openRun struct {
	endpoint endpoint.Info
	source   migrate.Source
	id       string
	// handle names a copy of the run's memory that a move has left, empty if there is none.
	handle string
	// isUnanswered is set if the endpoint had not begun its response: the request may still wait in its queue, or
	// arrive after a call that ends it.
	isUnanswered bool
}

// lateEndPauses are the pauses before each repetition of the call that ends a run which had not begun.
var lateEndPauses = []time.Duration{100 * time.Millisecond, 200 * time.Millisecond, 400 * time.Millisecond}

// Timing of the calls that end a run.
const (
	// endRunWait is how long the next attempt waits for the end of the previous run while its endpoint does not accept
	// connections.
	endRunWait = 300 * time.Millisecond
	// endRunTimeout bounds the calls, and the wait for an endpoint that accepts connections and may only be slow to
	// answer.
	endRunTimeout = time.Second
)

// openRunAt records that the endpoint of an attempt may run the request until that is known to have ended.
func (c *call) openRunAt(choice route.Choice) {
	if c.f.mover == nil || c.service.Moves == nil || choice.Endpoint.ID == noChoice.Endpoint.ID {
		return
	}
	c.open = &openRun{endpoint: choice.Endpoint, source: migrate.Source{Address: choice.Endpoint.Address, ConnectionLimit: c.connectionLimit()}, id: c.meta.ID}
}

// adoptOpenRun records the open run of the host that forwards the request, which has not ended it.
func (c *call) adoptOpenRun(endpointID string) {
	if info, ok := c.f.router.Lookup(endpointID); ok {
		c.openRunAt(route.Choice{Endpoint: info})
	}
}

// endedRun is the outcome of ending a run.
type endedRun struct {
	state  migrate.RunState
	handle string
}

// endOpenRun ends the run of an earlier attempt before the request is sent to target, and returns the copy
// that the run continues from there, if there is one.
func (c *call) endOpenRun(ctx context.Context, target string) copyOf {
	run := c.open
	if c.open = nil; run == nil {
		return copyOf{}
	}
	if c.f.links.IsCut() {
		// The endpoint cannot be asked now. The host that the request is forwarded to ends the run, or the caller's next request.
		c.unended = append(c.unended, run)
		return copyOf{}
	}
	startedAt := c.f.clock()
	ended := c.f.endRun(ctx, run, target)
	c.logEntry.recordEnd(ended.state, c.f.clock().Sub(startedAt))
	if ended.state == migrate.WasCopied {
		return copyOf{run.source.Address, ended.handle}
	}
	if ended.state == migrate.MayContinue {
		c.unended = append(c.unended, run.withoutHandle())
	}
	go c.f.freeCopy(run.source, ended.handle)
	return copyOf{}
}

// endRun ends a run and waits for that. The caller uses or frees the copy.
func (f *Forwarder) endRun(ctx context.Context, run *openRun, target string) endedRun {
	result, connected := make(chan endedRun, 1), make(chan struct{})
	stopCtx, cancelStop := context.WithTimeout(context.WithoutCancel(ctx), endRunTimeout)
	request := migrate.CopyRequest{Source: run.source, RunID: run.id, Target: target, OnConnected: sync.OnceFunc(func() { close(connected) })}
	go func() {
		defer cancelStop()
		state, handle := migrate.Stop(stopCtx, f.mover.calls, request)
		result <- endedRun{state, handle}
		if run.handle != handle {
			f.freeCopy(run.source, run.handle)
		}
		if state == migrate.HasEnded && run.isUnanswered {
			f.endLate(run, target)
		}
	}()
	ended, ok := awaitEnd(ctx, result, connected)
	f.metrics.endedRuns.WithLabelValues(run.endpoint.Service, ended.state.String()).Inc()
	if !ok {
		go func() { f.freeCopy(run.source, (<-result).handle) }()
	}
	return ended
}

// endLate ends a run that begins after a call that was to end it.
func (f *Forwarder) endLate(run *openRun, target string) {
	ctx, cancel := context.WithTimeout(context.Background(), endRunTimeout)
	defer cancel()
	for _, d := range lateEndPauses {
		if !pause.For(ctx, d) {
			return
		}
		state, handle := migrate.Stop(ctx, f.mover.calls, migrate.CopyRequest{Source: run.source, RunID: run.id, Target: target})
		f.freeCopy(run.source, handle)
		if state != migrate.HasEnded {
			f.metrics.endedRuns.WithLabelValues(run.endpoint.Service, "late-"+state.String()).Inc()
			return
		}
	}
}

// awaitEnd waits for the result of the calls that end a run: for endRunWait, or as long as they last once their
// connection has been accepted. It returns false without a result.
func awaitEnd(ctx context.Context, result <-chan endedRun, connected <-chan struct{}) (endedRun, bool) {
	timer := time.NewTimer(endRunWait)
	defer timer.Stop()
	unconnected := timer.C
	for {
		select {
		case ended := <-result:
			return ended, true
		case <-connected:
			connected, unconnected = nil, nil
		case <-unconnected:
			return endedRun{}, false
		case <-ctx.Done():
			return endedRun{}, false
		}
	}
}

// freeOpenCopy frees the copy that is left of a run which was not ended.
func (c *call) freeOpenCopy() {
	if c.open != nil && c.open.handle != "" {
		go c.f.freeCopy(c.open.source, c.open.handle)
	}
}

// freeCopy frees a copy that is not used.
func (f *Forwarder) freeCopy(source migrate.Source, handle string) {
	if handle == "" {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), endRunTimeout)
	defer cancel()
	if err := f.mover.calls.Free(ctx, source, handle); err != nil {
		f.mover.freeFailed(err)
	}
}

// sendAgain ends the run of an earlier attempt, if there is one, and sends the request to the chosen endpoint.
func (c *call) sendAgain(ctx context.Context, choice route.Choice, lastEventID string) result {
	from := c.endOpenRun(ctx, choice.Endpoint.Address)
	r := c.sendFrom(ctx, choice, from, lastEventID)
	if _, isStream := r.(streaming); !isStream {
		go c.f.freeCopy(migrate.Source{Address: from.sourceAddress}, from.handle)
	}
	return r
}

// endAbandonedRun ends the run of a stream that breaks off for its caller, which may resume it at once.
func (c *call) endAbandonedRun(ctx context.Context, err error) {
	if c.open == nil || !c.mayRepeat() || errors.Is(err, errCallerDisconnected) || ctx.Err() != nil {
		return
	}
	startedAt := c.f.clock()
	ended := c.f.endUnusedRun(ctx, c.open)
	c.logEntry.recordEnd(ended.state, c.f.clock().Sub(startedAt))
	if ended.state != migrate.MayContinue {
		c.open = nil
		return
	}
	// The request with which the caller resumes the stream ends the run again.
	c.open = c.open.withoutHandle()
}

// withoutHandle returns the run for calls that end it again, while those in progress use it and free its copy.
func (r *openRun) withoutHandle() *openRun {
	again := *r
	again.handle = ""
	return &again
}

// openRuns returns the runs of the request that may continue.
func (c *call) openRuns() []*openRun {
	if c.open == nil {
		return c.unended
	}
	return append(slices.Clone(c.unended), c.open)
}

// endUnusedRun ends a run that is not continued here. The call must name an endpoint that takes the run's memory. It
// may be one without room, as the run stops first.
func (f *Forwarder) endUnusedRun(ctx context.Context, run *openRun) endedRun {
	target, ok := f.targetOf(run)
	if !ok {
		return endedRun{}
	}
	ended := f.endRun(ctx, run, target)
	go f.freeCopy(run.source, ended.handle)
	return ended
}

// targetOf returns the address of another endpoint of a run's service, if possible one with room.
func (f *Forwarder) targetOf(run *openRun) (address string, ok bool) {
	info := run.endpoint
	query := route.Query{Target: route.TargetOf(info), AnswerTokens: 1, Continues: true, Avoid: []endpoint.Ref{info.Ref()}}
	query.Rule.OnlyRelease, query.Rule.IsPinned = info.Release, true
	if target, ok := f.router.Choose(query, route.Expected, f.clock()); ok {
		f.router.Done(target, route.Result{Refused: true}, f.clock())
		return target.Endpoint.Address, true
	}
	for _, other := range f.mover.directory.View().Infos() {
		if other.Service == info.Service && other.ID != info.ID && other.Address != "" && other.Address != info.Address {
			return other.Address, true
		}
	}
	return "", false
}
