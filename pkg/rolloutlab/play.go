package rolloutlab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/timeline"
)

// Names of a run.
const (
	service = "svc"
	before  = "v1"
	target  = "v2"
	orderID = 7
)

// Times of a run.
const (
	// warmUp is how long requests come before the order.
	warmUp = 20 * time.Second
	// roundTime is the time between two datagrams of a host about an order.
	roundTime = 250 * time.Millisecond
	stepTime  = 100 * time.Millisecond
	wayTime   = 2 * time.Millisecond
	// lossPart is the part of the datagrams that do not arrive.
	lossPart = 0.01
	// leaseTime is how long after an owner's last word another takes over.
	leaseTime = 3 * time.Second
	writeTime = 15 * time.Millisecond
	// feedTime is how late hosts hear of rows by their feeds.
	feedTime = 1500 * time.Millisecond
	// silence is how long a host is held to live unheard.
	silence = 3200 * time.Millisecond
	// restartTime is how long a killed process is away.
	restartTime = time.Second
	// faultTime is how long a fault lasts.
	faultTime = 4 * time.Second
	// touchTime is how long a host must have been well to count as in touch.
	touchTime = 4 * time.Second
	// rollbackTime and rollbackAnswers are the users' bound on sends to a bad version.
	rollbackTime    = 5 * time.Second
	rollbackAnswers = 50
	// tail is how long a run goes on after the limit.
	tail = 20 * time.Second
)

// play is one run.
type play struct {
	site    Site
	random  *rand.Rand
	line    timeline.Timeline
	outcome Outcome

	hosts     []*host
	endpoints []*server
	owner     *desk
	epoch     int64
	row       rollout.State
	hasRow    bool
	storeBad  map[Fault]bool
	// badAt is when the target's answers were bad.
	badAt  []time.Duration
	sentAt []time.Duration
	carry  float64
	burst  bool
}

// epochTime is the time of day at which runs begin.
var epochTime = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *play) time() time.Time { return epochTime.Add(p.line.Now()) }

// Run plays a roll-out. The same seed gives the same.
func Run(site Site, seed uint64) Outcome {
	p := &play{site: site, random: rand.New(rand.NewPCG(seed, 0)), storeBad: map[Fault]bool{}}
	for i := range site.Hosts {
		p.hosts = append(p.hosts, p.newHost(i))
	}
	mean := 0.0
	for _, r := range site.Routes {
		mean += r.Part * r.Mean.Seconds()
	}
	p.carry = site.Rate * mean / float64(site.Endpoints)
	for i := range site.Endpoints {
		p.endpoints = append(p.endpoints, p.newServer(fmt.Sprintf("a%03d", i), before))
	}
	p.survey()
	p.arrive()
	p.after(warmUp, p.ordered)
	p.line.Run(warmUp+site.Period+tail, p.isOver)
	p.judge()
	return p.outcome
}

// isOver reports whether the order has ended so long ago that nothing of it follows.
func (p *play) isOver() bool {
	ended := p.outcome.Ended
	return ended > 0 && p.line.Now() > warmUp+max(ended, p.site.Period)+rollbackTime
}

// judge works out what the users' bounds say of the run.
func (p *play) judge() {
	o := &p.outcome
	o.Phase = p.row.Phase
	o.Why = p.row.Reason
	o.Allowed = p.site.Bounds.Share*float64(o.Asked) + p.site.Bounds.Slack
	if !p.site.Target.Bad() {
		o.Allowed = math.Inf(1)
		return
	}
	if len(p.sentAt) > 0 {
		last := p.sentAt[len(p.sentAt)-1]
		for _, at := range p.badAt {
			if at <= last {
				o.BadAnswers++
			}
		}
	}
	if len(p.badAt) < rollbackAnswers {
		return
	}
	for _, at := range p.sentAt {
		if at > p.badAt[rollbackAnswers-1]+rollbackTime {
			o.LateTried++
		}
	}
}

// ordered is the operator's order.
func (p *play) ordered() {
	order := rollout.Order{Service: service, Target: target, Period: p.site.Period, ID: orderID}
	for _, h := range p.hosts {
		p.after(time.Duration(p.random.IntN(100))*time.Millisecond, func() { h.hearOrder(order) })
	}
	p.after(p.site.Boot, func() {
		for i := range p.site.Endpoints {
			p.endpoints = append(p.endpoints, p.newServer(fmt.Sprintf("b%03d", i), target))
		}
		p.survey()
	})
	p.after(50*time.Millisecond, func() { p.takeOver(order) })
	for _, f := range p.site.Faults {
		p.after(time.Duration(p.random.Float64()*float64(p.site.Period)), func() { p.inject(f) })
	}
}

// arrive makes the next request.
func (p *play) arrive() {
	rate := p.site.Rate
	if p.burst {
		rate *= 1.7
	}
	p.after(time.Duration(p.random.ExpFloat64()/rate*float64(time.Second)), func() {
		p.hosts[p.random.IntN(len(p.hosts))].serve(p.line.Scheduled())
		p.arrive()
	})
}

// survey lets all hosts see the endpoints as they are.
func (p *play) survey() {
	var infos []endpoint.Info
	for _, e := range p.endpoints {
		if !e.gone {
			infos = append(infos, e.info)
		}
	}
	for _, h := range p.hosts {
		for _, info := range infos {
			h.split.ObserveRelease(service, info.Release, p.time())
		}
		h.split.UpdateEndpoints(infos, true, p.time())
	}
}

// end ends the endpoints of a version at once.
func (p *play) end(release string) {
	for _, e := range p.endpoints {
		if e.info.Release == release && !e.gone {
			e.gone = true
			if release == before {
				p.outcome.Cut += e.running
			}
		}
	}
	p.survey()
}

// inject begins a fault.
func (p *play) inject(f Fault) {
	h := p.hosts[p.random.IntN(len(p.hosts))]
	switch f {
	case Grey, Slow, Reclaim:
		p.harm(f)
	case Burst:
		p.burst = true
		p.after(faultTime, func() { p.burst = false })
	case OwnerKilled:
		if p.owner != nil {
			p.hosts[p.owner.host].kill()
		}
	case HostKilled:
		h.kill()
	case HostFrozen, HostCut:
		h.harmed(faultTime)
		h.frozen = h.frozen || f == HostFrozen
		h.cut = true
		p.after(faultTime, func() { h.frozen, h.cut = false, false })
	case StoreDown, StoreLate:
		p.storeBad[f] = true
		p.after(faultTime, func() { p.storeBad[f] = false })
	}
}

// harm harms some endpoints of either version.
func (p *play) harm(f Fault) {
	part := 0.15
	if f == Reclaim {
		part = 0.25
	}
	for _, e := range p.endpoints {
		if e.gone || p.random.Float64() >= part {
			continue
		}
		switch f {
		case Grey:
			e.grey = true
		case Slow:
			e.slow = true
		case Reclaim:
			e.gone = true
		}
		p.after(faultTime, func() { e.grey, e.slow = false, false })
	}
	p.survey()
}

// after calls do in virtual time.
func (p *play) after(pause time.Duration, do func()) { p.line.After(pause, do) }
