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

// CrashingRequest is a request that ends each endpoint that runs it and comes again, with new
// ids, at any host.
type CrashingRequest struct {
	Kind standin.RequestKind
	// Interval is the time between two tries, Duration how long they come.
	Interval, Duration time.Duration
	// KillAll kills all hosts at once when half of that is over.
	KillAll bool
}

// CrashingOutcome is what came of it.
type CrashingOutcome struct {
	// Sent is how many were sent, Crashes how many endpoints they ended.
	Sent, Crashes int
	// LateCrashes is how many came to an endpoint later than contactTime after the third that
	// they ended.
	LateCrashes int
	// Rejected is how many were answered at once that they did not run.
	Rejected int
}

const (
	// propagationTime is how long hosts have to learn of an end from each other.
	propagationTime = 3 * time.Second
	// crashThreshold is after how many ends a request should come to no endpoint any more.
	crashThreshold = 3
)

// RunCrashing sends crashing requests beside what callers send, each to a host drawn
// anew.
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

// maxCrashing is how many requests that end endpoints come in a run at most.
const maxCrashing = 2

// randomCrashing draws the requests of a run that end endpoints and when they begin, by
// numbers of their own: the other faults of a seed stay.
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

// crashingStream is the stream of random numbers of such requests.
const crashingStream = 1 << 32

// startCrashing has the requests drawn come until the function returned is called.
func (r *run) startCrashing(ctx context.Context) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var senders sync.WaitGroup
	requests, after := randomCrashing(r.options)
	for i, c := range requests {
		senders.Go(func() {
			r.wait(ctx, after[i])
			r.log("request %d ends endpoints, %s, every %v", i, c.Kind, c.Interval)
			r.repeatCrashing(ctx, i, c)
		})
	}
	return func() {
		cancel()
		senders.Wait()
	}
}

// checkHeldBack checks that requests which have ended three endpoints long ago come to no
// others while all is well, but for what is allowed.
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
			r.report.addViolation("request %d had ended %d endpoints and came to %d more when all was well", i, before, late)
		}
	}
}

func crashingBody(number int) string { return fmt.Sprintf("%s%d", standin.CrashBodyPrefix, number) }

// repeatCrashing sends one crashing request's tries.
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

// sendCrashing sends one try and reports whether it was refused as not run.
func (r *run) sendCrashing(client *http.Client, kind standin.RequestKind, address, id, body string) bool {
	request, err := standin.NewRequest(address, standin.Once, id, body)
	if err != nil {
		r.report.addViolation("%s: %v", id, err)
		return false
	}
	request.URL.Path = "/" + string(kind) + "/x"
	response, err := client.Do(request)
	if err != nil {
		// Its endpoint ended midway, or the host was killed.
		return false
	}
	defer func() { _ = response.Body.Close() }()
	if standin.MeansNotRun(response.StatusCode) && r.requestLog.Runs(id) > 0 {
		r.report.addViolation("%s was said not to have run, and ran", id)
	}
	return standin.MeansNotRun(response.StatusCode)
}

// killAll kills all hosts' processes at once; they are started again.
func (r *run) killAll() {
	r.log("kill all hosts")
	r.recordStop()
	for _, n := range r.nodes {
		n.signal(syscall.SIGKILL)
	}
}
