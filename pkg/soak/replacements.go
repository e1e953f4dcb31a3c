package soak

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// ReplacementOutcome is what a run of RunReplacements has measured.
type ReplacementOutcome struct {
	Outcome
	// Replaced is the number of endpoints that were replaced, Rejected the number of requests that reached
	// another endpoint than the one that they named.
	Replaced, Rejected int
}

const (
	// replacementPause is the time between two replacements.
	replacementPause = 400 * time.Millisecond
	// maxBindTries bounds the attempts to listen at the address of an endpoint that has crashed.
	maxBindTries = 50
)

// RunReplacements runs callers while plain endpoints crash one after the other. Another one with a new ID starts at
// the address of each at once, while hosts still know the one before, and repeats its rejections of requests for that one.
func RunReplacements(ctx context.Context, o Options) (ReplacementOutcome, error) {
	r := newRun(o)
	r.separateLinks = true
	defer r.stop()
	if err := r.start(); err != nil {
		return ReplacementOutcome{}, err
	}
	for _, n := range r.nodes {
		n.links.repeatMisdirected()
	}
	stopCallers := r.startCallers(ctx)
	replaced := 0
	for end := time.Now().Add(o.Length); time.Now().Before(end) && ctx.Err() == nil; replaced++ {
		r.replaceAtAddress(replaced % plainEndpoints)
		r.wait(ctx, replacementPause)
	}
	stopCallers()
	r.checkInvariants()
	return ReplacementOutcome{r.outcome(), replaced, r.requestLog.Misdirected()}, ctx.Err()
}

// replaceAtAddress crashes a plain endpoint and starts another one at its address.
func (r *run) replaceAtAddress(i int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, address := r.endpoints[i], r.proxies[i].Address()
	old.OnCrash(nil)
	old.Crash()
	r.proxies[i].Close()
	r.endpointsStarted++
	id := fmt.Sprintf("i-%d-%d", i, r.endpointsStarted)
	start := func() error {
		return r.startEndpointAs(id, i, standin.PlainService, standin.Version{Name: initialVersion}, address)
	}
	err := start()
	for tries := 1; errors.Is(err, syscall.EADDRINUSE) && tries < maxBindTries; tries++ {
		// The previous proxy may still be closing its connections.
		time.Sleep(acceptRetryPause)
		err = start()
	}
	if err != nil {
		r.report.addViolation("endpoint %d: %v", i, err)
		return
	}
	r.setEndpointDown(address, false)
	r.log("endpoint %d replaced by %s at %s", i, id, address)
}
