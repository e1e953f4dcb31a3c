// Package fragilelab plays requests in virtual time to endpoints that fail when they have to reject too
// many of them, against the decisions as shipped: routers, trackers, load reports and queues of hosts.
package fragilelab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
	"ironhollow/pkg/timeline"
)

// Parameters of a run.
const (
	// slots is the number of requests that an endpoint runs at once, queueSize the number that wait
	// until queueLostAfter after it first named the number of rejections.
	slots          = 8
	queueSize      = 6
	queueLostAfter = 3 * time.Second
	// overload is the offered load relative to what the endpoints can serve.
	overload = 1.5
	// The endpoints are fragile between from and until.
	from  = 8 * time.Second
	until = 40 * time.Second
	// settleTime is how long after from the served requests are not counted.
	settleTime = 5 * time.Second
	// rowLapseTime is how long the row of a failed endpoint stays; outageTime is how long it is down.
	rowLapseTime = 900 * time.Millisecond
	outageTime   = 3 * time.Second
	// networkTime is the one-way time to an endpoint, datagramTime that between two hosts. One in
	// lossOf datagrams is lost.
	networkTime  = 2 * time.Millisecond
	datagramTime = 5 * time.Millisecond
	lossOf       = 10
	// closeTime is how long an endpoint takes to notice that a connection was closed.
	closeTime = 20 * time.Millisecond
	// failureDetection is how long a host that is down stays in the lists of the others.
	failureDetection = 3200 * time.Millisecond
	// inTouchTime is how long after its start a host counts as in touch.
	inTouchTime = 3 * time.Second
)

// epoch is the time at which runs start.
var epoch = time.UnixMilli(1_800_000_000_000)

// Kind is a kind of request.
type Kind struct {
	// Share is its share of the offered slot time, Time how long a request holds a slot on average.
	Share           float64
	Time, Objective time.Duration
	Priority        int
}

// Setup describes a run.
type Setup struct {
	Seed      uint64
	Endpoints int
	// ReportedSlots is the number of slots in the endpoints' rows; they have 8.
	ReportedSlots int
	// MaxRejections is the number of requests that an endpoint can reject within a second.
	MaxRejections int
	// Weights are the shares of the callers' requests that the hosts get, one for each host.
	Weights []float64
	Kinds   []Kind
	// AbandonShare is the share of the running requests whose callers leave before they are served.
	AbandonShare float64
	// Restarts makes the second host stop 9 s after the endpoints became fragile, for 5 s.
	Restarts bool
	// IsNaive makes the hosts ignore how many rejections endpoints stand.
	IsNaive bool
}

// Outcome is what happened in a run.
type Outcome struct {
	// Falls counts the failures of endpoints, LateFalls those of them later than 3 s after the
	// endpoints became fragile, ExcusedFalls the failures for which most rejected requests came from
	// hosts that had just started.
	Falls, LateFalls, ExcusedFalls int
	// Rejections is the number of requests that endpoints rejected while they were fragile.
	Rejections int
	// Used is the share of the endpoints' slot time that was spent on requests that were served or
	// whose callers left.
	Used float64
	// Served and Failed are numbers of requests by the index of their kind.
	Served, Failed map[int]int
}

// fleet is the state of a run.
type fleet struct {
	timeline.Timeline
	setup        Setup
	random       *rand.Rand
	hosts        []*host
	endpoints    []*server
	starts       int
	usedSlotTime time.Duration
	outcome      Outcome
}

// request is a caller's request.
type request struct {
	kind      int
	time      time.Duration
	arrivedAt time.Duration
	tries     int
	avoid     []endpoint.Ref
	// host, router, choice and sentAt are those of the current attempt.
	host   *host
	router *route.Router
	choice route.Choice
	sentAt time.Duration
}

// Run plays a setup. The same setup gives the same outcome.
func Run(setup Setup) Outcome {
	f := &fleet{setup: setup, random: rand.New(rand.NewPCG(setup.Seed, 7)), outcome: Outcome{Served: map[int]int{}, Failed: map[int]int{}}}
	for range setup.Endpoints {
		e := &server{}
		f.endpoints = append(f.endpoints, e)
		f.startEndpoint(e)
	}
	for i := range setup.Weights {
		h := &host{fleet: f, name: fmt.Sprintf("host-%d", i), number: i}
		f.hosts = append(f.hosts, h)
		h.start()
		h.sendRound()
		h.wakeWaiting()
	}
	for i := range setup.Kinds {
		f.scheduleArrival(i)
	}
	f.updateNames()
	if setup.Restarts {
		f.restartAt(from+9*time.Second, f.hosts[1], 5*time.Second)
	}
	f.Timeline.Run(until, nil)
	f.outcome.Used = f.usedSlotTime.Seconds() / (float64(setup.Endpoints) * slots * (until - from - settleTime).Seconds())
	return f.outcome
}

func (f *fleet) at() time.Time { return epoch.Add(f.Now()) }

func (f *fleet) isFragile() bool {
	return f.Now() >= from && f.Now() < until
}

// scheduleArrival schedules the next request of a kind: the kinds together offer 1.5 times the slot
// time that the endpoints have.
func (f *fleet) scheduleArrival(kind int) {
	k := f.setup.Kinds[kind]
	perSecond := overload * k.Share * float64(len(f.endpoints)) * slots / k.Time.Seconds()
	f.After(time.Duration(f.random.ExpFloat64()/perSecond*float64(time.Second)), func() {
		f.scheduleArrival(kind)
		f.send(&request{kind: kind, time: time.Duration((0.5 + f.random.Float64()) * float64(k.Time)), arrivedAt: f.Now()})
	})
}

// send sends a caller's request to a host by weight. A host that is down refuses the connection.
func (f *fleet) send(r *request) {
	draw := f.random.Float64()
	for i, h := range f.hosts {
		if draw -= f.setup.Weights[i]; draw < 0 || i == len(f.hosts)-1 {
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
func (f *fleet) retry(r *request, retryAfter time.Duration) {
	r.tries++
	r.avoid = nil
	remaining := r.arrivedAt + 4*f.setup.Kinds[r.kind].Objective - f.Now()
	if r.tries > 2 || remaining <= 0 {
		f.outcome.Failed[r.kind]++
		return
	}
	f.After(min(retryAfter, remaining/3), func() { f.send(r) })
}

// restartAt stops a host and starts it again after downTime. The endpoints drop its requests.
func (f *fleet) restartAt(at time.Duration, h *host, downTime time.Duration) {
	f.After(at, func() {
		h.isDown = true
		for _, e := range f.endpoints {
			e.queue = slices.DeleteFunc(e.queue, func(r *request) bool { return r.host == h })
			for r := range e.running {
				if r.host == h {
					f.outcome.Failed[r.kind]++
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
func (f *fleet) updateNames() {
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

// spread lets the hosts read an endpoint's row.
func (f *fleet) spread(info endpoint.Info) {
	for _, h := range f.hosts {
		f.After(time.Duration(50+f.random.IntN(250))*time.Millisecond, func() { h.directory.Merge(info) })
	}
}
