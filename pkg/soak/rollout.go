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
	// stateTimeout is how long after the period the state is waited for.
	stateTimeout = 10 * time.Second
	// baselineTime is the time before each order, in which hosts learn what is usual.
	baselineTime = 4 * time.Second
	// revertDrainTime is how long after a revert the target's endpoints end.
	revertDrainTime = 2 * time.Second
	// injectAtShare is the part of the period after which the rollout's own fault comes.
	injectAtShare     = 0.4
	statePollInterval = 20 * time.Millisecond
	// failureCountTime is how long after the end failed requests are still counted to it.
	failureCountTime = time.Second
)

// RunRollouts gives orders one after the other, for the plain service.
func RunRollouts(ctx context.Context, o Options, orders []Rollout) (Outcome, []RolloutOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, nil, err
	}
	stopCallers := r.startCallers(ctx)
	current := initialVersion
	var outcomes []RolloutOutcome
	for _, order := range orders {
		r.wait(ctx, baselineTime)
		outcome, err := r.runRollout(ctx, order, &current)
		if err != nil {
			stopCallers()
			return Outcome{}, nil, err
		}
		outcomes = append(outcomes, outcome)
	}
	r.wait(ctx, calmTime)
	stopCallers()
	r.checkInvariants()
	return r.outcome(), outcomes, ctx.Err()
}

// runRollout gives an order and does what the platform does with its end. running is the
// version in use.
func (r *run) runRollout(ctx context.Context, order Rollout, current *string) (RolloutOutcome, error) {
	service := standin.PlainService
	before := r.requestLog.RunsOfVersion(*current)
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
		if err := r.addEndpoint(first+i, order.Target); err != nil {
			return RolloutOutcome{}, err
		}
	}
	if order.InjectFault != nil {
		r.schedule(time.Until(ordered.Add(time.Duration(injectAtShare*float64(order.Period)))), func() { order.InjectFault(r) })
	}
	state := r.awaitState(ctx, service, order.Target.Name, ordered.Add(order.Period+stateTimeout))
	outcome := RolloutOutcome{State: state, Elapsed: time.Since(ordered)}
	outcome.TargetRequests = r.requestLog.RunsOfVersion(order.Target.Name)
	switch state {
	case "completed":
		// The others stop at once.
		r.stopVersion(*current)
	case "reverted":
		r.wait(ctx, revertDrainTime)
		outcome.TargetRequests = r.requestLog.RunsOfVersion(order.Target.Name)
		r.stopVersion(order.Target.Name)
	}
	outcome.Requests = r.requestLog.RunsOfVersion(*current) - before + outcome.TargetRequests
	if state == "completed" {
		*current = order.Target.Name
	}
	r.wait(ctx, failureCountTime)
	_, outcome.Failed = r.report.totals()
	outcome.Failed -= failedBefore
	r.timers.Wait()
	r.log("%s %s after %v, %d of %d requests", order.Target.Name, state, outcome.Elapsed, outcome.TargetRequests, outcome.Requests)
	return outcome, nil
}

func (r *run) addEndpoint(i int, version standin.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointsStarted++
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	return r.startEndpointAt(i, standin.PlainService, version, anyPortAddress)
}

// stopVersion ends all plain endpoints of a version at once.
func (r *run) stopVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if e != nil && e.Matches(standin.PlainService, version) {
			e.Stop()
		}
	}
}

// awaitState waits until the operator reads an end, and returns what is read then.
func (r *run) awaitState(ctx context.Context, service, target string, deadline time.Time) string {
	var status struct {
		Target string `json:"target_version"`
		State  string `json:"state"`
	}
	for time.Now().Before(deadline) && ctx.Err() == nil {
		value := r.store.Value("status", "rollout/"+service)
		if json.Unmarshal(value, &status) == nil && status.Target == target && status.State != "in_progress" {
			return status.State
		}
		time.Sleep(statePollInterval)
	}
	return status.State
}

// KillLeaseHolder kills the process whose name the lease's row has.
func (r *run) KillLeaseHolder() {
	for _, n := range r.nodes {
		if r.holdsLease(n) {
			r.log("kill %s, which owns the roll-out", n.settings.Name)
			n.signal(syscall.SIGKILL)
		}
	}
}

// holdsLease reports whether a host's process holdsLease the lease, as the store has it.
func (r *run) holdsLease(n *node) bool {
	var stored struct {
		Value []byte `json:"v"`
	}
	var lease struct {
		Holder string `json:"holder"`
	}
	if json.Unmarshal(r.store.Value("lease", "0000"), &stored) != nil || json.Unmarshal(stored.Value, &lease) != nil {
		return false
	}
	return strings.HasPrefix(lease.Holder, n.settings.Name+".")
}

// TakeStoreDown turns all calls to the store away for a time.
func (r *run) TakeStoreDown(duration time.Duration) {
	r.log("store down for %v", duration)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(duration)
	r.store.SetFaults(standin.StoreFaults{})
}
