package rolloutsync_test

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

const (
	service = "svc"
	shard   = lease.Shard(0)
)

var (
	bounds        = rollout.Bounds{Share: 0.1, Slack: 50}
	order         = rollout.Order{Service: service, Target: "v2", Period: 20 * time.Second, ID: 5}
	discardLogger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
)

// status encodes the status row as the name of the phase.
type status struct{}

func (status) StatusKey(name string) string { return "status/rollout/" + name }

func (status) EncodeStatus(s rollout.State) ([]byte, error) { return []byte(s.Phase.String()), nil }

// host is a process that may own the order, and splits its own requests.
type host struct {
	fleet       *fleet
	name        string
	splitter    *rollout.Splitter
	leases      *lease.Manager
	coordinator *rolloutsync.Coordinator
	paused      atomic.Bool
	stop        context.CancelFunc
}

// fleet is three hosts over one store.
type fleet struct {
	store  *tables.Store
	mu     sync.Mutex
	random *rand.Rand
	began  time.Time
	hosts  []*host
	bad    bool
	starts int
}

func (f *fleet) all() []*host {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(f.hosts), func(h *host) bool { return h == nil })
}

// isBad reports whether requests to the target version can fail.
func (f *fleet) isBad() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bad
}

func (f *fleet) setBad(bad bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bad = bad
}

func (f *fleet) draw(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) start(i int) {
	f.starts++
	name := fmt.Sprintf("h%d.%d", i, f.starts)
	h := &host{fleet: f, name: name, splitter: rollout.New(bounds)}
	clock := storeclock.New()
	clock.Observe(time.Since(f.began) + time.Minute)
	writer := table.NewWriter(f.store, name)
	h.leases = lease.New(writer, name, lease.Timing{Duration: 3 * time.Second, RenewInterval: 750 * time.Millisecond}, time.Now, discardLogger)
	held := func() (lease.Grant, time.Duration, bool) {
		grant, ok := h.leases.Held(shard)
		return grant, h.leases.Remaining(shard), ok
	}
	h.coordinator = rolloutsync.NewCoordinator(h.splitter, rollout.DefaultBayesTest(), writer, status{}, f.fleetInfo, clock, held, discardLogger)
	h.splitter.ObserveRelease(service, "v1", time.Now())
	h.splitter.UpdateEndpoints(infos(), true, time.Now())
	h.splitter.AddOrder(order, f.starts > 3)
	h.splitter.UpdateEndpoints(infos(), true, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	f.mu.Lock()
	f.hosts[i] = h
	f.mu.Unlock()
	go h.run(ctx, func(ctx context.Context) {
		h.leases.Step(ctx, map[lease.Shard]lease.Intent{shard: lease.Acquire})
	}, 700*time.Millisecond)
	go h.run(ctx, h.coordinator.Step, 100*time.Millisecond)
	go h.run(ctx, h.sendDirectives, 250*time.Millisecond)
	go h.run(ctx, h.readRow, 1500*time.Millisecond)
	go h.run(ctx, h.serve, 20*time.Millisecond)
}

// run calls do until the process ends. A paused process makes no calls.
func (h *host) run(ctx context.Context, do func(context.Context), interval time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(interval)
		if !h.paused.Load() && ctx.Err() == nil {
			do(ctx)
		}
	}
}

func (f *fleet) fleetInfo(rollout.Order) rollout.Fleet {
	info := rollout.Fleet{Advertised: len(f.hosts), OtherEndpoints: 4, TargetEndpoints: 4}
	for _, h := range f.all() {
		if !h.paused.Load() {
			info.Live = append(info.Live, h.name)
		}
	}
	return info
}

// infos returns the service's endpoints, of both versions.
func infos() []endpoint.Info {
	var list []endpoint.Info
	for i := range 8 {
		list = append(list, endpointOf(i))
	}
	return list
}

func endpointOf(i int) endpoint.Info {
	release := "v1"
	if i >= 4 {
		release = "v2"
	}
	return endpoint.Info{ID: fmt.Sprintf("e%d", i), State: endpoint.Live, Service: service, Release: release}
}

// sendDirectives sends this host's directives to all hosts and applies their reports. One in ten is
// lost.
func (h *host) sendDirectives(context.Context) {
	for _, w := range h.coordinator.Directives() {
		for _, other := range h.fleet.all() {
			if other.paused.Load() || h.fleet.draw(10) == 0 {
				continue
			}
			other.splitter.ApplyDirective(w, time.Now())
			if r, ok := other.splitter.Report(service, w.Order, time.Now()); ok {
				h.coordinator.ApplyReport(other.name, r)
			}
		}
	}
}

func (h *host) readRow(ctx context.Context) {
	if row, ok, err := h.fleet.store.Get(ctx, rolloutsync.Key(service)); ok && err == nil {
		if state, err := rolloutsync.DecodeState(row.Value); err == nil {
			h.splitter.ApplyState(state, time.Now())
		}
	}
}

// serve sends one request.
func (h *host) serve(context.Context) {
	now := time.Now()
	kind := rollout.KindOf("route")
	subset := h.splitter.SubsetFor(service, kind, fmt.Sprint(h.fleet.draw(1<<40)), now)
	rule := h.splitter.Rule(service, subset)
	first := h.fleet.draw(8)
	for i := range 8 {
		info := endpointOf((first + i) % 8)
		if !rule.Allows(&info) {
			continue
		}
		attempt := h.splitter.StartAttempt(service, &info, kind, 0, now)
		go func() {
			time.Sleep(time.Duration(20+h.fleet.draw(40)) * time.Millisecond)
			failed := h.fleet.isBad() && info.Release == "v2" && h.fleet.draw(2) == 0
			h.splitter.RecordAnswer(attempt, failed, time.Now())
			h.splitter.FinishAttempt(attempt, time.Now())
		}()
		return
	}
}

// drawFault draws the fault of a call to the store.
func (f *fleet) drawFault(tables.Call) tables.Fault {
	switch f.draw(12) {
	case 0:
		return tables.Down{}
	case 1:
		return tables.Refuse{}
	case 2:
		return tables.LoseResponse{}
	case 3:
		return tables.LateCommit{After: time.Duration(1+f.draw(5000)) * time.Millisecond}
	case 4:
		return tables.Delay{Duration: time.Duration(f.draw(900)) * time.Millisecond}
	}
	return tables.NoFault{}
}

// Owners die, freeze and resume, and their writes are lost or arrive seconds late. The phase of an
// order's row must never go back, and must end in the one final phase that is right, which all
// hosts must reach.
func TestOneFinalPhaseUnderFaults(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), hosts: make([]*host, 3), bad: seed%2 == 1}
			for i := range f.hosts {
				f.start(i)
			}
			f.store.SetFaults(f.drawFault)
			f.runWithFaults(t, seed)
			for _, h := range f.hosts {
				h.stop()
			}
			// Wait for delayed writes and sleeping loops to end.
			time.Sleep(10 * time.Second)
		})
	}
}

// runWithFaults injects faults into hosts and checks the row until long after the order has ended.
func (f *fleet) runWithFaults(t *testing.T, seed uint64) {
	t.Helper()
	latest := rollout.Phase(0)
	for time.Since(f.began) < 60*time.Second {
		time.Sleep(50 * time.Millisecond)
		if time.Since(f.began) < 25*time.Second && f.draw(40) == 0 {
			f.injectFault(f.draw(len(f.hosts)))
		}
		if time.Since(f.began) > 30*time.Second {
			f.store.SetFaults(nil)
		}
		phase := f.phase()
		if phase < latest || latest.Ended() && phase != latest {
			t.Fatalf("seed %d: phase went from %v to %v", seed, latest, phase)
		}
		latest = phase
	}
	want := rollout.Completed
	if f.bad {
		want = rollout.Reverted
	}
	if latest != want {
		t.Errorf("seed %d: got phase %v, want %v", seed, latest, want)
	}
	for _, h := range f.hosts {
		if open := h.splitter.OpenOrders(); len(open) > 0 {
			t.Errorf("seed %d: %s still has the order open, want it %v", seed, h.name, latest)
		}
	}
}

// phase returns the phase of the row in the store.
func (f *fleet) phase() rollout.Phase {
	for {
		row, ok, err := f.store.Get(context.Background(), rolloutsync.Key(service))
		if err != nil {
			continue
		}
		if !ok {
			return 0
		}
		state, err := rolloutsync.DecodeState(row.Value)
		if err != nil {
			return 0
		}
		return state.Phase
	}
}

func (f *fleet) injectFault(i int) {
	h := f.hosts[i]
	if f.draw(2) == 0 {
		h.stop()
		f.start(i)
		return
	}
	h.paused.Store(true)
	time.AfterFunc(time.Duration(500+f.draw(4000))*time.Millisecond, func() { h.paused.Store(false) })
}

// Guards against an ended roll-out that starts over because a restore lost the row with its end or
// changed the ID of its order.
func TestEndIsWrittenAgainAfterRestore(t *testing.T) {
	for _, bad := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 3), bad: bad}
			for i := range f.hosts {
				f.start(i)
			}
			time.Sleep(40 * time.Second)
			ended := f.phase()
			if !ended.Ended() {
				t.Fatalf("phase before the restore: got %v, want completed or reverted", ended)
			}
			deletion := table.Write{Key: rolloutsync.Key(service), Delete: true, If: table.Always{}}
			f.store.Commit(t.Context(), table.Commit{Writes: []table.Write{deletion}})
			renumbered := order
			renumbered.ID = storeversion.New(1, 3)
			for _, h := range f.hosts {
				if h.splitter.AddOrder(renumbered, false) {
					t.Errorf("%s: order from before the restore: got it taken as new, want it recognized", h.name)
				}
			}
			time.Sleep(5 * time.Second)
			if got := f.phase(); got != ended {
				t.Errorf("phase after the restore: got %v, want %v as before", got, ended)
			}
			for _, h := range f.hosts {
				if open := h.splitter.OpenOrders(); len(open) > 0 {
					t.Errorf("%s still has the order open, want it %v", h.name, ended)
				}
				h.stop()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// Guards against a roll-out in progress that stalls because a restore changed the ID of its order.
func TestRolloutIsFinishedAfterRestore(t *testing.T) {
	for _, rowLost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 3)}
			for i := range f.hosts {
				f.start(i)
			}
			time.Sleep(10 * time.Second)
			if rowLost {
				deletion := table.Write{Key: rolloutsync.Key(service), Delete: true, If: table.Always{}}
				f.store.Commit(t.Context(), table.Commit{Writes: []table.Write{deletion}})
			}
			renumbered := order
			renumbered.ID = storeversion.New(1, 3)
			for _, h := range f.hosts {
				h.splitter.AddOrder(renumbered, false)
			}
			time.Sleep(20 * time.Second)
			if got := f.phase(); got != rollout.Completed {
				t.Errorf("row lost %v: got phase %v 30 s after the order, want completed", rowLost, got)
			}
			for _, h := range f.hosts {
				h.stop()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// Guards against a new order that is reverted without being tried because an equal order was reverted
// before a restore.
func TestRevertedTargetIsTriedAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 3), bad: true}
		for i := range f.hosts {
			f.start(i)
		}
		time.Sleep(40 * time.Second)
		takeOnAll := func(id int64) {
			next := order
			next.ID = id
			for _, h := range f.hosts {
				h.splitter.AddOrder(next, false)
				h.splitter.UpdateEndpoints(infos(), true, time.Now())
			}
		}
		takeOnAll(storeversion.New(1, 3))
		time.Sleep(20 * time.Second)
		if got := f.phase(); got != rollout.Reverted {
			t.Fatalf("phase after the restore: got %v, want reverted", got)
		}
		f.setBad(false)
		takeOnAll(storeversion.New(1, 50))
		time.Sleep(30 * time.Second)
		if got := f.phase(); got != rollout.Completed {
			t.Errorf("phase 30 s after the second order: got %v, want completed", got)
		}
		for _, h := range f.hosts {
			h.stop()
		}
		time.Sleep(10 * time.Second)
	})
}

// Directives and reports must be equal after they are encoded and decoded.
func TestDirectivesAndReportsRoundTrip(t *testing.T) {
	w := rollout.Directive{
		Service: service, Order: 5, Target: "v2", Period: time.Second, Phase: rollout.Shifting, Share: 0.25, Slack: 3, Epoch: 2, Number: 9, Suspects: []string{"e1"},
		SlowThresholds: []rollout.SlowThreshold{{Kind: 4, Value: 0.5, Answers: 20}},
	}
	data, err := rolloutsync.EncodeDirectives([]rollout.Directive{w})
	if err != nil {
		t.Fatal(err)
	}
	directives, _, err := rolloutsync.Decode(data)
	if got, want := fmt.Sprintf("%+v %v", directives, err), fmt.Sprintf("%+v <nil>", []rollout.Directive{w}); got != want {
		t.Errorf("directives: got %s, want %s", got, want)
	}
	r := rollout.Report{
		Service: service, Order: 5, Phase: rollout.Draining, Epoch: 2, Number: 9, Requests: 100, TargetRequests: 7, OthersRunning: 2, LongestOther: 3 * time.Second,
		Tallies: []rollout.Tally{
			{Kind: 4, Count: rollout.Count{Answers: 90, Bad: 1}},
			{Kind: 4, Endpoint: "e1", Count: rollout.Count{Answers: 7, Bad: 3}},
		},
		SlowThresholds: []rollout.SlowThreshold{{Kind: 4, Value: 0.5, Answers: 20}},
	}
	if data, err = rolloutsync.EncodeReports([]rollout.Report{r}); err != nil {
		t.Fatal(err)
	}
	_, reports, err := rolloutsync.Decode(data)
	if got, want := fmt.Sprintf("%+v %v", reports, err), fmt.Sprintf("%+v <nil>", []rollout.Report{r}); got != want {
		t.Errorf("reports: got %s, want %s", got, want)
	}
	for _, bad := range [][]byte{nil, {0xff}, data[:len(data)-3]} {
		if _, _, err := rolloutsync.Decode(bad); err == nil {
			t.Errorf("%x: got no error, want one", bad)
		}
	}
}

// The store rejects all writes when a version is found bad, and the owner may die before they
// succeed. The hosts were already directed to revert, and the row must show it as soon as it can be
// written.
func TestRevertIsWrittenOnceTheStoreAcceptsWrites(t *testing.T) {
	for _, ownerDies := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(1, 1)), began: time.Now(), hosts: make([]*host, 3), bad: true}
			for i := range f.hosts {
				f.start(i)
			}
			f.awaitPhase(t, rollout.Trying)
			f.store.SetFaults(func(c tables.Call) tables.Fault {
				if c.Operation == tables.OperationCommit && c.Key == rolloutsync.Key(service) {
					return tables.Refuse{}
				}
				return tables.NoFault{}
			})
			time.Sleep(5 * time.Second)
			if got := f.phase(); got != rollout.Trying {
				t.Errorf("phase while the store rejects writes: got %v, want trying", got)
			}
			for i, h := range f.all() {
				if _, holds := h.leases.Held(shard); holds && ownerDies {
					h.stop()
					f.start(i)
				}
			}
			f.store.SetFaults(nil)
			f.awaitPhase(t, rollout.Reverted)
			for _, h := range f.hosts {
				h.stop()
			}
			time.Sleep(10 * time.Second)
		})
	}
}

// awaitPhase waits until the row has a phase.
func (f *fleet) awaitPhase(t *testing.T, want rollout.Phase) {
	t.Helper()
	for range 400 {
		if f.phase() == want {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("phase after 20 s: got %v, want %v", f.phase(), want)
}
