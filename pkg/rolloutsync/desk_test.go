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
	bounds = rollout.Bounds{Share: 0.1, Slack: 50}
	order  = rollout.Order{Service: service, Target: "v2", Period: 20 * time.Second, ID: 5}
	quiet  = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
)

// status counts how often operators were told each phase.
type status struct{}

func (status) StatusKey(name string) string { return "status/rollout/" + name }

func (status) EncodeStatus(s rollout.State) ([]byte, error) { return []byte(s.Phase.String()), nil }

// host is a process that may own the order, and splits its own requests.
type host struct {
	fleet    *fleet
	name     string
	rollouts *rollout.Splitter
	leases   *lease.Manager
	desk     *rolloutsync.Coordinator
	paused   atomic.Bool
	stop     context.CancelFunc
}

// fleet is three of them over one store.
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
	h := &host{fleet: f, name: name, rollouts: rollout.New(bounds)}
	clock := storeclock.New()
	clock.Heard(time.Since(f.began) + time.Minute)
	writer := table.NewWriter(f.store, name)
	h.leases = lease.New(writer, name, lease.Timing{Duration: 3 * time.Second, Renew: 750 * time.Millisecond}, time.Now)
	held := func() (lease.Grant, time.Duration, bool) {
		grant, ok := h.leases.Held(shard)
		return grant, h.leases.Left(shard), ok
	}
	h.desk = rolloutsync.NewCoordinator(h.rollouts, rollout.DefaultBayesTest(), writer, status{}, f.known, clock, held, quiet)
	h.rollouts.ObserveRelease(service, "v1", time.Now())
	h.rollouts.UpdateEndpoints(infos(), true, time.Now())
	h.rollouts.AddOrder(order, f.starts > 3)
	h.rollouts.UpdateEndpoints(infos(), true, time.Now())
	ctx, stop := context.WithCancel(context.Background())
	h.stop = stop
	f.mu.Lock()
	f.hosts[i] = h
	f.mu.Unlock()
	go h.run(ctx, func(ctx context.Context) {
		h.leases.Step(ctx, map[lease.Shard]lease.Wish{shard: lease.Wanted})
	}, 700*time.Millisecond)
	go h.run(ctx, h.desk.Step, 100*time.Millisecond)
	go h.run(ctx, h.tell, 250*time.Millisecond)
	go h.run(ctx, h.readRow, 1500*time.Millisecond)
	go h.run(ctx, h.serve, 20*time.Millisecond)
}

// run calls do until the process ends; a paused one stands still between two calls.
func (h *host) run(ctx context.Context, do func(context.Context), pause time.Duration) {
	for ctx.Err() == nil {
		time.Sleep(pause)
		if !h.paused.Load() && ctx.Err() == nil {
			do(ctx)
		}
	}
}

func (f *fleet) known(rollout.Order) rollout.Fleet {
	known := rollout.Fleet{Advertised: len(f.hosts), OtherEndpoints: 4, TargetEndpoints: 4}
	for _, h := range f.all() {
		if !h.paused.Load() {
			known.Live = append(known.Live, h.name)
		}
	}
	return known
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

// tell tells the others what this host has decided; a part is lost.
func (h *host) tell(context.Context) {
	for _, w := range h.desk.Directives() {
		for _, other := range h.fleet.all() {
			if other.paused.Load() || h.fleet.draw(10) == 0 {
				continue
			}
			other.rollouts.ApplyDirective(w, time.Now())
			if r, ok := other.rollouts.Report(service, w.Order, time.Now()); ok {
				h.desk.ApplyReport(other.name, r)
			}
		}
	}
}

func (h *host) readRow(ctx context.Context) {
	if row, ok, err := h.fleet.store.Get(ctx, rolloutsync.Key(service)); ok && err == nil {
		if state, err := rolloutsync.DecodeState(row.Value); err == nil {
			h.rollouts.ApplyState(state, time.Now())
		}
	}
}

// serve sends one request.
func (h *host) serve(context.Context) {
	now := time.Now()
	kind := rollout.KindOf("route")
	side := h.rollouts.SubsetFor(service, kind, fmt.Sprint(h.fleet.draw(1<<40)), now)
	rule := h.rollouts.Rule(service, side)
	first := h.fleet.draw(8)
	for i := range 8 {
		info := endpointOf((first + i) % 8)
		if !rule.Allows(&info) {
			continue
		}
		sent := h.rollouts.StartAttempt(service, &info, kind, 0, now)
		go func() {
			time.Sleep(time.Duration(20+h.fleet.draw(40)) * time.Millisecond)
			failed := h.fleet.isBad() && info.Release == "v2" && h.fleet.draw(2) == 0
			h.rollouts.RecordAnswer(sent, failed, time.Now())
			h.rollouts.FinishAttempt(sent, time.Now())
		}()
		return
	}
}

// faults draws what befalls a call to the store.
func (f *fleet) faults(tables.Call) tables.Fault {
	switch f.draw(12) {
	case 0:
		return tables.Down{}
	case 1:
		return tables.Refuse{}
	case 2:
		return tables.LoseAnswer{}
	case 3:
		return tables.Late{For: time.Duration(1+f.draw(5000)) * time.Millisecond}
	case 4:
		return tables.Delay{For: time.Duration(f.draw(900)) * time.Millisecond}
	}
	return tables.None{}
}

// Owners die, stand still and wake, and their writes are lost or come seconds late: an
// order's row never goes back and has one end, which all hosts come to, and that end is
// the right one.
func TestOneEndWhateverBefallsOwners(t *testing.T) {
	for seed := range uint64(40) {
		synctest.Test(t, func(t *testing.T) {
			f := &fleet{store: tables.New(), random: rand.New(rand.NewPCG(seed, 1)), began: time.Now(), hosts: make([]*host, 3), bad: seed%2 == 1}
			for i := range f.hosts {
				f.start(i)
			}
			f.store.SetFaults(f.faults)
			f.watch(t, seed)
			for _, h := range f.hosts {
				h.stop()
			}
			// Late writes and sleeping loops end.
			time.Sleep(10 * time.Second)
		})
	}
}

// watch harms hosts and looks at the row until the order has long ended.
func (f *fleet) watch(t *testing.T, seed uint64) {
	t.Helper()
	most := rollout.Phase(0)
	for time.Since(f.began) < 60*time.Second {
		time.Sleep(50 * time.Millisecond)
		if time.Since(f.began) < 25*time.Second && f.draw(40) == 0 {
			f.harm(f.draw(len(f.hosts)))
		}
		if time.Since(f.began) > 30*time.Second {
			f.store.SetFaults(nil)
		}
		phase := f.phase()
		if phase < most || most.Ended() && phase != most {
			t.Fatalf("seed %d: row went from %v to %v", seed, most, phase)
		}
		most = phase
	}
	want := rollout.Completed
	if f.bad {
		want = rollout.Reverted
	}
	if most != want {
		t.Errorf("seed %d: got %v, want %v", seed, most, want)
	}
	for _, h := range f.hosts {
		if open := h.rollouts.OpenOrders(); len(open) > 0 {
			t.Errorf("seed %d: %s holds the order for open, want it %v", seed, h.name, most)
		}
	}
}

// phase returns the row's phase, as the store has it.
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

func (f *fleet) harm(i int) {
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
				if h.rollouts.AddOrder(renumbered, false) {
					t.Errorf("%s: order from before the restore: got it taken as new, want it recognized", h.name)
				}
			}
			time.Sleep(5 * time.Second)
			if got := f.phase(); got != ended {
				t.Errorf("phase after the restore: got %v, want %v as before", got, ended)
			}
			for _, h := range f.hosts {
				if open := h.rollouts.OpenOrders(); len(open) > 0 {
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
				h.rollouts.AddOrder(renumbered, false)
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
				h.rollouts.AddOrder(next, false)
				h.rollouts.UpdateEndpoints(infos(), true, time.Now())
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

// What hosts tell each other is what they meant.
func TestWordsAndReportsAreCarried(t *testing.T) {
	w := rollout.Directive{
		Service: service, Order: 5, Target: "v2", Period: time.Second, Phase: rollout.Shifting, Share: 0.25, Slack: 3, Epoch: 2, Number: 9, Suspects: []string{"e1"},
		SlowThresholds: []rollout.SlowThreshold{{Kind: 4, Value: 0.5, Answers: 20}},
	}
	data, err := rolloutsync.EncodeDirectives([]rollout.Directive{w})
	if err != nil {
		t.Fatal(err)
	}
	words, _, err := rolloutsync.Decode(data)
	if got, want := fmt.Sprintf("%+v %v", words, err), fmt.Sprintf("%+v <nil>", []rollout.Directive{w}); got != want {
		t.Errorf("words: got %s, want %s", got, want)
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

// The store turns all writes away when a version is found bad, and the owner may die
// before they pass: the hosts were told, and the row says so as soon as it can.
func TestRevertIsWrittenOnceTheStoreIsBack(t *testing.T) {
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
				return tables.None{}
			})
			time.Sleep(5 * time.Second)
			if got := f.phase(); got != rollout.Trying {
				t.Errorf("row while the store turns writes away: got %v, want trying", got)
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
	t.Fatalf("row after 20 s: got %v, want %v", f.phase(), want)
}
