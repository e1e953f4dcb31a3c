package stream

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/quarantine"
)

// A prompt may end each engine that runs it. Within one request its attempts bound that
// to twelve; over requests, and over the runs of an accepted job, nothing did.

// fingerprintOf is the same for all requests and runs of a prompt, whoever sends it.
func fingerprintOf(p engine.Prompt) quarantine.Fingerprint {
	body := append(append([]byte(nil), p.Messages...), p.Options...)
	return quarantine.FingerprintOf("", p.Model+"/"+p.Adapter, "", body)
}

// held refuses a request under which several endpoints have ended, nil where it may run.
func (r *Runner) held(p *progress) error {
	r.surveySuspects()
	left, held := r.watch.Quarantined(p.fingerprint, time.Now())
	switch {
	case !held:
		return nil
	case p.attempts == 0:
		return code.New(code.Quarantined, fmt.Sprintf("endpoints ended under this prompt; held back for %v", left.Round(time.Second)))
	default:
		return code.New(code.StreamLost, fmt.Sprintf("endpoints ended under this prompt after %d attempts: %v", p.attempts, p.lastFail))
	}
}

// surveySuspects counts engines as ended that have gone since answers broke off there.
func (r *Runner) surveySuspects() {
	now := time.Now()
	for _, id := range r.watch.SuspectedEndpoints(now) {
		if info, ok := r.router.Lookup(id); !ok || info.State == endpoint.Gone {
			r.watch.EndpointCrashed(id, "gone", now)
		}
	}
}

// noteEnd takes in what the end of an attempt shows of the prompt and of its engine. One
// that has said that it leaves ends as planned.
func (r *Runner) noteEnd(p *progress, info endpoint.Info, end ending) {
	failed, isBroken := end.(broken)
	if !isBroken || errors.Is(failed.err, errGap) {
		return
	}
	if errors.Is(failed.err, syscall.ECONNREFUSED) {
		r.watch.EndpointCrashed(info.ID, "refused connection", time.Now())
		return
	}
	if known, ok := r.router.Lookup(info.ID); !ok || known.State != endpoint.Live {
		return
	}
	if r.watch.RecordInterruption(info.ID, p.fingerprint, time.Now()) {
		r.lookAt(info)
	}
}

// Times of a look at an engine where an answer broke off.
const (
	// lookAfter lets an engine that ends close its port; the next attempt is later.
	lookAfter = 20 * time.Millisecond
	lookTime  = time.Second
)

// lookAt finds out whether an engine has ended: the next attempt waits for that.
func (r *Runner) lookAt(info endpoint.Info) {
	time.Sleep(lookAfter)
	r.watch.ProbeStarted(info.ID)
	ctx, cancel := context.WithTimeout(context.Background(), lookTime)
	defer cancel()
	if _, err := r.engines.Load(ctx, info.Address); errors.Is(err, syscall.ECONNREFUSED) {
		r.watch.EndpointCrashed(info.ID, "refused look", time.Now())
	}
}
