package rolloutsync

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/steady"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// StatusEncoder is the row that tells operators how a roll-out is.
type StatusEncoder interface {
	StatusKey(service string) string
	EncodeStatus(state rollout.State) ([]byte, error)
}

// FleetFunc tells what an owner needs to know of hosts and endpoints.
type FleetFunc func(order rollout.Order) rollout.Fleet

// LeaseFunc tells the lease under which this process owns all orders, and how long it is
// held yet.
type LeaseFunc func() (grant lease.Grant, left time.Duration, ok bool)

// Coordinator owns the open orders while this process holds the lease. Step is used by one
// goroutine, Hear and Words by any.
type Coordinator struct {
	rollouts *rollout.Splitter
	judge    rollout.BayesTest
	writer   *table.Writer
	status   StatusEncoder
	fleet    FleetFunc
	clock    *storeclock.Clock
	held     LeaseFunc
	log      *log.Logger

	mu sync.Mutex
	// owned are the orders that this process decides on, by service.
	owned map[string]*owned
}

// owned is one order and its row.
type owned struct {
	owner *rollout.Owner
	epoch int64
	// version is the row's, so that writes of an owner before are refused from then on.
	version   int64
	directive rollout.Directive
	// inDoubt says that a write may or may not have taken effect.
	inDoubt bool
	// shown is the word of the last line.
	shown rollout.Directive
	// endedAt is when the order ended, by the store's clock.
	endedAt time.Duration
}

// NewCoordinator returns a desk that owns nothing yet.
func NewCoordinator(rollouts *rollout.Splitter, judge rollout.BayesTest, writer *table.Writer, status StatusEncoder, fleet FleetFunc, clock *storeclock.Clock, held LeaseFunc, logger *log.Logger) *Coordinator {
	return &Coordinator{
		rollouts: rollouts, judge: judge, writer: writer, status: status, fleet: fleet, clock: clock, held: held, log: logger,
		owned: map[string]*owned{},
	}
}

// endTold is how long hosts are told of an end: who was cut off meanwhile hears of it
// by the row.
const endTold = 5 * time.Second

// leastLeft is how much of the lease must be left for a write.
const leastLeft = 150 * time.Millisecond

// Step takes the open orders on, decides, and writes what was decided.
func (d *Coordinator) Step(ctx context.Context) {
	grant, left, ok := d.held()
	now, known := d.clock.Store()
	if !ok || !known || left < leastLeft {
		d.forget()
		return
	}
	ctx, cancel := steady.WithTimeout(ctx, left-leastLeft/2)
	defer cancel()
	open := d.rollouts.OpenOrders()
	d.keep(open, now)
	for _, order := range open {
		d.step(ctx, order, grant, now)
	}
}

// forget drops all orders: another process may own them.
func (d *Coordinator) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	clear(d.owned)
}

// keep drops the orders that are not open any more, those that have ended after a while.
func (d *Coordinator) keep(open []rollout.Order, now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for service, o := range d.owned {
		held := o.owner.State().Order
		if i := slices.IndexFunc(open, func(order rollout.Order) bool { return d.rollouts.WasRenumberedFrom(order, held) }); i >= 0 {
			// Keep the owner, since hosts ignore directives with lower numbers than the last one
			// applied, and read its row again, since the restore may have lost it.
			o.owner.Renumber(open[i])
			o.inDoubt = true
		}
		if o.endedAt > 0 && now-o.endedAt < endTold || slices.Contains(open, o.owner.State().Order) {
			continue
		}
		delete(d.owned, service)
	}
}

func (d *Coordinator) get(service string) *owned {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.owned[service]
}

func (d *Coordinator) step(ctx context.Context, order rollout.Order, grant lease.Grant, now time.Duration) {
	o := d.get(order.Service)
	if o != nil && (o.owner.State().Order.ID != order.ID || o.epoch != grant.Epoch) {
		o = nil
	}
	if o == nil || o.inDoubt {
		if o = d.take(ctx, o, order, grant, now); o == nil {
			return
		}
	}
	step := d.next(o, order, now)
	if step.Write != 0 {
		d.write(ctx, o, step)
	}
}

// next decides and keeps what the hosts are told.
func (d *Coordinator) next(o *owned, order rollout.Order, now time.Duration) rollout.Step {
	fleet := d.fleet(order)
	d.mu.Lock()
	defer d.mu.Unlock()
	step := o.owner.Next(fleet, now)
	o.directive = step.Directive
	if o.directive.Number != o.shown.Number || o.shown.Order == 0 {
		d.log.Info().Str("service", order.Service).Int64("order", order.ID).Int64("epoch", o.epoch).Int64("directive", o.directive.Number).
			Str("state", o.owner.Summary(now)).Strs("left-out", o.directive.Suspects).Str("why", step.Reason).Msg("roll-out goes on")
		o.shown = o.directive
	}
	return step
}

// take reads an order's row, or makes it, and writes it anew: from then on no write of
// an owner before, or of this one that is still on its way, takes effect. before is what
// this process owned and is in doubt of, nil for nothing.
func (d *Coordinator) take(ctx context.Context, before *owned, order rollout.Order, grant lease.Grant, now time.Duration) *owned {
	held, exists, err := d.writer.Store().Get(ctx, Key(order.Service))
	if err != nil {
		return nil
	}
	state := rollout.State{Order: order, Phase: rollout.Trying, Started: now}
	condition := table.Condition(table.Absent{})
	renumbered := false
	if exists {
		condition = table.AtVersion{Version: held.Version}
		written, err := DecodeState(held.Value)
		if err != nil {
			d.log.Error().Err(err).Str("service", order.Service).Msg("state of a roll-out not read")
			return nil
		}
		renumbered = d.rollouts.WasRenumberedFrom(order, written.Order)
		switch {
		case renumbered:
			state = written
			state.Order = order
		case written.Order.ID > order.ID:
			// A later order that this process has not heard of yet.
			return nil
		case written.Order.ID == order.ID:
			state = written
		}
	}
	recovered := d.recoverPhase(&state)
	if state.Phase.Ended() && !recovered && !renumbered {
		d.rollouts.ApplyState(state, d.clock.Now())
		return nil
	}
	version, err := d.commit(ctx, state, grant.Epoch, condition)
	if err != nil {
		d.log.Warn().Err(err).Str("service", order.Service).Msg("roll-out not taken on")
		return nil
	}
	if state.Phase.Ended() {
		d.rollouts.ApplyState(state, d.clock.Now())
		return nil
	}
	if before != nil {
		d.mu.Lock()
		defer d.mu.Unlock()
		before.version, before.inDoubt = version, false
		before.owner.SetPhase(state.Phase, state.Reason)
		return before
	}
	o := &owned{owner: rollout.NewOwner(state, d.rollouts.Bounds(), d.judge, grant.Epoch, now), epoch: grant.Epoch, version: version}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.owned[order.Service] = o
	d.log.Info().Str("service", order.Service).Int64("order", order.ID).Str("target", order.Target).Int64("epoch", grant.Epoch).
		Str("phase", state.Phase.String()).Msg("roll-out taken on")
	return o
}

// recoverPhase raises a state read from a restored store to the phase that this host knows was
// written before the restore. It reports whether the restore had lost that phase.
func (d *Coordinator) recoverPhase(state *rollout.State) bool {
	if !storeversion.IsRestored(storeversion.Era(state.Order.ID)) {
		return false
	}
	phase := d.rollouts.Phase(state.Order)
	if phase < rollout.Draining || phase <= state.Phase {
		return false
	}
	state.Phase, state.Reason = phase, "written before the store was restored"
	return true
}

// commit writes an order's row and the operator's together.
func (d *Coordinator) commit(ctx context.Context, state rollout.State, epoch int64, condition table.Condition) (version int64, err error) {
	value, err := encodeState(state, epoch)
	if err != nil {
		return 0, err
	}
	status, err := d.status.EncodeStatus(state)
	if err != nil {
		return 0, err
	}
	// Own row first: by its token an outcome that is not known is found out.
	outcome := d.writer.Commit(ctx,
		table.Write{Key: Key(state.Order.Service), Value: value, If: condition},
		table.Write{Key: d.status.StatusKey(state.Order.Service), Value: status, If: table.Always{}})
	switch o := outcome.(type) {
	case table.Done:
		return o.Version, nil
	case table.Refused:
		if len(o.Conflicts) == 0 {
			return 0, fmt.Errorf("%w: %w", errTurnedAway, o.Err)
		}
		return 0, errOtherWrote
	case table.Unknown:
		return 0, fmt.Errorf("rolloutsync: not known whether it was written: %w", o.Err)
	}
	return 0, fmt.Errorf("rolloutsync: outcome %T", outcome)
}

// Ends of a write that did not take effect.
var (
	errTurnedAway = errors.New("rolloutsync: the store turned the write away")
	errOtherWrote = errors.New("rolloutsync: another wrote first")
)

// write writes a phase. Where it is not known whether that took effect, or another
// process has written, the row is read anew before anything else is written.
func (d *Coordinator) write(ctx context.Context, o *owned, step rollout.Step) {
	d.mu.Lock()
	state := o.owner.State()
	d.mu.Unlock()
	state.Phase, state.Reason = step.Write, step.Reason
	version, err := d.commit(ctx, state, o.epoch, table.AtVersion{Version: o.version})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Warn().Err(err).Str("service", state.Order.Service).Str("phase", step.Write.String()).Msg("phase of a roll-out not written")
		o.inDoubt = !errors.Is(err, errTurnedAway)
		return
	}
	// If the store was restored in between, the condition may have matched another owner's row:
	// read the row back before the next write.
	o.inDoubt = storeversion.Era(version) != storeversion.Era(o.version)
	o.version = version
	o.owner.SetPhase(step.Write, step.Reason)
	if step.Write.Ended() {
		o.endedAt, _ = d.clock.Store()
		o.directive = o.owner.Next(rollout.Fleet{}, o.endedAt).Directive
	}
	d.rollouts.ApplyState(state, d.clock.Now())
	d.log.Info().Str("service", state.Order.Service).Int64("order", state.Order.ID).Str("target", state.Order.Target).
		Str("phase", step.Write.String()).Str("why", step.Reason).Int64("epoch", o.epoch).Msg("roll-out decided")
}

// ApplyReport applies a host's report.
func (d *Coordinator) ApplyReport(incarnation string, r rollout.Report) {
	now, known := d.clock.Store()
	if !known {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if o, ok := d.owned[r.Service]; ok {
		o.owner.ApplyReport(incarnation, r, now)
	}
}

// Directives returns what the hosts are to be sent, nothing while this process owns nothing.
func (d *Coordinator) Directives() []rollout.Directive {
	if _, _, ok := d.held(); !ok {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	var directives []rollout.Directive
	for _, o := range d.owned {
		if o.directive.Order != 0 {
			directives = append(directives, o.directive)
		}
	}
	return directives
}
