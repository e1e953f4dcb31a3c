package rolloutsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/boottime"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// StatusEncoder encodes the row that shows operators the status of a roll-out.
type StatusEncoder interface {
	StatusKey(service string) string
	EncodeStatus(state rollout.State) ([]byte, error)
}

// FleetFunc returns what an owner needs to know of hosts and endpoints.
type FleetFunc func(order rollout.Order) rollout.Fleet

// LeaseFunc returns the lease under which this process owns all orders, and the time until it
// expires.
type LeaseFunc func() (grant lease.Grant, left time.Duration, ok bool)

// Coordinator owns the open orders while this process holds the lease. Step is used by one
// goroutine, ApplyReport and Directives by any.
type Coordinator struct {
	splitter     *rollout.Splitter
	test         rollout.BayesTest
	writer       *table.Writer
	status       StatusEncoder
	fleet        FleetFunc
	clock        *storeclock.Clock
	currentLease LeaseFunc
	log          *log.Logger

	mu sync.Mutex
	// owned are the orders that this process decides on, by service.
	owned map[string]*ownedOrder
}

// ownedOrder is one order and its row.
type ownedOrder struct {
	owner *rollout.Owner
	epoch int64
	// version is the version of the row on which this owner's writes are conditional. Taking over
	// changes it, so that writes of previous owners are refused.
	version   int64
	directive rollout.Directive
	// inDoubt is whether a write may or may not have taken effect.
	inDoubt bool
	// logged is the directive that was last logged.
	logged rollout.Directive
	// endedAt is when the order ended, by the store's clock.
	endedAt time.Duration
}

// NewCoordinator returns a coordinator that owns no orders yet.
func NewCoordinator(splitter *rollout.Splitter, test rollout.BayesTest, writer *table.Writer, status StatusEncoder, fleet FleetFunc, clock *storeclock.Clock, currentLease LeaseFunc, logger *log.Logger) *Coordinator {
	return &Coordinator{
		splitter: splitter, test: test, writer: writer, status: status, fleet: fleet, clock: clock, currentLease: currentLease, log: logger,
		owned: map[string]*ownedOrder{},
	}
}

// endedDirectiveTime is how long the directive of an ended order is still sent. Hosts that are cut
// off during that time learn of the end from the row.
const endedDirectiveTime = 5 * time.Second

// minLeaseLeft is how much of the lease must be left for a write.
const minLeaseLeft = 150 * time.Millisecond

// Step takes over the open orders, decides, and writes the decisions.
func (c *Coordinator) Step(ctx context.Context) {
	grant, left, ok := c.currentLease()
	now, known := c.clock.StoreTime()
	if !ok || !known || left < minLeaseLeft {
		c.dropAll()
		return
	}
	ctx, cancel := boottime.WithTimeout(ctx, left-minLeaseLeft/2)
	defer cancel()
	open := c.splitter.OpenOrders()
	c.prune(open, now)
	for _, order := range open {
		c.stepOrder(ctx, order, grant, now)
	}
}

// dropAll drops all orders, since another process may own them.
func (c *Coordinator) dropAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	clear(c.owned)
}

// prune drops the orders that are no longer open; those that have ended are kept for
// endedDirectiveTime.
func (c *Coordinator) prune(open []rollout.Order, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for service, o := range c.owned {
		current := o.owner.State().Order
		if i := slices.IndexFunc(open, func(order rollout.Order) bool { return c.splitter.WasRenumberedFrom(order, current) }); i >= 0 {
			// Keep the owner, since hosts ignore directives with lower numbers than the last one
			// applied, and read its row again, since the restore may have lost it.
			o.owner.Renumber(open[i])
			o.inDoubt = true
		}
		if o.endedAt > 0 && now-o.endedAt < endedDirectiveTime || slices.Contains(open, o.owner.State().Order) {
			continue
		}
		delete(c.owned, service)
	}
}

func (c *Coordinator) get(service string) *ownedOrder {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.owned[service]
}

func (c *Coordinator) stepOrder(ctx context.Context, order rollout.Order, grant lease.Grant, now time.Duration) {
	o := c.get(order.Service)
	if o != nil && (o.owner.State().Order.ID != order.ID || o.epoch != grant.Epoch) {
		o = nil
	}
	if o == nil || o.inDoubt {
		if o = c.takeOver(ctx, o, order, grant, now); o == nil {
			return
		}
	}
	step := c.decide(o, order, now)
	if step.Write != 0 {
		c.writePhase(ctx, o, step)
	}
}

// decide makes the next decision and keeps the directive for the hosts.
func (c *Coordinator) decide(o *ownedOrder, order rollout.Order, now time.Duration) rollout.Step {
	fleet := c.fleet(order)
	c.mu.Lock()
	defer c.mu.Unlock()
	step := o.owner.Next(fleet, now)
	o.directive = step.Directive
	if o.directive.Number != o.logged.Number || o.logged.Order == 0 {
		c.log.Info().Str("service", order.Service).Int64("order", order.ID).Int64("epoch", o.epoch).Int64("directive", o.directive.Number).
			Str("state", o.owner.Summary(now)).Strs("left-out", o.directive.Suspects).Str("why", step.Reason).Msg("roll-out goes on")
		o.logged = o.directive
	}
	return step
}

// takeOver reads an order's row, or creates it, and writes it again: from then on no write of a
// previous owner, and no delayed write of this one, takes effect. previous is an order that this
// process owns with a write in doubt, nil if there is none.
func (c *Coordinator) takeOver(ctx context.Context, previous *ownedOrder, order rollout.Order, grant lease.Grant, now time.Duration) *ownedOrder {
	stored, exists, err := c.writer.Store().Get(ctx, Key(order.Service))
	if err != nil {
		return nil
	}
	state := rollout.State{Order: order, Phase: rollout.Trying, Started: now}
	condition := table.Condition(table.Absent{})
	renumbered, isMalformed := false, false
	if exists {
		condition = table.AtVersion{Version: stored.Version}
		written, err := decodeStored(stored, order)
		isMalformed = err != nil
		if isMalformed {
			c.log.Error().Err(err).Str("service", order.Service).Int64("row", stored.Version).Msg("failed to decode roll-out state, replacing it")
		} else {
			renumbered = c.splitter.WasRenumberedFrom(order, written.Order)
		}
		switch {
		case isMalformed:
		case renumbered || written.Order.ID == order.ID:
			state.Phase, state.Started, state.Reason = written.Phase, min(written.Started, now), written.Reason
		case written.Order.ID > order.ID:
			// A later order that this process has not received yet.
			return nil
		}
	}
	recovered := c.recoverPhase(&state, isMalformed)
	if state.Phase.Ended() && !recovered && !renumbered {
		c.splitter.ApplyState(state, c.clock.Now())
		return nil
	}
	version, err := c.commit(ctx, state, grant.Epoch, condition)
	if err != nil {
		c.log.Warn().Err(err).Str("service", order.Service).Msg("failed to take over roll-out")
		return nil
	}
	if state.Phase.Ended() {
		c.splitter.ApplyState(state, c.clock.Now())
		return nil
	}
	if previous != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		previous.version, previous.inDoubt = version, false
		previous.owner.SetPhase(state.Phase, state.Reason)
		return previous
	}
	o := &ownedOrder{owner: rollout.NewOwner(state, c.splitter.Bounds(), c.test, grant.Epoch, now), epoch: grant.Epoch, version: version}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owned[order.Service] = o
	c.log.Info().Str("service", order.Service).Int64("order", order.ID).Str("target", order.Target).Int64("epoch", grant.Epoch).
		Str("phase", state.Phase.String()).Msg("roll-out taken on")
	return o
}

// decodeStored decodes the row of an order's service. A row of another service, or of an order later than the
// row itself, is not one that an owner has written.
func decodeStored(stored table.Row, order rollout.Order) (rollout.State, error) {
	state, err := DecodeState(stored.Value)
	if err == nil && (state.Order.Service != order.Service || state.Order.ID > max(stored.Version, order.ID)) {
		err = fmt.Errorf("rolloutsync: row of service %q and order %d", state.Order.Service, state.Order.ID)
	}
	return state, err
}

// recoverPhase raises a state read from a restored store, or from a row that another writer has replaced, to
// the phase that this host knows was written before. It reports whether that phase was lost.
func (c *Coordinator) recoverPhase(state *rollout.State, isMalformed bool) bool {
	if !isMalformed && !storeversion.IsRestored(storeversion.Era(state.Order.ID)) {
		return false
	}
	phase := c.splitter.Phase(state.Order)
	if phase < rollout.Draining || phase <= state.Phase {
		return false
	}
	state.Phase, state.Reason = phase, "written before, and lost by the store"
	return true
}

// commit writes an order's row and the operator's together.
func (c *Coordinator) commit(ctx context.Context, state rollout.State, epoch int64, condition table.Condition) (version int64, err error) {
	value, err := encodeState(state, epoch)
	if err != nil {
		return 0, err
	}
	status, err := c.status.EncodeStatus(state)
	if err != nil {
		return 0, err
	}
	// The order's row comes first, since its token is used to determine an unknown outcome.
	outcome := c.writer.Commit(ctx,
		table.Write{Key: Key(state.Order.Service), Value: value, If: condition},
		table.Write{Key: c.status.StatusKey(state.Order.Service), Value: status, If: table.Always{}})
	switch o := outcome.(type) {
	case table.Committed:
		return o.Version, nil
	case table.Refused:
		if len(o.Conflicts) == 0 {
			return 0, fmt.Errorf("%w: %w", errRejected, o.Err)
		}
		return 0, errConflict
	case table.Unknown:
		return 0, fmt.Errorf("rolloutsync: write outcome unknown: %w", o.Err)
	}
	return 0, fmt.Errorf("rolloutsync: unexpected write outcome %T", outcome)
}

// Errors of writes that did not take effect.
var (
	errRejected = errors.New("rolloutsync: the store rejected the write")
	errConflict = errors.New("rolloutsync: another process wrote the row first")
)

// writePhase writes a phase. If it is not known whether the write took effect, or another process
// has written, the row is read again before anything else is written.
func (c *Coordinator) writePhase(ctx context.Context, o *ownedOrder, step rollout.Step) {
	c.mu.Lock()
	state := o.owner.State()
	c.mu.Unlock()
	state.Phase, state.Reason = step.Write, step.Reason
	version, err := c.commit(ctx, state, o.epoch, table.AtVersion{Version: o.version})
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.log.Warn().Err(err).Str("service", state.Order.Service).Str("phase", step.Write.String()).Msg("failed to write roll-out phase")
		o.inDoubt = !errors.Is(err, errRejected)
		return
	}
	// If the store was restored in between, the condition may have matched another owner's row:
	// read the row back before the next write.
	o.inDoubt = storeversion.Era(version) != storeversion.Era(o.version)
	o.version = version
	o.owner.SetPhase(step.Write, step.Reason)
	if step.Write.Ended() {
		o.endedAt, _ = c.clock.StoreTime()
		o.directive = o.owner.Next(rollout.Fleet{}, o.endedAt).Directive
	}
	c.splitter.ApplyState(state, c.clock.Now())
	c.log.Info().Str("service", state.Order.Service).Int64("order", state.Order.ID).Str("target", state.Order.Target).
		Str("phase", step.Write.String()).Str("why", step.Reason).Int64("epoch", o.epoch).Msg("roll-out decided")
}

// ApplyReport applies a host's report.
func (c *Coordinator) ApplyReport(incarnation string, r rollout.Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if o, ok := c.owned[r.Service]; ok {
		o.owner.ApplyReport(incarnation, r)
	}
}

// Directives returns the directives to send to the hosts, none while this process does not hold the
// lease.
func (c *Coordinator) Directives() []rollout.Directive {
	if _, _, ok := c.currentLease(); !ok {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var directives []rollout.Directive
	for _, o := range c.owned {
		if o.directive.Order != 0 {
			directives = append(directives, o.directive)
		}
	}
	return directives
}
