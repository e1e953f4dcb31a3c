package soak

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// ShutdownOutcome is what a run of RunShutdowns has measured.
type ShutdownOutcome struct {
	Outcome
	// Rejected is the number of requests that a host rejected, Abandoned the number of those that an
	// endpoint ran and that were answered with a failure, Cut of those that got no complete response.
	Rejected, Abandoned, Cut int
}

// shutdownCounts are the counters of a ShutdownOutcome.
type shutdownCounts struct{ rejected, abandoned, cut atomic.Int64 }

// callerStagger is the time between the first requests of two callers of RunShutdowns.
const callerStagger = 30 * time.Millisecond

// rejectionPause is the time after which a rejected caller of RunShutdowns sends its next request.
const rejectionPause = 20 * time.Millisecond

// Shutdowns describes the endpoints and the hosts of a run of RunShutdowns.
type Shutdowns struct {
	// Version is that of the plain endpoints.
	Version standin.Version
	// Stall is how long each process is suspended from stallBegin on, counted from SIGTERM.
	Stall time.Duration
}

// stallBegin is shortly before a stopping process ends the requests in progress.
const stallBegin = 2250 * time.Millisecond

// RunShutdowns stops the hosts one after the other with SIGTERM. Meanwhile the configuration changes, all hosts get
// SIGHUP, and callers keep sending requests that may run once to each host until its process has ended.
func RunShutdowns(ctx context.Context, o Options, s Shutdowns) (ShutdownOutcome, error) {
	r := newRun(o)
	r.plainVersion = s.Version
	defer r.stop()
	if err := r.start(); err != nil {
		return ShutdownOutcome{}, err
	}
	callersCtx, stopCallers := context.WithCancel(ctx)
	var (
		callers sync.WaitGroup
		counts  shutdownCounts
	)
	for i := range o.Callers {
		callers.Go(func() { r.sendUntilGone(callersCtx, i, &counts) })
	}
	for _, n := range r.nodes {
		r.wait(ctx, time.Second)
		r.log("SIGTERM to %s", n.settings.Name)
		stopChanges := r.startChanges(ctx)
		n.terminate(s.Stall)
		stopChanges()
		if err := r.waitReady(startTimeout); err != nil {
			r.report.addViolation("%v", err)
		}
	}
	stopCallers()
	callers.Wait()
	r.checkInvariants()
	return ShutdownOutcome{r.outcome(), int(counts.rejected.Load()), int(counts.abandoned.Load()), int(counts.cut.Load())}, ctx.Err()
}

// changePause is the time between two changes during a shutdown.
const changePause = 300 * time.Millisecond

// startChanges changes the configuration and sends SIGHUP to all hosts in turn, until stop is called.
func (r *run) startChanges(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for ctx.Err() == nil {
			for _, n := range r.nodes {
				n.signal(syscall.SIGHUP)
			}
			r.reconfigure()
			r.wait(ctx, changePause)
		}
	}()
	return func() {
		cancel()
		<-done
	}
}

// terminate sends SIGTERM, suspends the process for a while if stall is above 0, and waits until it has ended.
func (n *node) terminate(stall time.Duration) {
	n.mu.Lock()
	done := n.done
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	if stall > 0 {
		stalling := time.AfterFunc(stallBegin, func() {
			n.signal(syscall.SIGSTOP)
			time.Sleep(stall)
			n.signal(syscall.SIGCONT)
		})
		defer stalling.Stop()
	}
	<-done
}

// sendUntilGone sends requests to one host. Every other one has a body in chunks.
func (r *run) sendUntilGone(ctx context.Context, number int, counts *shutdownCounts) {
	n := r.nodes[number%len(r.nodes)]
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	r.wait(ctx, time.Duration(number)*callerStagger)
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("s%d-%d", number, i)
		body := "body of " + id
		request, err := standin.NewRequest(n.settings.Callers, standin.Once, id, body)
		if err != nil {
			r.report.addViolation("%s: %v", id, err)
			return
		}
		if i%2 == 0 {
			request.ContentLength = -1
		}
		r.report.mu.Lock()
		r.report.atMostOnce = append(r.report.atMostOnce, id)
		r.report.mu.Unlock()
		sent := time.Now()
		status, err := r.exchange(client, request, standin.ResponseBody(id, body))
		hasRun := r.requestLog.Runs(id) > 0
		r.report.count(standin.Once, err == nil && status == http.StatusOK)
		switch {
		case err != nil && hasRun:
			counts.cut.Add(1)
			r.log("%s cut at %s after %v: %v", id, n.settings.Name, time.Since(sent), err)
		case err != nil:
			r.wait(ctx, rejectionPause)
		case standin.MeansNotRun(status):
			counts.rejected.Add(1)
			if hasRun {
				r.report.addViolation("%s ran although its response said that it did not", id)
			}
			r.wait(ctx, rejectionPause)
		case status != http.StatusOK:
			counts.abandoned.Add(1)
			r.log("%s answered with %d by %s after %v", id, status, n.settings.Name, time.Since(sent))
		}
	}
}

// exchange sends a request and returns the status of its response. A response that is not complete is an error.
func (r *run) exchange(client *http.Client, request *http.Request, want string) (int, error) {
	response, err := client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	if err == nil && response.StatusCode == http.StatusOK && string(text) != want {
		r.report.addViolation("got %q, want %q", text, want)
	}
	return response.StatusCode, err
}
