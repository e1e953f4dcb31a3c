package rolloutlab

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
)

// server is one endpoint.
type server struct {
	info             endpoint.Info
	running          int
	gone, grey, slow bool
}

// slots is how many requests an endpoint runs before they wait.
const slots = 16

func (p *play) newServer(id, release string) *server {
	return &server{info: endpoint.Info{ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: service, Release: release}}
}

// host splits its requests.
type host struct {
	play        *play
	number      int
	incarnation string
	split       *rollout.Splitter
	order       rollout.Order
	// harmedUntil is until when it does not count as in touch.
	harmedUntil      time.Duration
	frozen, cut      bool
	down, hasOrder   bool
	starts, requests int
}

func (p *play) newHost(i int) *host {
	h := &host{play: p, number: i}
	h.start()
	return h
}

func (h *host) start() {
	h.starts++
	h.incarnation = fmt.Sprintf("h%d.%d", h.number, h.starts)
	h.split = rollout.New(h.play.site.Bounds)
}

func (h *host) harmed(lasting time.Duration) {
	h.harmedUntil = max(h.harmedUntil, h.play.line.Now()+lasting+touchTime)
}

// kill ends the process; another starts a moment later and hears of the order anew.
func (h *host) kill() {
	if h.down {
		return
	}
	p := h.play
	h.down = true
	h.harmed(restartTime)
	if p.owner != nil && p.owner.host == h.number {
		p.owner = nil
		order := h.order
		p.after(leaseTime, func() { p.takeOver(order) })
	}
	p.after(restartTime, func() {
		h.down = false
		h.start()
		p.survey()
		if h.hasOrder {
			h.split.AddOrder(h.order, true)
			h.readRow()
			p.survey()
		}
	})
}

func (h *host) hearOrder(o rollout.Order) {
	h.order, h.hasOrder = o, true
	if !h.down {
		h.split.AddOrder(o, false)
		h.play.survey()
		h.feed()
	}
}

// feed reads the row now and then.
func (h *host) feed() {
	h.readRow()
	h.play.after(feedTime, h.feed)
}

func (h *host) readRow() {
	if h.play.hasRow && !h.cut && !h.down && !h.play.storeBad[StoreDown] {
		h.split.ApplyState(h.play.row, h.play.time())
	}
}

// serve sends a request.
func (h *host) serve(number int) {
	p := h.play
	if h.down || h.frozen {
		return
	}
	inPeriod := p.line.Now() >= warmUp && p.line.Now() < warmUp+p.site.Period
	if inPeriod {
		p.outcome.Requests++
	}
	id := strconv.Itoa(number)
	route := p.draw()
	kind := rollout.KindOf("route" + strconv.Itoa(route))
	side := h.split.SubsetFor(service, kind, id, p.time())
	e := h.choose(side)
	if e == nil {
		if instead, ok := h.split.Fallback(service, side, p.time()); ok {
			e = h.choose(instead)
		}
	}
	if e == nil {
		p.outcome.UnservedRequests++
		return
	}
	if e.info.Release == target && p.line.Now() >= h.harmedUntil {
		p.sentAt = append(p.sentAt, p.line.Now())
		if inPeriod {
			p.outcome.TargetRequests++
		}
	}
	h.send(e, route, kind)
}

// draw picks a route by its part.
func (p *play) draw() int {
	x := p.random.Float64()
	for i, r := range p.site.Routes {
		if x < r.Share {
			return i
		}
		x -= r.Share
	}
	return 0
}

// choose picks the less busy of two endpoints of a side.
func (h *host) choose(side rollout.Subset) *server {
	rule := h.split.Rule(service, side)
	var allowed []*server
	for _, e := range h.play.endpoints {
		if !e.gone && rule.Allows(&e.info) {
			allowed = append(allowed, e)
		}
	}
	if len(allowed) == 0 {
		return nil
	}
	a, b := allowed[h.play.random.IntN(len(allowed))], allowed[h.play.random.IntN(len(allowed))]
	if b.running < a.running {
		return b
	}
	return a
}

func (h *host) send(e *server, route int, kind rollout.Kind) {
	p := h.play
	r := p.site.Routes[route]
	e.running++
	took := time.Duration(float64(r.MeanTime) * math.Exp(r.Spread*p.random.NormFloat64()-r.Spread*r.Spread/2))
	took = time.Duration(float64(took) * max(1, float64(e.running)/slots))
	failed := p.random.Float64() < r.FailureRate || e.grey && p.random.Float64() < 0.4
	if e.slow {
		took *= 4
	}
	bad := e.info.Release == target && p.isBad(e, route)
	if bad && p.site.Target.SlowFactor > 0 {
		took = time.Duration(float64(took) * p.site.Target.SlowFactor)
	}
	failed = failed || bad && p.site.Target.SlowFactor == 0
	split, incarnation := h.split, h.incarnation
	sent := split.StartAttempt(service, &e.info, kind, 0, p.time())
	p.after(took, func() {
		e.running--
		if bad {
			p.badAt = append(p.badAt, p.line.Now())
		}
		if incarnation != h.incarnation {
			return
		}
		split.RecordAnswer(sent, failed || e.gone, p.time())
		split.FinishAttempt(sent, p.time())
	})
}

// isBad reports whether the target harms an answer.
func (p *play) isBad(e *server, route int) bool {
	b := p.site.Target
	begins := warmUp + time.Duration(b.StartsAfter*float64(p.site.Period))
	switch {
	case p.line.Now() < begins, p.random.Float64() >= b.BadShare:
		return false
	case b.OnlyUnderLoad && float64(e.running) < max(0.7*p.carry, 1):
		return false
	case b.OnlyRarestRoute && route != len(p.site.Routes)-1:
		return false
	}
	return true
}

// desk is the owner at its host.
type desk struct {
	host    int
	owner   *rollout.Owner
	writing bool
	// heard is when each host was last heard.
	heard map[string]time.Duration
}

// takeOver makes a host that is well the owner.
func (p *play) takeOver(order rollout.Order) {
	if p.owner != nil {
		return
	}
	if p.storeBad[StoreDown] {
		p.after(stepTime, func() { p.takeOver(order) })
		return
	}
	for _, h := range p.hosts {
		if h.down || h.frozen || h.cut || !h.hasOrder {
			continue
		}
		p.epoch++
		if !p.hasRow {
			p.row, p.hasRow = rollout.State{Order: order, Phase: rollout.Trying, Started: p.line.Now()}, true
		}
		d := &desk{host: h.number, heard: map[string]time.Duration{}}
		d.owner = rollout.NewOwner(p.row, p.site.Bounds, p.site.Test, p.epoch, p.line.Now())
		p.owner = d
		p.after(0, func() { p.step(d) })
		p.after(0, func() { p.round(d) })
		return
	}
	p.after(stepTime, func() { p.takeOver(order) })
}

// step lets the owner decide.
func (p *play) step(d *desk) {
	if p.owner != d {
		return
	}
	h := p.hosts[d.host]
	if h.frozen || h.cut {
		// Its lease lapses; another takes over.
		p.owner = nil
		order := h.order
		p.after(leaseTime, func() { p.takeOver(order) })
		return
	}
	d.live(p)
	s := d.owner.Next(p.fleet(d), p.line.Now())
	if s.Write != 0 && !d.writing {
		d.writing = true
		epoch := p.epoch
		p.after(writeTime, func() { p.written(d, epoch, s) })
	}
	p.after(stepTime, func() { p.step(d) })
}

func (d *desk) live(p *play) {
	for incarnation, at := range d.heard {
		if p.line.Now()-at > silence {
			delete(d.heard, incarnation)
		}
	}
}

func (p *play) fleet(d *desk) rollout.Fleet {
	f := rollout.Fleet{Advertised: len(p.hosts)}
	for incarnation := range d.heard {
		f.Live = append(f.Live, incarnation)
	}
	for _, e := range p.endpoints {
		switch {
		case e.gone:
		case e.info.Release == target:
			f.TargetEndpoints++
		default:
			f.OtherEndpoints++
		}
	}
	return f
}

// written ends a write of the row.
func (p *play) written(d *desk, epoch int64, s rollout.Step) {
	d.writing = false
	if p.storeBad[StoreDown] || epoch != p.epoch || p.row.Phase.Ended() {
		return
	}
	p.row.Phase, p.row.Reason = s.Write, s.Reason
	if s.Write.Ended() {
		p.outcome.EndedAfter = p.line.Now() - warmUp
	}
	if s.Write == rollout.Completed {
		p.end(before)
	}
	if s.Write == rollout.Reverted {
		p.after(2*time.Second, func() { p.end(target) })
	}
	late := time.Duration(0)
	if p.storeBad[StoreLate] {
		late = time.Second
	}
	p.after(late, func() { d.owner.SetPhase(s.Write, s.Reason) })
}

// round tells all hosts the owner's word and takes their reports.
func (p *play) round(d *desk) {
	if p.owner != d {
		return
	}
	w := d.owner.Next(p.fleet(d), p.line.Now()).Directive
	for _, h := range p.hosts {
		if h.down || h.frozen || h.cut || p.random.Float64() < lossPart {
			continue
		}
		split, incarnation := h.split, h.incarnation
		p.after(wayTime, func() {
			split.ApplyDirective(w, p.time())
			report, ok := split.Report(service, orderID, p.time())
			if !ok || p.random.Float64() < lossPart {
				return
			}
			p.after(wayTime, func() {
				d.heard[incarnation] = p.line.Now()
				d.owner.ApplyReport(incarnation, report, p.line.Now())
			})
		})
	}
	p.after(roundTime, func() { p.round(d) })
}
