package soak

import (
	"context"
	"encoding/json"
	"strings"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// Rollout is a rollout order that is placed while callers send.
type Rollout struct {
	Target standin.Version
	Period time.Duration
	// BootTime is how long after the order the endpoints of the target start.
	BootTime time.Duration
	// InjectFault, if not nil, is called during the rollout to inject a fault.
	InjectFault func(faults FaultInjector)
}

// FaultInjector injects faults into a run.
type FaultInjector interface {
	// KillLeaseHolder kills the process that decides on rollouts.
	KillLeaseHolder()
	// TakeStoreDown makes the store reject all calls for the given duration.
	TakeStoreDown(duration time.Duration)
}

// RolloutOutcome is the result of a rollout.
type RolloutOutcome struct {
	// State is the final state that the operator reads, or the last one read if stateTimeout passes
	// after the period without a final state.
	State   string
	Elapsed time.Duration
	// Requests counts the requests to the service during the rollout, TargetRequests those of them
	// that the target ran.
	Requests, TargetRequests int
	// Failed counts the failed requests to all services from the order until failureCountTime
	// after its end.
	Failed int
}

// Timing of rollouts.
const (
	// stateTimeout is how long after the period to wait for a final state.
	stateTimeout = 10 * time.Second
	// baselineTime is the time before each order in which hosts measure the usual behavior.
	baselineTime = 4 * time.Second
	// revertDrainTime is the time from a revert to the stop of the target's endpoints.
	revertDrainTime = 2 * time.Second
	// injectAtShare is the share of the period after which InjectFault is called.
	injectAtShare     = 0.4
	statePollInterval = 20 * time.Millisecond
	// failureCountTime is how long after the end failed requests still count towards the rollout.
	failureCountTime = time.Second
)

// RunRollouts runs rollouts of the plain service one after the other.
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

// runRollout places an order, waits for its result and stops the endpoints of the version that is no
// longer used, as the platform does. current is the version in use.
func (r *run) runRollout(ctx context.Context, order Rollout, current *string) (RolloutOutcome, error) {
	service := standin.PlainService
	before := r.requestLog.RunsOfVersion(*current)
	_, failedBefore := r.report.totals()
	r.log("order rollout of %s", order.Target.Name)
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
		// The endpoints of the previous version stop without draining.
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
	r.log("rollout of %s: %s after %v, %d of %d requests", order.Target.Name, state, outcome.Elapsed, outcome.TargetRequests, outcome.Requests)
	return outcome, nil
}

func (r *run) addEndpoint(i int, version standin.Version) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endpointsStarted++
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	return r.startEndpointAt(i, standin.PlainService, version, anyPortAddress)
}

// stopVersion stops all plain endpoints of a version at once.
func (r *run) stopVersion(version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, e := range r.endpoints {
		if e != nil && e.Matches(standin.PlainService, version) {
			e.Stop()
		}
	}
}

// awaitState waits for a final state until the deadline and returns the last state read.
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

// KillLeaseHolder kills the process that the stored lease names as its holder.
func (r *run) KillLeaseHolder() {
	for _, n := range r.nodes {
		if r.holdsLease(n) {
			r.log("kill %s, the holder of the lease", n.settings.Name)
			n.signal(syscall.SIGKILL)
		}
	}
}

// holdsLease reports whether the store names a host's process as the holder of the lease.
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

// TakeStoreDown makes the store reject all calls for the given duration.
func (r *run) TakeStoreDown(duration time.Duration) {
	r.log("store down for %v", duration)
	r.store.SetFaults(standin.StoreFaults{Down: true})
	time.Sleep(duration)
	r.store.SetFaults(standin.StoreFaults{})
}
