package stream

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"syscall"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/quarantine"
)

// A prompt may crash each engine that runs it. maxAttempts limits that to twelve engines per
// request. Only the quarantine limits it across requests and across the runs of an accepted
// job.

// fingerprintOf returns the fingerprint of a prompt, which is the same for all requests and
// runs, and for all senders.
func fingerprintOf(p engine.Prompt) quarantine.Fingerprint {
	body := append(append([]byte(nil), p.Messages...), p.Options...)
	return quarantine.FingerprintOf("", p.Model+"/"+p.Adapter, "", body)
}

// identify returns what identifies a request and its prompt. The parts of the prompt are its prefixes of
// doubled lengths and its longest one: prompts with the same beginning share those that lie in it.
func identify(r Request) quarantine.Request {
	var parts []string
	for blocks := 1; blocks < len(r.PrefixHashes); blocks *= 2 {
		parts = append(parts, strconv.FormatUint(r.PrefixHashes[blocks-1], 16))
	}
	if n := len(r.PrefixHashes); n > 0 {
		parts = append(parts, strconv.FormatUint(r.PrefixHashes[n-1], 16))
	}
	prompt := quarantine.Prompt{Scope: r.Prompt.Model + "/" + r.Prompt.Adapter, Parts: parts}
	return quarantine.NewRequest(fingerprintOf(r.Prompt), prompt)
}

// checkQuarantine returns an error if several endpoints have crashed while they ran the
// request's prompt, and nil if the request may run.
func (r *Runner) checkQuarantine(p *progress) error {
	r.checkSuspects()
	verdict, admitted, _ := r.watch.CheckRequest(p.identity, time.Now())
	switch {
	case admitted:
		return nil
	case p.attempts == 0:
		return code.New(code.Quarantined, fmt.Sprintf("endpoints ended under this prompt or its part %q: %s; quarantined for %v",
			verdict.Part, verdict.Case.EndpointList(), verdict.Left.Round(time.Second)))
	default:
		return code.New(code.StreamLost, fmt.Sprintf("endpoints ended under this prompt after %d attempts: %v", p.attempts, p.lastErr))
	}
}

// checkSuspects records a crash for each engine that is gone since a stream was interrupted
// there.
func (r *Runner) checkSuspects() {
	now := time.Now()
	for _, id := range r.watch.SuspectedEndpoints(now) {
		if info, ok := r.router.Lookup(id); !ok || info.State == endpoint.Gone {
			r.watch.EndpointCrashed(id, "gone", now)
		}
	}
}

// recordOutcome records an interrupted attempt, and the crash of the engine if there was one,
// in the quarantine. The stop of an engine that is known to be leaving is planned, and does
// not count. answered is set if the attempt has yielded a token.
func (r *Runner) recordOutcome(p *progress, info endpoint.Info, end outcome, answered bool) {
	interrupted, isBroken := end.(broken)
	if !isBroken || errors.Is(interrupted.err, errMissingFrame) {
		return
	}
	if errors.Is(interrupted.err, syscall.ECONNREFUSED) {
		r.watch.EndpointCrashed(info.ID, "refused connection", time.Now())
		return
	}
	if known, ok := r.router.Lookup(info.ID); !ok || known.State != endpoint.Live {
		return
	}
	run := quarantine.Run{Request: p.identity, Answered: answered}
	if r.watch.RecordInterruption(info.ID, run, time.Now()) {
		r.probeEndpoint(info)
	}
}

// Timing of the probe of an engine where a stream was interrupted.
const (
	// probeDelay gives an engine that exits the time to close its port. The next attempt
	// starts only after it.
	probeDelay   = 20 * time.Millisecond
	probeTimeout = time.Second
)

// probeEndpoint finds out whether an engine has crashed. The next attempt waits for the
// result.
func (r *Runner) probeEndpoint(info endpoint.Info) {
	time.Sleep(probeDelay)
	r.watch.ProbeStarted(info.ID)
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	if _, err := r.engines.Load(ctx, info.Address); errors.Is(err, syscall.ECONNREFUSED) {
		r.watch.EndpointCrashed(info.ID, "refused look", time.Now())
	}
}
