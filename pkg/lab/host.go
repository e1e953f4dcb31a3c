package lab

import (
	"fmt"
	"time"

	"ironhollow/pkg/admission"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/loadsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// service is the service that all requests are for.
const service = "model"

// host is an advertised host. It runs the production code for routing, admission and load exchange.
type host struct {
	sim *simulation
	// number is the index of the host, starts the number of times that its process was started.
	number, starts int
	self           roster.Host
	directory      *endpoint.Directory
	router         *route.Router
	members        *roster.Roster
	loads          *loadsync.Sync
	scheduler      gossip.RoundScheduler
	sequence       int64
	// nextBriefAt is the earliest time at which the next brief datagram may be sent.
	nextBriefAt time.Duration
	// briefScheduled means that a brief datagram is to be sent at that time.
	briefScheduled bool
}

func newHost(s *simulation, number int) *host {
	name := fmt.Sprintf("h%03d", number)
	h := &host{
		sim: s, number: number,
		self: roster.Host{Node: name, DataCenter: s.dataCenter(number), PeerAddress: name, Millicores: 800},
	}
	h.start(endpoint.NewDirectory())
	return h
}

// initialEngineSpeed is the engine speed that a process assumes until answers are measured.
var initialEngineSpeed = route.EngineSpeed{TokenGap: 7 * time.Millisecond, Prefill: 20 * time.Microsecond, MeanRequestTime: time.Second}

// start starts the host's process. The new process knows the endpoints and nothing else.
func (h *host) start(directory *endpoint.Directory) {
	h.starts++
	h.self.Incarnation = fmt.Sprintf("%s.%d", h.self.Node, h.starts)
	h.sequence = 0
	h.directory = directory
	location := route.Location{Node: h.self.Node, DataCenter: h.self.DataCenter}
	h.router = route.NewWithEngineSpeed(directory, hazard.New(), location, h.sim.seed+uint64(h.number), initialEngineSpeed)
	h.members = roster.New(silenceTimeout, gossip.Interval)
	h.loads = loadsync.New(h.router, h.members, h.self.Incarnation)
}

// silenceTimeout is the time without a datagram after which a host is considered dead.
const silenceTimeout = 3200 * time.Millisecond

// sendStatus sends this host's load to all other hosts, applies what they have sent to the router,
// and schedules the next status.
func (h *host) sendStatus() {
	interval, _ := h.scheduler.NextForCounts(len(h.sim.hosts)-1, 0)
	h.broadcast(roster.Status{Host: h.self, Loads: h.loads.LocalLoads()}, false)
	h.broadcastSpeeds()
	h.loads.UpdateRouter(h.sim.time())
	h.sim.after(interval, h.sendStatus)
}

// scheduleBrief sends a brief datagram about endpoints whose queue this host has just made longer,
// as soon as the minimum interval between brief datagrams allows.
func (h *host) scheduleBrief() {
	if h.briefScheduled || len(h.router.Urgent()) == 0 {
		return
	}
	h.briefScheduled = true
	h.sim.after(max(h.nextBriefAt-h.sim.clock.Now(), 0), func() {
		h.briefScheduled = false
		h.nextBriefAt = h.sim.clock.Now() + gossip.UrgentInterval(len(h.sim.hosts)-1)
		var endpoints []string
		for len(h.router.Urgent()) > 0 {
			endpoints = append(endpoints, <-h.router.Urgent())
		}
		h.broadcast(roster.Status{Host: roster.Host{Incarnation: h.self.Incarnation}, Loads: h.loads.LocalLoadsAt(endpoints)}, true)
	})
}

// broadcast sends a datagram to all other hosts; some are lost.
func (h *host) broadcast(status roster.Status, brief bool) {
	h.sequence++
	status.Sequence = h.sequence
	placements := h.router.DrainPlacements()
	for _, other := range h.sim.hosts {
		if other == h || h.sim.random.Float64() < h.sim.fleet.DatagramLoss {
			continue
		}
		copied := status
		copied.Loads = append([]roster.Load(nil), status.Loads...)
		h.sim.after(h.sim.fleet.NetworkDelay, func() { other.receive(copied, placements, brief) })
	}
}

// broadcastSpeeds sends what this host's answers show about the speed of endpoints.
func (h *host) broadcastSpeeds() {
	reports := h.router.DrainSpeeds()
	for _, other := range h.sim.hosts {
		if other == h || len(reports) == 0 || h.sim.random.Float64() < h.sim.fleet.DatagramLoss {
			continue
		}
		h.sim.after(h.sim.fleet.NetworkDelay, func() { other.router.ApplySpeeds(reports, h.sim.time()) })
	}
}

func (h *host) receive(status roster.Status, placements []route.Placement, brief bool) {
	now := h.sim.time()
	if brief {
		h.loads.ApplyBrief(status.Incarnation, status.Sequence, status.Loads, placements, now)
		return
	}
	h.members.ApplyStatus(status, now)
	h.loads.ApplyPlacements(placements)
}

// serve chooses an endpoint for a request or rejects it.
func (h *host) serve(r *request) {
	retryAfter := retryAfterNoEndpoint
	q := query(r)
	q.Accepts = func(c route.Choice) bool {
		stream := admission.Stream{Objective: r.kind.Objective, Priority: r.kind.Priority}
		wait, late := stream.ShouldReject(admission.EstimateOf(c))
		if late {
			retryAfter = wait
		}
		return !late
	}
	choice, ok := h.router.Choose(q, route.Expected, h.sim.time())
	if !ok {
		h.sim.retryOrFail(r, retryAfter)
		return
	}
	h.scheduleBrief()
	h.sim.after(h.sim.fleet.NetworkDelay, func() { h.send(r, choice) })
}

// retryAfterNoEndpoint is the delay after which a caller retries if no endpoint takes requests.
const retryAfterNoEndpoint = 300 * time.Millisecond

func query(r *request) route.Query {
	return route.Query{
		Target: route.Target{Service: service}, PrefixHashes: r.prefixHashes, PrefixTokens: r.prefixTokens, SharedPrefixes: len(r.prefixHashes) - 1,
		PromptTokens: r.promptTokens(), AnswerTokens: r.answerTokensHint,
	}
}

// send passes a request to its endpoint's engine.
func (h *host) send(r *request, choice route.Choice) {
	sentAt := h.sim.clock.Now()
	// A restarted process has a new router, which does not count requests sent before the restart.
	router := h.router
	attempt := &engineRequest{request: r}
	var firstTokenAt time.Duration
	attempt.onFirstToken = func() {
		firstTokenAt = h.sim.clock.Now()
		router.PrefillDone(choice)
		h.sim.recordFirstToken(r, choice)
	}
	attempt.onDone = func() {
		result := route.Result{PrefillDone: true, FirstToken: firstTokenAt - sentAt + h.sim.fleet.NetworkDelay, Tokens: r.answerTokens - 1, Decode: h.sim.clock.Now() - firstTokenAt}
		router.Done(choice, result, h.sim.time())
	}
	attempt.onLost = func() {
		router.Done(choice, route.Result{Failed: true}, h.sim.time())
		h.sim.recordFailure(r)
	}
	if !h.sim.engines[choice.Endpoint.ID].tryEnqueue(attempt) {
		attempt.onLost()
	}
}
