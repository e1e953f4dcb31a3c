package notice_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/slotqueue"
	"ironhollow/pkg/timeline"
)

// Parameters of a fragileFleet.
const (
	fragileSlots = 8
	// fragileQueue is the length of an endpoint's queue, until queueLostAfter after it first named
	// the number of rejections.
	fragileQueue   = 6
	queueLostAfter = 3 * time.Second
	fragileFrom    = 8 * time.Second
	fragileUntil   = 40 * time.Second
	// fragileSettleTime is how long after fragileFrom the served requests are not counted.
	fragileSettleTime = 5 * time.Second
	// rowLapseTime is how long the row of a failed endpoint stays; outageTime is how long it is down.
	rowLapseTime = 900 * time.Millisecond
	outageTime   = 3 * time.Second
	// networkTime is the one-way time to an endpoint.
	networkTime = 2 * time.Millisecond
	// inTouchTime is how long after its start a host counts as in touch.
	inTouchTime = 3 * time.Second
	// minFragileServed is the least share of the endpoints' slot time that must be used.
	minFragileServed = 0.85
)

// fragileKind is a kind of request.
type fragileKind struct {
	// share is its share of the offered slot time, time how long it holds a slot on average.
	share           float64
	time, objective time.Duration
	priority        int
}

// fragileFleet simulates hosts before endpoints that fail if they have to reject more than
// maxRejections requests within a second for lack of room.
type fragileFleet struct {
	timeline.Timeline
	random        *rand.Rand
	maxRejections int
	// reportedSlots is the number of slots in the endpoints' rows; they have fragileSlots.
	reportedSlots int
	// isNaive makes the hosts ignore how many rejections endpoints stand.
	isNaive bool
	kinds   []fragileKind
	// weights are the shares of the callers' requests that the hosts get.
	weights   []float64
	hosts     []*fragileHost
	endpoints []*fragileEndpoint
	starts    int
	// falls counts the failures of endpoints, except those for which most rejected requests came from
	// hosts that are not in touch.
	falls, excusedFalls int
	// lateFalls are those later than queueLostAfter after fragileFrom.
	lateFalls             int
	rejections            int
	servedSlotTime        time.Duration
	served, failed, tries map[int]int
}

type fragileHost struct {
	host
	fleet     *fragileFleet
	name      string
	number    int
	starts    int
	members   *roster.Roster
	loads     *loadsync.Sync
	pace      gossip.RoundScheduler
	sequence  int64
	startedAt time.Duration
	isDown    bool
	waiting   *slotqueue.Queue
}

type fragileEndpoint struct {
	info      endpoint.Info
	running   map[*fragileRequest]bool
	queue     []*fragileRequest
	isDown    bool
	firstSent time.Duration
	// rejected are the rejections within the last second.
	rejected []fragileRejection
}

type fragileRejection struct {
	at   time.Duration
	host *fragileHost
}

type fragileRequest struct {
	kind      int
	time      time.Duration
	arrivedAt time.Duration
	tries     int
	avoid     []endpoint.Ref
	// host and choice are those of the current attempt.
	host   *fragileHost
	router *route.Router
	choice route.Choice
	sentAt time.Duration
}

// newFragileFleet returns a fleet with a host for each weight.
func newFragileFleet(seed uint64, endpoints, reportedSlots, maxRejections int, weights []float64, kinds ...fragileKind) *fragileFleet {
	f := &fragileFleet{
		reportedSlots: reportedSlots,
		random:        rand.New(rand.NewPCG(seed, 7)), maxRejections: maxRejections, kinds: kinds, weights: weights,
		served: map[int]int{}, failed: map[int]int{}, tries: map[int]int{},
	}
	for range endpoints {
		e := &fragileEndpoint{}
		f.endpoints = append(f.endpoints, e)
		f.startEndpoint(e)
	}
	for i := range weights {
		h := &fragileHost{fleet: f, name: fmt.Sprintf("host-%d", i), number: i}
		f.hosts = append(f.hosts, h)
		h.start()
		h.sendRound()
		h.wakeWaiting()
	}
	for i := range kinds {
		f.scheduleArrival(i)
	}
	f.updateNames()
	return f
}

func (f *fragileFleet) at() time.Time { return now.Add(f.Now()) }

func (f *fragileFleet) isFragile() bool {
	return f.Now() >= fragileFrom && f.Now() < fragileUntil
}

// scheduleArrival schedules the next request of a kind: the kinds together offer 1.5 times the slot
// time that the endpoints have.
func (f *fragileFleet) scheduleArrival(kind int) {
	k := f.kinds[kind]
	perSecond := 1.5 * k.share * float64(len(f.endpoints)) * fragileSlots / k.time.Seconds()
	f.After(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.scheduleArrival(kind)
		f.send(&fragileRequest{kind: kind, time: time.Duration((0.5 + f.random.Float64()) * float64(k.time)), arrivedAt: f.Now()})
	})
}

// send sends a caller's request to a host by weight. A host that is down refuses the connection.
func (f *fragileFleet) send(r *fragileRequest) {
	f.tries[r.kind]++
	draw := f.random.Float64()
	for i, h := range f.hosts {
		if draw -= f.weights[i]; draw < 0 || i == len(f.hosts)-1 {
			if h.isDown {
				f.retry(r, 0)
				return
			}
			h.serve(r)
			return
		}
	}
}

// retry sends a request again that a host refused, at most twice and after at most a third of the
// time that remains.
func (f *fragileFleet) retry(r *fragileRequest, retryAfter time.Duration) {
	r.tries++
	r.avoid = nil
	remaining := r.arrivedAt + 4*f.kinds[r.kind].objective - f.Now()
	if r.tries > 2 || remaining <= 0 {
		f.failed[r.kind]++
		return
	}
	f.After(min(retryAfter, remaining/3), func() { f.send(r) })
}

func (h *fragileHost) start() {
	h.starts++
	h.startedAt = h.fleet.Now()
	directory := endpoint.NewDirectory()
	for _, e := range h.fleet.endpoints {
		directory.Merge(e.info)
	}
	router := route.New(directory, hazard.New(), route.Location{Node: h.name}, uint64(h.number))
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	h.host = host{notice.New(directory, router, logger), directory, router}
	h.waiting = &slotqueue.Queue{}
	router.OnRelease(func(route.Target) { h.waiting.WakeNext() })
	h.members = roster.New(failureDetection, gossip.Interval)
	h.loads = loadsync.New(router, h.members, h.incarnation())
	router.SetHosts([]string{h.name}, h.fleet.at())
}

func (h *fragileHost) incarnation() string { return fmt.Sprintf("%s.%d", h.name, h.starts) }

// restartAt stops a host and starts it again after downTime. The endpoints drop its requests.
func (f *fragileFleet) restartAt(at time.Duration, h *fragileHost, downTime time.Duration) {
	f.After(at, func() {
		h.isDown = true
		for _, e := range f.endpoints {
			e.queue = slices.DeleteFunc(e.queue, func(r *fragileRequest) bool { return r.host == h })
			for r := range e.running {
				if r.host == h {
					f.failed[r.kind]++
					delete(e.running, r)
				}
			}
			f.startQueued(e)
		}
		f.After(failureDetection, f.updateNames)
		f.After(downTime, func() {
			h.isDown = false
			h.start()
			f.After(200*time.Millisecond, f.updateNames)
		})
	})
}

// updateNames gives the names of the hosts that are up to all of them.
func (f *fragileFleet) updateNames() {
	var names []string
	for _, h := range f.hosts {
		if !h.isDown {
			names = append(names, h.name)
		}
	}
	for _, h := range f.hosts {
		f.After(time.Duration(f.random.IntN(300))*time.Millisecond, func() { h.router.SetHosts(names, f.at()) })
	}
}

// broadcast sends a datagram to the other hosts; one in lossOf is lost.
func (h *fragileHost) broadcast(receive func(*fragileHost)) {
	for _, to := range h.fleet.hosts {
		if to != h && !h.isDown && h.fleet.random.IntN(lossOf) > 0 {
			h.fleet.After(datagramTime, func() {
				if !to.isDown {
					receive(to)
				}
			})
		}
	}
}

// sendRound sends the loads and notices of a host in each round.
func (h *fragileHost) sendRound() {
	pause, _ := h.pace.NextForCounts(len(h.fleet.hosts)-1, 0)
	h.fleet.After(pause, h.sendRound)
	if h.isDown {
		return
	}
	h.sequence++
	status := roster.Status{Host: roster.Host{Node: h.name, Incarnation: h.incarnation(), PeerAddress: h.name}, Loads: h.loads.LocalLoads(), Sequence: h.sequence}
	reports := h.Reports(h.fleet.at())
	h.broadcast(func(to *fragileHost) {
		copied := status
		copied.Loads = slices.Clone(status.Loads)
		to.members.ApplyStatus(copied, h.fleet.at())
		to.ApplyReports(reports, h.fleet.at())
	})
	h.loads.UpdateRouter(h.fleet.at())
}

func (r *fragileRequest) query() route.Query {
	return route.Query{Target: route.Target{Service: "s"}, AnswerTokens: 1, Avoid: r.avoid}
}

// serve sends a request to an endpoint, lets it wait for a slot, or refuses it.
func (h *fragileHost) serve(r *fragileRequest) {
	if h.waiting.Len() > 0 || !h.trySend(r) {
		h.wait(r)
	}
}

// wait lets a request wait for a slot, or refuses it.
func (h *fragileHost) wait(r *fragileRequest) {
	f, queue := h.fleet, h.waiting
	kind := f.kinds[r.kind]
	room, ok := h.router.Room(r.query(), f.at())
	if !ok {
		f.retry(r, max(h.router.TimeUntilAvailable(r.query(), f.at()), 300*time.Millisecond))
		return
	}
	var entry *slotqueue.Entry
	waits := true
	entry = queue.NewEntry(kind.priority, f.at(), func() {
		f.After(0, func() {
			switch {
			case !waits || h.waiting != queue:
			case h.trySend(r):
				waits = false
			default:
				queue.Add(entry)
			}
		})
	})
	request := slotqueue.Request{Objective: kind.objective, Priority: kind.priority}
	maxWait, retryAfter, ok := request.MaxWait(queue.CountAhead(entry), slotqueue.Capacity(room))
	if !ok {
		f.retry(r, retryAfter)
		return
	}
	queue.Add(entry)
	f.After(maxWait, func() {
		if waits && h.waiting == queue {
			waits = false
			queue.Remove(entry)
			f.retry(r, retryAfter)
		}
	})
}

// trySend sends a request to an endpoint and reports whether one has room.
func (h *fragileHost) trySend(r *fragileRequest) bool {
	c, ok := h.router.Choose(r.query(), route.Expected, h.fleet.at())
	if !ok {
		return false
	}
	r.host, r.router, r.choice, r.sentAt = h, h.router, c, h.fleet.Now()
	e := h.fleet.endpointOf(c.Endpoint.ID)
	h.fleet.After(networkTime, func() { h.fleet.arrive(e, r) })
	return true
}

// wakeWaiting lets the first waiting request try again: room also comes with time.
func (h *fragileHost) wakeWaiting() {
	h.waiting.WakeNext()
	h.fleet.After(20*time.Millisecond, h.wakeWaiting)
}

// endpointOf returns the endpoint with an ID, nil if it has failed.
func (f *fragileFleet) endpointOf(id string) *fragileEndpoint {
	for _, e := range f.endpoints {
		if e.info.ID == id && !e.isDown {
			return e
		}
	}
	return nil
}

// arrive lets a request arrive at an endpoint.
func (f *fragileFleet) arrive(e *fragileEndpoint, r *fragileRequest) {
	queue := fragileQueue
	if e != nil && f.isFragile() && e.firstSent > 0 && f.Now() >= e.firstSent+queueLostAfter {
		queue = 0
	}
	switch {
	case e == nil || e.isDown || e.info.ID != r.choice.Endpoint.ID:
		f.finish(r, nil, route.Result{Failed: true})
	case len(e.running) < fragileSlots:
		f.run(e, r)
	case len(e.queue) < queue:
		e.queue = append(e.queue, r)
	default:
		f.reject(e, r)
	}
}

func (f *fragileFleet) run(e *fragileEndpoint, r *fragileRequest) {
	e.running[r] = true
	f.After(r.time, func() {
		if !e.running[r] {
			return
		}
		delete(e.running, r)
		if f.Now() >= fragileFrom+fragileSettleTime && f.Now() < fragileUntil {
			f.servedSlotTime += r.time
		}
		f.served[r.kind]++
		f.startQueued(e)
		f.finish(r, e, route.Result{})
	})
}

func (f *fragileFleet) startQueued(e *fragileEndpoint) {
	for len(e.queue) > 0 && len(e.running) < fragileSlots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		f.run(e, r)
	}
}

// reject rejects a request for lack of room. The endpoint fails if it rejects too many.
func (f *fragileFleet) reject(e *fragileEndpoint, r *fragileRequest) {
	f.finish(r, e, route.Result{Refused: true})
	if !f.isFragile() {
		return
	}
	f.rejections++
	e.rejected = append(e.rejected, fragileRejection{f.Now(), r.host})
	e.rejected = slices.DeleteFunc(e.rejected, func(r fragileRejection) bool { return f.Now()-r.at > time.Second })
	if len(e.rejected) > f.maxRejections {
		f.fail(e)
	}
}

// fail makes an endpoint fail; it is back after outageTime.
func (f *fragileFleet) fail(e *fragileEndpoint) {
	inTouch := 0
	for _, r := range e.rejected {
		if f.Now()-r.host.startedAt >= inTouchTime {
			inTouch++
		}
	}
	if 2*inTouch > len(e.rejected) {
		f.falls++
		if f.Now() >= fragileFrom+queueLostAfter {
			f.lateFalls++
		}
	} else {
		f.excusedFalls++
	}
	e.isDown = true
	lost := slices.Concat(slices.Collect(keys(e.running)), e.queue)
	e.running, e.queue = map[*fragileRequest]bool{}, nil
	for _, r := range lost {
		f.finish(r, nil, route.Result{Failed: true})
	}
	gone := e.info
	gone.State = endpoint.Gone
	f.After(rowLapseTime, func() { f.spread(gone) })
	f.After(outageTime, func() {
		f.startEndpoint(e)
		f.spread(e.info)
	})
}

// keys iterates over requests in the order in which they arrived, so that runs are reproducible.
func keys(running map[*fragileRequest]bool) func(func(*fragileRequest) bool) {
	var list []*fragileRequest
	for r := range running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *fragileRequest) int { return int(a.arrivedAt - b.arrivedAt) })
	return slices.Values(list)
}

func (f *fragileFleet) startEndpoint(e *fragileEndpoint) {
	f.starts++
	*e = fragileEndpoint{running: map[*fragileRequest]bool{}, info: endpoint.Info{
		ID: fmt.Sprintf("e%03d", f.starts), Incarnation: 1, StartedMS: int64(f.starts), State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: f.reportedSlots,
	}}
}

// spread lets the hosts read an endpoint's row.
func (f *fragileFleet) spread(info endpoint.Info) {
	for _, h := range f.hosts {
		f.After(time.Duration(50+f.random.IntN(250))*time.Millisecond, func() { h.directory.Merge(info) })
	}
}

// finish returns a response to the host, or the loss of the connection if e is nil.
func (f *fragileFleet) finish(r *fragileRequest, e *fragileEndpoint, result route.Result) {
	var n endpoint.Notice
	if e != nil {
		n = f.noticeOf(e, result.Refused)
	}
	h, router, choice, sentAt := r.host, r.router, r.choice, r.sentAt
	f.After(networkTime, func() {
		if h.router != router || h.isDown {
			return
		}
		if e != nil {
			h.ApplyResponse(choice.Endpoint, n, now.Add(sentAt), f.at())
			if reports := h.ReportsFor([]string{choice.Endpoint.ID}, f.at()); len(reports) > 0 {
				h.broadcast(func(to *fragileHost) { to.ApplyReports(reports, f.at()) })
			}
		}
		router.Done(choice, result, f.at())
		if result.Refused || result.Failed {
			h.retryElsewhere(r, result)
		}
	})
}

// noticeOf returns what the endpoint's response says about it.
func (f *fragileFleet) noticeOf(e *fragileEndpoint, refused bool) endpoint.Notice {
	n := endpoint.Notice{Refused: refused}
	if !f.isFragile() {
		return n
	}
	if e.firstSent == 0 {
		e.firstSent = f.Now()
	}
	if f.isNaive {
		return n
	}
	return n.WithMaxRejections(fmt.Sprint(f.maxRejections))
}

// retryElsewhere sends a request to a second endpoint.
func (h *fragileHost) retryElsewhere(r *fragileRequest, result route.Result) {
	r.avoid = append(r.avoid, r.choice.Endpoint.Ref())
	if len(r.avoid) < 2 {
		h.serve(r)
		return
	}
	if result.Failed {
		h.fleet.failed[r.kind]++
		return
	}
	h.fleet.retry(r, 300*time.Millisecond)
}

// usedShare returns the share of the endpoints' slot time that served requests.
func (f *fragileFleet) usedShare() float64 {
	return f.servedSlotTime.Seconds() / (float64(len(f.endpoints)) * fragileSlots * (fragileUntil - fragileFrom - fragileSettleTime).Seconds())
}

// maxFalls returns the number of falls that the rules allow.
func (f *fragileFleet) maxFalls() int { return 2 + len(f.endpoints)/10 }

// check fails the test if endpoints failed too often or too little of their slot time was used.
func (f *fragileFleet) check(t *testing.T) {
	t.Helper()
	used := f.usedShare()
	t.Logf("%d falls (%d more by hosts not in touch), %d rejections, %.3f of the slot time used; served %v, failed %v", f.falls, f.excusedFalls, f.rejections, used, f.served, f.failed)
	if f.falls > f.maxFalls() {
		t.Errorf("got %d falls, want %d at most", f.falls, f.maxFalls())
	}
	if used < minFragileServed {
		t.Errorf("got %.3f of the slot time used, want %v at least", used, minFragileServed)
	}
}

// Guards against hosts that together send fragile endpoints more than they have room for, so that
// these fail again and again.
func TestFragileEndpointsStayUp(t *testing.T) {
	equal := []float64{0.25, 0.25, 0.25, 0.25}
	medium := fragileKind{share: 1, time: 200 * time.Millisecond, objective: time.Second}
	for _, seed := range []uint64{1, 2, 3} {
		for _, maxRejections := range []int{3, 12} {
			t.Run(fmt.Sprintf("%d rejections, seed %d", maxRejections, seed), func(t *testing.T) {
				f := newFragileFleet(seed, 4, fragileSlots, maxRejections, equal, medium)
				f.Run(fragileUntil, nil)
				f.check(t)
			})
		}
		t.Run(fmt.Sprintf("unequal hosts, seed %d", seed), func(t *testing.T) {
			f := newFragileFleet(seed, 4, fragileSlots, 3, []float64{0.4, 0.3, 0.2, 0.1},
				fragileKind{share: 0.4, time: 60 * time.Millisecond, objective: 400 * time.Millisecond},
				fragileKind{share: 0.6, time: 900 * time.Millisecond, objective: 4 * time.Second, priority: 1})
			f.restartAt(fragileFrom+9*time.Second, f.hosts[1], 5*time.Second)
			f.Run(fragileUntil, nil)
			f.check(t)
		})
	}
}

// Guards against falls once the hosts know that endpoints are fragile, with hosts from 2 to 200, and with
// endpoints whose rows report no slots or more than they have room for.
func TestKnownFragileEndpointsStayUp(t *testing.T) {
	for _, c := range []struct{ hosts, endpoints, slots, maxRejections int }{
		{2, 4, 8, 3}, {4, 4, 8, 1}, {9, 12, 8, 3}, {64, 20, 8, 3}, {64, 20, 8, 12}, {4, 4, 0, 3}, {4, 4, 13, 3}, {4, 4, 13, 12}, {9, 12, 13, 3},
	} {
		t.Run(fmt.Sprintf("%+v", c), func(t *testing.T) {
			weights := slices.Repeat([]float64{1 / float64(c.hosts)}, c.hosts)
			f := newFragileFleet(1, c.endpoints, c.slots, c.maxRejections, weights, fragileKind{share: 1, time: 200 * time.Millisecond, objective: time.Second})
			f.Run(fragileUntil, nil)
			t.Logf("%d falls, %d rejections, %.3f of the slot time used", f.lateFalls, f.rejections, f.usedShare())
			if f.lateFalls > 0 {
				t.Errorf("got %d falls later than %v after the first report, want none", f.lateFalls, queueLostAfter)
			}
			if used := f.usedShare(); used < minFragileServed {
				t.Errorf("got %.3f of the slot time used, want %v at least", used, minFragileServed)
			}
		})
	}
}

// Checks that the bounds of TestFragileEndpointsStayUp fail for hosts that ignore what endpoints report.
func TestNaiveHostsBreakFragileEndpoints(t *testing.T) {
	f := newFragileFleet(1, 4, fragileSlots, 12, []float64{0.25, 0.25, 0.25, 0.25}, fragileKind{share: 1, time: 200 * time.Millisecond, objective: time.Second})
	f.isNaive = true
	f.Run(fragileUntil, nil)
	if used := f.usedShare(); f.falls <= f.maxFalls() || used >= minFragileServed {
		t.Errorf("got %d falls and %.2f of the slot time used, want more than %d and less than %v", f.falls, used, f.maxFalls(), minFragileServed)
	}
}

// Guards against a number of rejections that applies longer or shorter than the endpoint's responses
// name it: one that is unreadable changes nothing, one that is missing withdraws it if its request was
// sent after the number was received.
func TestResponsesChangeMaxRejections(t *testing.T) {
	h := newHost(1, 5, 1)
	fill := func(at time.Time) int {
		var choices []route.Choice
		for range 20 {
			if c, ok := h.router.Choose(route.Query{Target: route.Target{Service: "s"}, AnswerTokens: 1}, route.Expected, at); ok {
				choices = append(choices, c)
			}
		}
		for _, c := range choices {
			h.router.Done(c, route.Result{}, at)
		}
		return len(choices)
	}
	for i, c := range []struct {
		what   string
		notice endpoint.Notice
		sent   time.Duration
		want   int
	}{
		{"none", endpoint.Notice{}, 0, 20},
		{"named", endpoint.Notice{MaxRejections: 3}, 0, 8},
		{"unreadable", endpoint.Notice{BadMaxRejections: true}, 14 * time.Second, 8},
		{"none, earlier request", endpoint.Notice{}, -time.Second, 8},
		{"none, later request", endpoint.Notice{}, 27 * time.Second, 20},
	} {
		at := now.Add(time.Duration(i) * 7 * time.Second)
		h.ApplyResponse(h.info(0), c.notice, now.Add(c.sent), at)
		if got := fill(at.Add(6 * time.Second)); got != c.want {
			t.Errorf("%s: got %d requests in flight, want %d", c.what, got, c.want)
		}
	}
}

// Checks that other hosts apply a number of rejections that one host receives, and its withdrawal.
func TestMaxRejectionsReachOtherHost(t *testing.T) {
	a, b := newHost(1, 5, 1), newHost(7, 5, 1)
	for i, n := range []endpoint.Notice{{MaxRejections: 3}, {}} {
		at := now.Add(time.Duration(i) * time.Second)
		a.ApplyResponse(a.info(0), n, at, at)
		b.ApplyReports(a.Reports(at), at)
		if _, got := b.router.Room(route.Query{Target: route.Target{Service: "s"}}, at); got != (n.MaxRejections > 0) {
			t.Errorf("%v: got fragile %v at the other host", n, got)
		}
	}
}
