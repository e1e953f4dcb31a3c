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

// service is the target of all requests.
const service = "model"

// host is one that callers are told, with the decisions as shipped.
type host struct {
	play *play
	// number is the host's, lives counts its process's starts.
	number, lives int
	self          roster.Host
	directory     *endpoint.Directory
	router        *route.Router
	members       *roster.Roster
	loads         *loadsync.Sync
	pace          gossip.RoundScheduler
	sequence      int64
	// briefAt is when the next brief datagram may leave.
	briefAt time.Duration
	// briefDue says that one waits for that.
	briefDue bool
}

func newHost(p *play, number int) *host {
	name := fmt.Sprintf("h%03d", number)
	h := &host{
		play: p, number: number,
		self: roster.Host{Node: name, DataCenter: p.dataCenter(number), PeerAddress: name, Millicores: 800},
	}
	h.start(endpoint.NewDirectory())
	return h
}

// prior is what a process holds of engines before any answer.
var prior = route.EngineSpeed{TokenGap: 7 * time.Millisecond, Prefill: 20 * time.Microsecond, MeanRequestTime: time.Second}

// start begins a life of the host's process, of which it knows nothing but the
// endpoints.
func (h *host) start(directory *endpoint.Directory) {
	h.lives++
	h.self.Incarnation = fmt.Sprintf("%s.%d", h.self.Node, h.lives)
	h.sequence = 0
	h.directory = directory
	home := route.Location{Node: h.self.Node, DataCenter: h.self.DataCenter}
	h.router = route.NewWithEngineSpeed(directory, hazard.New(), home, h.play.seed+uint64(h.number), prior)
	h.members = roster.New(silence, gossip.Interval)
	h.loads = loadsync.New(h.router, h.members, h.self.Incarnation)
}

// silence is how long a host may be unheard.
const silence = 3200 * time.Millisecond

// round tells all others what is under way here, and takes in what they told.
func (h *host) round() {
	pause, _ := h.pace.NextForCounts(len(h.play.hosts)-1, 0)
	h.tell(roster.Status{Host: h.self, Loads: h.loads.LocalLoads()}, false)
	h.loads.UpdateRouter(h.play.time())
	h.play.after(pause, h.round)
}

// urgent tells at once of endpoints whose queue has just grown, within the pace of
// brief datagrams.
func (h *host) urgent() {
	if h.briefDue || len(h.router.Urgent()) == 0 {
		return
	}
	h.briefDue = true
	h.play.after(max(h.briefAt-h.play.line.Now(), 0), func() {
		h.briefDue = false
		h.briefAt = h.play.line.Now() + gossip.UrgentInterval(len(h.play.hosts)-1)
		var endpoints []string
		for len(h.router.Urgent()) > 0 {
			endpoints = append(endpoints, <-h.router.Urgent())
		}
		h.tell(roster.Status{Host: roster.Host{Incarnation: h.self.Incarnation}, Loads: h.loads.LocalLoadsAt(endpoints)}, true)
	})
}

// tell sends a datagram to all others; some are lost.
func (h *host) tell(told roster.Status, brief bool) {
	h.sequence++
	told.Sequence = h.sequence
	placed := h.router.DrainPlacements()
	for _, other := range h.play.hosts {
		if other == h || h.play.random.Float64() < h.play.fleet.DatagramLoss {
			continue
		}
		copied := told
		copied.Loads = append([]roster.Load(nil), told.Loads...)
		h.play.after(h.play.fleet.NetworkDelay, func() { other.hear(copied, placed, brief) })
	}
}

func (h *host) hear(told roster.Status, placed []route.Placement, brief bool) {
	now := h.play.time()
	if brief {
		h.loads.ApplyBrief(told.Incarnation, told.Sequence, told.Loads, placed, now)
		return
	}
	h.members.ApplyStatus(told, now)
	h.loads.ApplyPlacements(placed)
}

// serve chooses an endpoint for a request, or refuses it.
func (h *host) serve(r *request) {
	comeBack := comeBackNoEndpoint
	q := query(r)
	q.Accepts = func(c route.Choice) bool {
		stream := admission.Stream{Objective: r.kind.Objective, Priority: r.kind.Priority}
		wait, late := stream.ShouldReject(admission.EstimateOf(c))
		if late {
			comeBack = wait
		}
		return !late
	}
	choice, ok := h.router.Choose(q, route.Expected, h.play.time())
	if !ok {
		h.play.refused(r, comeBack)
		return
	}
	h.urgent()
	h.play.after(h.play.fleet.NetworkDelay, func() { h.send(r, choice) })
}

// comeBackNoEndpoint is what callers are told where no endpoint serves.
const comeBackNoEndpoint = 300 * time.Millisecond

func query(r *request) route.Query {
	return route.Query{
		Target: route.Target{Service: service}, PrefixHashes: r.prefix, PrefixTokens: r.covered, SharedPrefixes: len(r.prefix) - 1,
		PromptTokens: r.promptTokens(), AnswerTokens: r.hint,
	}
}

// send gives a request to its endpoint's engine.
func (h *host) send(r *request, choice route.Choice) {
	sent := h.play.line.Now()
	// A process that has started anew knows nothing of what it sent before.
	router := h.router
	at := &run{request: r}
	var first time.Duration
	at.first = func() {
		first = h.play.line.Now()
		router.PrefillDone(choice)
		h.play.served(r, choice)
	}
	at.done = func() {
		result := route.Result{PrefillDone: true, FirstToken: first - sent + h.play.fleet.NetworkDelay, Tokens: r.answer - 1, Decode: h.play.line.Now() - first}
		router.Done(choice, result, h.play.time())
	}
	if !h.play.engines[choice.Endpoint.ID].accept(at) {
		router.Done(choice, route.Result{Failed: true}, h.play.time())
		h.play.lost(r)
	}
}
