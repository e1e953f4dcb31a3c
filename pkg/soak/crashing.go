package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// CrashingRequest is a request that crashes each endpoint that runs it and is sent repeatedly, with
// a new id each time, to random hosts.
type CrashingRequest struct {
	Kind standin.RequestKind
	// Interval is the mean time between two sends, Duration how long the request is sent.
	Interval, Duration time.Duration
	// KillAll kills all hosts at once after half of Duration.
	KillAll bool
}

// CrashingOutcome is the result of sending one CrashingRequest.
type CrashingOutcome struct {
	// Sent is how often the request was sent, Crashes how many endpoints it crashed.
	Sent, Crashes int
	// LateCrashes is the number of crashes later than propagationTime and standin.CrashDelay after
	// the third one.
	LateCrashes int
	// Rejected is the number of responses that said that the request did not run.
	Rejected int
}

const (
	// propagationTime is how long hosts may take to inform each other of a crash.
	propagationTime = 3 * time.Second
	// crashThreshold is the number of crashes after which a request must not reach any endpoint.
	crashThreshold = 3
)

// RunCrashing sends crashing requests to random hosts while callers send their usual requests.
func RunCrashing(ctx context.Context, o Options, requests []CrashingRequest) (Outcome, []CrashingOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, nil, err
	}
	stopCallers := r.startCallers(ctx)
	var outcomes []CrashingOutcome
	for i, c := range requests {
		outcomes = append(outcomes, r.repeatCrashing(ctx, i, c))
	}
	r.timers.Wait()
	r.wait(ctx, recoveryTime)
	r.checkRecovery(ctx)
	stopCallers()
	r.checkInvariants()
	return r.outcome(), outcomes, ctx.Err()
}

// maxCrashing is the maximum number of crashing requests in a run.
const maxCrashing = 2

// randomCrashing returns the crashing requests of a run and their start times. It uses a separate
// random number generator, so that crashing requests do not change the other faults of a seed.
func randomCrashing(o Options) (requests []CrashingRequest, after []time.Duration) {
	random := rand.New(rand.NewPCG(o.Seed, crashingStream))
	kinds := []standin.RequestKind{standin.Safe, standin.Once, standin.Stream, standin.Resume}
	for range random.IntN(maxCrashing + 1) {
		interval := 200*time.Millisecond + time.Duration(random.Int64N(int64(time.Second)))
		requests = append(requests, CrashingRequest{Kind: kinds[random.IntN(len(kinds))], Interval: interval, Duration: o.Length + recoveryTime + calmTime})
		after = append(after, time.Duration(random.Int64N(int64(o.Length))))
	}
	return requests, after
}

// crashingStream is the stream of random numbers that determines the crashing requests of a run.
const crashingStream = 1 << 32

// startCrashing sends the run's crashing requests until the returned function is called.
func (r *run) startCrashing(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var senders sync.WaitGroup
	requests, after := randomCrashing(r.options)
	for i, c := range requests {
		senders.Go(func() {
			r.wait(ctx, after[i])
			r.log("send crashing request %d: %s, every %v", i, c.Kind, c.Interval)
			r.repeatCrashing(ctx, i, c)
		})
	}
	return func() {
		cancel()
		senders.Wait()
	}
}

// checkHeldBack checks that requests with at least crashThreshold crashes before the given time
// crash no more than maxLate endpoints after it, when no faults are injected.
func (r *run) checkHeldBack(since time.Time) {
	const maxLate = 3
	requests, _ := randomCrashing(r.options)
	for i := range requests {
		crashes := r.requestLog.CrashTimes(crashingBody(i))
		late := 0
		for _, at := range crashes {
			if at.After(since) {
				late++
			}
		}
		if before := len(crashes) - late; before >= crashThreshold && late > maxLate {
			r.report.addViolation("request %d had crashed %d endpoints and crashed %d more after recovery", i, before, late)
		}
	}
}

func crashingBody(number int) string { return fmt.Sprintf("%s%d", standin.CrashBodyPrefix, number) }

// repeatCrashing sends a crashing request repeatedly for its duration.
func (r *run) repeatCrashing(ctx context.Context, number int, c CrashingRequest) CrashingOutcome {
	body := crashingBody(number)
	random := rand.New(rand.NewPCG(r.options.Seed, crashingStream+1+uint64(number)))
	client := &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	var (
		outcome CrashingOutcome
		mu      sync.Mutex
		pending sync.WaitGroup
	)
	killed := !c.KillAll
	for start := time.Now(); time.Since(start) < c.Duration && ctx.Err() == nil; {
		if !killed && time.Since(start) > c.Duration/2 {
			killed = true
			r.killAll()
		}
		outcome.Sent++
		id := fmt.Sprintf("crashing-%d-%d", number, outcome.Sent)
		address := r.nodes[random.IntN(len(r.nodes))].settings.Callers
		pending.Go(func() {
			if !r.sendCrashing(client, c.Kind, address, id, body) {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			outcome.Rejected++
		})
		r.wait(ctx, c.Interval/2+time.Duration(random.Int64N(int64(c.Interval))))
	}
	pending.Wait()
	crashes := r.requestLog.CrashTimes(body)
	outcome.Crashes = len(crashes)
	for _, at := range crashes {
		if len(crashes) > crashThreshold && at.Sub(crashes[crashThreshold-1]) > propagationTime+standin.CrashDelay {
			outcome.LateCrashes++
		}
	}
	r.log("crashing request %d: %+v", number, outcome)
	return outcome
}

// sendCrashing sends a crashing request once and reports whether the response said that it did not
// run.
func (r *run) sendCrashing(client *http.Client, kind standin.RequestKind, address, id, body string) bool {
	request, err := standin.NewRequest(address, standin.Once, id, body)
	if err != nil {
		r.report.addViolation("%s: %v", id, err)
		return false
	}
	request.URL.Path = "/" + string(kind) + "/x"
	response, err := client.Do(request)
	if err != nil {
		// The endpoint crashed while it ran the request, or the host was killed.
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if standin.MeansNotRun(response.StatusCode) && r.requestLog.Runs(id) > 0 {
		r.report.addViolation("%s ran although its response said that it did not", id)
	}
	return standin.MeansNotRun(response.StatusCode)
}

// killAll kills the processes of all hosts at once; they are restarted.
func (r *run) killAll() {
	r.log("kill all hosts")
	r.recordStop()
	for _, n := range r.nodes {
		n.signal(syscall.SIGKILL)
	}
}
