package rolloutlab

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
)

// simEndpoint is a simulated endpoint.
type simEndpoint struct {
	info    endpoint.Info
	running int
	stopped bool
	// grey and slow count the faults in progress, which may overlap.
	grey, slow int
}

// slotsPerEndpoint is the number of requests that an endpoint runs without slowing down.
const slotsPerEndpoint = 16

func (s *simulation) newEndpoint(id, release string) *simEndpoint {
	return &simEndpoint{info: endpoint.Info{ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: service, Release: release}}
}

// host is a simulated host, which splits its requests between the versions.
type host struct {
	sim         *simulation
	number      int
	incarnation string
	splitter    *rollout.Splitter
	order       rollout.Order
	// impairedUntil is the time until which the host counts as out of contact with the owner, so
	// that its requests do not count against the bounds.
	impairedUntil time.Duration
	// frozen and partitioned count the faults in progress, which may overlap.
	frozen, partitioned int
	down, hasOrder      bool
	starts, requests    int
}

func (s *simulation) newHost(i int) *host {
	h := &host{sim: s, number: i}
	h.start()
	return h
}

func (h *host) start() {
	h.starts++
	h.incarnation = fmt.Sprintf("h%d.%d", h.number, h.starts)
	h.splitter = rollout.New(h.sim.scenario.Bounds)
}

func (h *host) markImpaired(duration time.Duration) {
	h.impairedUntil = max(h.impairedUntil, h.sim.clock.Now()+duration+recoveryTime)
}

// kill stops the process. It is restarted after restartTime and receives the order again.
func (h *host) kill() {
	if h.down {
		return
	}
	s := h.sim
	h.down = true
	h.markImpaired(restartTime)
	if s.owner != nil && s.owner.host == h.number {
		s.owner = nil
		order := h.order
		s.after(leaseDuration, func() { s.takeOver(order) })
	}
	s.after(restartTime, func() {
		h.down = false
		h.start()
		s.updateEndpoints()
		if h.hasOrder {
			h.splitter.AddOrder(h.order, true)
			h.readRow()
			s.updateEndpoints()
		}
	})
}

func (h *host) receiveOrder(o rollout.Order) {
	h.order, h.hasOrder = o, true
	if !h.down {
		h.splitter.AddOrder(o, false)
		h.sim.updateEndpoints()
		h.pollRow()
	}
}

// pollRow reads the order's row at fixed intervals.
func (h *host) pollRow() {
	h.readRow()
	h.sim.after(feedInterval, h.pollRow)
}

func (h *host) readRow() {
	if h.sim.hasRow && h.partitioned == 0 && !h.down && h.sim.storeDown == 0 {
		h.splitter.ApplyState(h.sim.row, h.sim.time())
	}
}

// serve routes a request and sends it to an endpoint.
func (h *host) serve(number int) {
	s := h.sim
	if h.down || h.frozen > 0 {
		return
	}
	inPeriod := s.clock.Now() >= warmUp && s.clock.Now() < warmUp+s.scenario.Period
	if inPeriod {
		s.outcome.Requests++
	}
	id := strconv.Itoa(number)
	route := s.drawRoute()
	kind := rollout.KindOf("route" + strconv.Itoa(route))
	subset := h.splitter.SubsetFor(service, kind, id, s.time())
	e := h.chooseEndpoint(subset)
	if e == nil {
		if fallback, ok := h.splitter.Fallback(service, subset, s.time()); ok {
			e = h.chooseEndpoint(fallback)
		}
	}
	if e == nil {
		s.outcome.UnservedRequests++
		return
	}
	if e.info.Release == targetVersion && s.clock.Now() >= h.impairedUntil {
		s.targetSendTimes = append(s.targetSendTimes, s.clock.Now())
		if inPeriod {
			s.outcome.TargetRequests++
		}
	}
	h.send(e, route, kind)
}

// drawRoute draws a route by its share of the requests.
func (s *simulation) drawRoute() int {
	x := s.random.Float64()
	for i, r := range s.scenario.Routes {
		if x < r.TrafficShare {
			return i
		}
		x -= r.TrafficShare
	}
	return 0
}

// chooseEndpoint draws two endpoints of a subset and returns the one with fewer requests in
// progress.
func (h *host) chooseEndpoint(subset rollout.Subset) *simEndpoint {
	rule := h.splitter.Rule(service, subset)
	var allowed []*simEndpoint
	for _, e := range h.sim.endpoints {
		if !e.stopped && rule.Allows(&e.info) {
			allowed = append(allowed, e)
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	a, b := allowed[h.sim.random.IntN(len(allowed))], allowed[h.sim.random.IntN(len(allowed))]
	if b.running < a.running {
		return b
	}
	return a
}

func (h *host) send(e *simEndpoint, route int, kind rollout.Kind) {
	s := h.sim
	r := s.scenario.Routes[route]
	e.running++
	took := time.Duration(float64(r.MeanTime) * math.Exp(r.Spread*s.random.NormFloat64()-r.Spread*r.Spread/2))
	took = time.Duration(float64(took) * max(1, float64(e.running)/slotsPerEndpoint))
	failed := s.random.Float64() < r.FailureRate || e.grey > 0 && s.random.Float64() < 0.4
	if e.slow > 0 {
		took *= 4
	}
	bad := e.info.Release == targetVersion && s.isBad(e, route)
	if bad && s.scenario.Target.SlowFactor > 0 {
		took = time.Duration(float64(took) * s.scenario.Target.SlowFactor)
	}
	failed = failed || bad && s.scenario.Target.SlowFactor == 0
	splitter, incarnation := h.splitter, h.incarnation
	attempt := splitter.StartAttempt(service, &e.info, kind, 0, s.time())
	s.after(took, func() {
		e.running--
		if bad {
			s.badAnswerTimes = append(s.badAnswerTimes, s.clock.Now())
		}
		if incarnation != h.incarnation {
			return
		}
		splitter.RecordAnswer(attempt, failed || e.stopped, s.time())
		splitter.FinishAttempt(attempt, s.time())
	})
}

// isBad reports whether an answer of the target is bad because of its defect.
func (s *simulation) isBad(e *simEndpoint, route int) bool {
	defect := s.scenario.Target
	badFrom := warmUp + time.Duration(defect.StartsAfter*float64(s.scenario.Period))
	switch {
	case s.clock.Now() < badFrom, s.random.Float64() >= defect.BadShare:
		return false
	case defect.OnlyUnderLoad && float64(e.running) < max(0.7*s.meanInFlight, 1):
		return false
	case defect.OnlyRarestRoute && route != len(s.scenario.Routes)-1:
		return false
	}
	return true
}

// ownerProcess is the owner of the order on its host.
type ownerProcess struct {
	host    int
	owner   *rollout.Owner
	writing bool
	// lastReportAt holds the time of the last report of each host by incarnation.
	lastReportAt map[string]time.Duration
}

// takeOver makes the first healthy host the owner and retries while there is none or the store is
// down.
func (s *simulation) takeOver(order rollout.Order) {
	if s.owner != nil {
		return
	}
	if s.storeDown > 0 {
		s.after(stepInterval, func() { s.takeOver(order) })
		return
	}
	for _, h := range s.hosts {
		if h.down || h.frozen > 0 || h.partitioned > 0 || !h.hasOrder {
			continue
		}
		s.epoch++
		if !s.hasRow {
			s.row, s.hasRow = rollout.State{Order: order, Phase: rollout.Trying, Started: s.clock.Now()}, true
		}
		d := &ownerProcess{host: h.number, lastReportAt: map[string]time.Duration{}}
		d.owner = rollout.NewOwner(s.row, s.scenario.Bounds, s.scenario.Test, s.epoch, s.clock.Now())
		s.owner = d
		s.after(0, func() { s.runOwner(d) })
		s.after(0, func() { s.exchangeReports(d) })
		return
	}
	s.after(stepInterval, func() { s.takeOver(order) })
}

// runOwner runs one step of the owner and schedules the next one.
func (s *simulation) runOwner(d *ownerProcess) {
	if s.owner != d {
		return
	}
	h := s.hosts[d.host]
	if h.frozen > 0 || h.partitioned > 0 {
		// The owner cannot renew its lease, so another host takes over when the lease expires.
		s.owner = nil
		order := h.order
		s.after(leaseDuration, func() { s.takeOver(order) })
		return
	}
	d.dropSilentHosts(s)
	step := d.owner.Next(s.fleet(d), s.clock.Now())
	if step.Write != 0 && !d.writing {
		d.writing = true
		epoch := s.epoch
		s.after(storeWriteTime, func() { s.finishWrite(d, epoch, step) })
	}
	s.after(stepInterval, func() { s.runOwner(d) })
}

func (d *ownerProcess) dropSilentHosts(s *simulation) {
	for incarnation, at := range d.lastReportAt {
		if s.clock.Now()-at > silenceTimeout {
			delete(d.lastReportAt, incarnation)
		}
	}
}

func (s *simulation) fleet(d *ownerProcess) rollout.Fleet {
	f := rollout.Fleet{Advertised: len(s.hosts)}
	for incarnation := range d.lastReportAt {
		f.Live = append(f.Live, incarnation)
	}
	for _, e := range s.endpoints {
		switch {
		case e.stopped:
		case e.info.Release == targetVersion:
			f.TargetEndpoints++
		default:
			f.OtherEndpoints++
		}
	}
	return f
}

// finishWrite applies a write of the row, unless the store is down, the owner was replaced or the
// order has ended.
func (s *simulation) finishWrite(d *ownerProcess, epoch int64, step rollout.Step) {
	d.writing = false
	if s.storeDown > 0 || epoch != s.epoch || s.row.Phase.Ended() {
		return
	}
	s.row.Phase, s.row.Reason = step.Write, step.Reason
	if step.Write.Ended() {
		s.outcome.EndedAfter = s.clock.Now() - warmUp
	}
	if step.Write == rollout.Completed {
		s.stopEndpoints(previousVersion)
	}
	if step.Write == rollout.Reverted {
		s.after(2*time.Second, func() { s.stopEndpoints(targetVersion) })
	}
	delay := time.Duration(0)
	if s.storeLate > 0 {
		delay = time.Second
	}
	s.after(delay, func() { d.owner.SetPhase(step.Write, step.Reason) })
}

// exchangeReports sends the owner's directive to all hosts and applies their reports.
func (s *simulation) exchangeReports(d *ownerProcess) {
	if s.owner != d {
		return
	}
	directive := d.owner.Next(s.fleet(d), s.clock.Now()).Directive
	for _, h := range s.hosts {
		if h.down || h.frozen > 0 || h.partitioned > 0 || s.random.Float64() < datagramLoss {
			continue
		}
		splitter, incarnation := h.splitter, h.incarnation
		s.after(networkDelay, func() {
			splitter.ApplyDirective(directive, s.time())
			report, ok := splitter.Report(service, orderID, s.time())
			if !ok || s.random.Float64() < datagramLoss {
				return
			}
			s.after(networkDelay, func() {
				d.lastReportAt[incarnation] = s.clock.Now()
				d.owner.ApplyReport(incarnation, report)
			})
		})
	}
	s.after(roundInterval, func() { s.exchangeReports(d) })
}
