package fragilelab

import (
	"fmt"
	"io"
	"slices"
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
)

// host is an entry host.
type host struct {
	*notice.Tracker
	directory *endpoint.Directory
	router    *route.Router
	fleet     *fleet
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

func (h *host) start() {
	h.starts++
	h.startedAt = h.fleet.Now()
	directory := endpoint.NewDirectory()
	for _, e := range h.fleet.endpoints {
		directory.Merge(e.info)
	}
	router := route.New(directory, hazard.New(), route.Location{Node: h.name}, uint64(h.number))
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	h.Tracker, h.directory, h.router = notice.New(directory, router, logger), directory, router
	h.waiting = &slotqueue.Queue{}
	router.OnRelease(func(route.Target) { h.waiting.WakeNext() })
	h.members = roster.New(failureDetection, gossip.Interval)
	h.loads = loadsync.New(router, h.members, h.incarnation())
	router.SetHosts([]string{h.name}, h.fleet.at())
}

func (h *host) incarnation() string { return fmt.Sprintf("%s.%d", h.name, h.starts) }

// broadcast sends a datagram to the other hosts; one in lossOf is lost.
func (h *host) broadcast(receive func(*host)) {
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
func (h *host) sendRound() {
	pause, _ := h.pace.NextForCounts(len(h.fleet.hosts)-1, 0)
	h.fleet.After(pause, h.sendRound)
	if h.isDown {
		return
	}
	h.sequence++
	status := roster.Status{Host: roster.Host{Node: h.name, Incarnation: h.incarnation(), PeerAddress: h.name}, Loads: h.loads.LocalLoads(), Sequence: h.sequence}
	reports := h.Reports(h.fleet.at())
	h.broadcast(func(to *host) {
		copied := status
		copied.Loads = slices.Clone(status.Loads)
		to.members.ApplyStatus(copied, h.fleet.at())
		to.ApplyReports(reports, h.fleet.at())
	})
	h.loads.UpdateRouter(h.fleet.at())
}

func (r *request) query() route.Query {
	return route.Query{Target: route.Target{Service: "s"}, AnswerTokens: 1, Avoid: r.avoid}
}

// serve sends a request to an endpoint, lets it wait for a slot, or refuses it.
func (h *host) serve(r *request) {
	if h.waiting.Len() > 0 || !h.trySend(r) {
		h.wait(r)
	}
}

// wait lets a request wait for a slot, or refuses it.
func (h *host) wait(r *request) {
	f, queue := h.fleet, h.waiting
	kind := f.setup.Kinds[r.kind]
	room, ok := h.router.Room(r.query(), f.at())
	if !ok {
		f.retry(r, max(h.router.TimeUntilAvailable(r.query(), f.at()), 300*time.Millisecond))
		return
	}
	var entry *slotqueue.Entry
	waits := true
	entry = queue.NewEntry(kind.Priority, f.at(), func() {
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
	request := slotqueue.Request{Objective: kind.Objective, Priority: kind.Priority}
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
func (h *host) trySend(r *request) bool {
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
func (h *host) wakeWaiting() {
	h.waiting.WakeNext()
	h.fleet.After(20*time.Millisecond, h.wakeWaiting)
}

// finish returns a response to the host, or the loss of the connection if e is nil.
func (f *fleet) finish(r *request, e *server, result route.Result) {
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
			h.ApplyResponse(choice.Endpoint, n, epoch.Add(sentAt), f.at())
			if reports := h.ReportsFor([]string{choice.Endpoint.ID}, f.at()); len(reports) > 0 {
				h.broadcast(func(to *host) { to.ApplyReports(reports, f.at()) })
			}
		}
		router.Done(choice, result, f.at())
		if result.Refused || result.Failed {
			h.retryElsewhere(r, result)
		}
	})
}

// retryElsewhere sends a request to a second endpoint.
func (h *host) retryElsewhere(r *request, result route.Result) {
	r.avoid = append(r.avoid, r.choice.Endpoint.Ref())
	if len(r.avoid) < 2 {
		h.serve(r)
		return
	}
	if result.Failed {
		h.fleet.outcome.Failed[r.kind]++
		return
	}
	h.fleet.retry(r, 300*time.Millisecond)
}
