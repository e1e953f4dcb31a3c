package soak

import (
	"context"
	"encoding/json"
	"strings"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// Rollout is an order that is given while callers send.
type Rollout struct {
	Target standin.Version
	Period time.Duration
	// BootTime is how long after the order its endpoints are there.
	BootTime time.Duration
	// InjectFault is done a while after the order, if not nil; it may signal hosts.
	InjectFault func(hosts FaultInjector)
}

// FaultInjector are those of a run, for what is done to them.
type FaultInjector interface {
	// KillLeaseHolder kills the process that decides on roll-outs.
	KillLeaseHolder()
	// TakeStoreDown turns all calls to the store away for a time.
	TakeStoreDown(lasting time.Duration)
}

// RolloutOutcome is how an order ended.
type RolloutOutcome struct {
	// State is what the operator reads at the end of the period, with what was allowed
	// for it to be written.
	State   string
	Elapsed time.Duration
	// Requests is the requests to the service in the period, TargetRequests those of the target.
	Requests, TargetRequests int
	// Failed is the requests of all services that failed from the order until a while
	// after its end.
	Failed int
}

// Figures of a run of roll-outs.
const (
	// stateLate is how long after the period the state is waited for.
	stateLate = 10 * time.Second
	// betweenOrders is the time before each order, in which hosts learn what is usual.
	betweenOrders = 4 * time.Second
	// drainsAfter is how long after a revert the target's endpoints end.
	drainsAfter = 2 * time.Second
	// meanwhile is the part of the period after which the rollout's own fault comes.
	meanwhile = 0.4
	pollState = 20 * time.Millisecond
	// afterEnd is how long after the end failed requests are still counted to it.
	afterEnd = time.Second
)

// RunRollouts gives orders one after the other, for the plain service.
func RunRollouts(ctx context.Context, o Options, orders []Rollout) (Outcome, []RolloutOutcome, error) {
	r := newRun(o)
	defer r.end()
	if err := r.start(); err != nil {
		return Outcome{}, nil, err
	}
	stopCallers := r.startCallers(ctx)
	running := firstVersion
	var outcomes []RolloutOutcome
	for _, order := range orders {
		r.wait(ctx, betweenOrders)
		outcome, err := r.rollout(ctx, order, &running)
		if err != nil {
			stopCallers()
			return Outcome{}, nil, err
		}
		outcomes = append(outcomes, outcome)
	}
	r.wait(ctx, calm)
	stopCallers()
	r.checkRuns()
	return r.outcome(), outcomes, ctx.Err()
}

// rollout gives an order and does what the platform does with its end. running is the
// version in use.
func (r *run) rollout(ctx context.Context, order Rollout, running *string) (RolloutOutcome, error) {
	service := standin.PlainService
	before := r.ledger.RunsOfVersion(*running)
	_, failedBefore := r.report.totals()
	r.log("order of %s", order.Target.Name)
	value := map[string]any{"service": service, "target_version": order.Target.Name, "period_s": order.Period.Seconds()}
	if err := r.store.Put("op", "rollout/"+service, value); err != nil {
		return RolloutOutcome{}, err
	}
	ordered := time.Now()
	r.wait(ctx, order.BootTime)
	first := len(r.endpoints)
	for i := range plainEndpoints {
		if err := r.addVersion(first+i, order.Target); err != nil {
			return RolloutOutcome{}, err
		}
	}
	if order.InjectFault != nil {
		r.later(time.Until(ordered.Add(time.Duration(meanwhile*float64(order.Period)))), func() { order.InjectFault(r) })
	}
	state := r.awaitState(ctx, service, order.Target.Name, ordered.Add(order.Period+stateLate))
	outcome := RolloutOutcome{State: state, Elapsed: time.Since(ordered)}
	outcome.TargetRequests = r.ledger.RunsOfVersion(order.Target.Name)
	switch state {
	case "completed":
		// The others stop at once.
		r.endVersion(*running)
	case "reverted":
		r.wait(ctx, drainsAfter)
		outcome.TargetRequests = r.ledger.RunsOfVersion(order.Target.Name)
		r.endVersion(order.Target.Name)
	}
	outcome.Requests = r.ledger.RunsOfVersion(*running) - before + outcome.TargetRequests
	if state == "completed" {
		*running = order.Target.Name
	}
	r.wait(ctx, afterEnd)
	_, outcome.Failed = r.report.totals()
	outcome.Failed -= failedBefore
	r.timers.Wait()
	r.log("%s %s after %v, %d of %d requests", order.Target.Name, state, outcome.Elapsed, outcome.TargetRequests, outcome.Requests)
	return outcome, nil
}

func (r *run) addVersion(i int, version standin.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.made++
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	return r.startVersion(i, standin.PlainService, version, freeAddress)
}

// endVersion ends all plain endpoints of a version at once.
func (r *run) endVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if e != nil && e.Matches(standin.PlainService, version) {
			e.Stop()
		}
	}
}

// awaitState waits until the operator reads an end, and returns what is read then.
func (r *run) awaitState(ctx context.Context, service, target string, until time.Time) string {
	var status struct {
		Target string `json:"target_version"`
		State  string `json:"state"`
	}
	for time.Now().Before(until) && ctx.Err() == nil {
		value := r.store.Value("status", "rollout/"+service)
		if json.Unmarshal(value, &status) == nil && status.Target == target && status.State != "in_progress" {
			return status.State
		}
		time.Sleep(pollState)
	}
	return status.State
}

// KillLeaseHolder kills the process whose name the lease's row has.
func (r *run) KillLeaseHolder() {
	for _, n := range r.nodes {
		if r.holds(n) {
			r.log("kill %s, which owns the roll-out", n.file.Name)
			n.signal(syscall.SIGKILL)
		}
	}
}

// holds reports whether a host's process holds the lease, as the store has it.
func (r *run) holds(n *node) bool {
	var stored struct {
		Value []byte `json:"v"`
	}
	var held struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(r.store.Value("lease", "0000"), &stored) != nil || json.Unmarshal(stored.Value, &held) != nil {
		return false
	}
	return strings.HasPrefix(held.Holder, n.file.Name+".")
}

// TakeStoreDown turns all calls to the store away for a time.
func (r *run) TakeStoreDown(lasting time.Duration) {
	r.log("store down for %v", lasting)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(lasting)
	r.store.SetFaults(standin.StoreFaults{})
}
