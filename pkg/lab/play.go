package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
	"ironhollow/pkg/timeline"
)

// Fleet is what a load is played against.
type Fleet struct {
	// Hosts is how many take callers, Endpoints how many engines there are; both
	// are spread over DataCenters.
	Hosts, Endpoints, DataCenters int
	Engine                        EngineParams
	// NetworkDelay is the time of a datagram or a request between two hosts, Loss the part
	// of the datagrams that do not arrive.
	NetworkDelay time.Duration
	DatagramLoss float64
}

// Workload is what is asked of a fleet.
type Workload struct {
	Kinds  []RequestKind
	Bursts []Burst
	// Duration is how long requests come; those of the time up to WarmUp are not
	// counted, in which hosts learn how fast the engines are.
	Duration, WarmUp time.Duration
	// DataCenterFailures is when the engines of a data centre end, in turn.
	DataCenterFailures []time.Duration
	// HostRestarts is when all hosts start anew and have forgotten what they knew; what
	// runs at the engines goes on.
	HostRestarts []time.Duration
}

// play is one run.
type play struct {
	fleet   Fleet
	seed    uint64
	random  *rand.Rand
	line    timeline.Timeline
	hosts   []*host
	engines map[string]*engine
	read    map[uint64]bool
	settle  time.Duration
	outcome *Outcome
}

// epoch is the time of day at which runs begin.
var epoch = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func (p *play) time() time.Time { return epoch.Add(p.line.Now()) }

// Run plays a load and returns what callers got. The same seed gives the same.
func Run(fleet Fleet, load Workload, seed uint64) *Outcome {
	p := &play{
		fleet: fleet, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, read: map[uint64]bool{},
		settle: load.WarmUp, outcome: newOutcome(),
	}
	p.build()
	for _, r := range arrivals(load.Kinds, load.Bursts, load.Duration, rand.New(rand.NewPCG(seed, 2))) {
		p.after(r.asked, func() { p.ask(r) })
	}
	for i, at := range load.DataCenterFailures {
		p.after(at, func() { p.lose(p.dataCenter(i)) })
	}
	for _, at := range load.HostRestarts {
		p.after(at, p.restart)
	}
	p.line.Run(load.Duration+drainTime, nil)
	p.outcome.close()
	return p.outcome
}

// drainTime is how long a run goes on after the last request.
const drainTime = 20 * time.Second

func (p *play) dataCenter(i int) string { return fmt.Sprintf("dc%d", i%p.fleet.DataCenters) }

func (p *play) build() {
	for i := range p.fleet.Hosts {
		p.hosts = append(p.hosts, newHost(p, i))
	}
	for i := range p.fleet.Endpoints {
		info := endpoint.Info{
			ID: fmt.Sprintf("e%04d", i), Incarnation: 1, Counter: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: service,
			DataCenter: p.dataCenter(i), Slots: p.fleet.Engine.BatchSize, Engine: true,
		}
		p.engines[info.ID] = newEngine(p, p.fleet.Engine)
		for _, h := range p.hosts {
			h.directory.Merge(info)
		}
	}
	for i, h := range p.hosts {
		// Rounds of different hosts fall at different times.
		p.after(time.Duration(i)*time.Millisecond, h.round)
	}
}

// lose ends the engines of a data centre; hosts know it at once, callers of what
// ran there get nothing.
func (p *play) lose(dataCenter string) {
	for _, info := range p.hosts[0].directory.View().Infos() {
		if info.DataCenter != dataCenter {
			continue
		}
		p.engines[info.ID].gone = true
		info.State = endpoint.Gone
		for _, h := range p.hosts {
			h.directory.Merge(info)
		}
	}
}

// restart starts all hosts anew.
func (p *play) restart() {
	for _, h := range p.hosts {
		directory := endpoint.NewDirectory()
		for _, info := range h.directory.View().Infos() {
			directory.Merge(info)
		}
		h.start(directory)
	}
}

func (p *play) ask(r *request) {
	if r.asked >= p.settle && !r.returned {
		o := p.outcome.getOrCreate(r.kind.Name)
		o.Requests++
		o.MaxValue += r.worth()
	}
	p.hosts[p.random.IntN(len(p.hosts))].serve(r)
}

// refused lets a caller come back once, as told.
func (p *play) refused(r *request, comeBack time.Duration) {
	left := r.asked + r.kind.Timeout - p.line.Now()
	if r.returned || comeBack > left/3 {
		p.lost(r)
		return
	}
	r.returned = true
	if r.asked >= p.settle {
		p.outcome.getOrCreate(r.kind.Name).Retried++
	}
	p.after(comeBack, func() { p.ask(r) })
}

func (p *play) lost(r *request) {
	if r.asked >= p.settle {
		p.outcome.getOrCreate(r.kind.Name).Failed++
	}
}

// served notes a first token.
func (p *play) served(r *request, choice route.Choice) {
	if r.asked < p.settle {
		return
	}
	o := p.outcome.getOrCreate(r.kind.Name)
	first := p.line.Now() - r.asked
	o.FirstTokenTimes = append(o.FirstTokenTimes, first)
	if first <= r.kind.Objective {
		o.OnTime++
		o.EarnedValue += r.worth()
	} else {
		o.EarnedValue += lateWorth * r.worth()
	}
	p.outcome.reckoned(choice.Wait, p.time().Sub(choice.Sent()))
}

// noteRead counts the tokens of a prompt that an engine reads, and of shared parts
// those that some engine had read before.
func (p *play) noteRead(r *run, held int) {
	if r.asked < p.settle {
		return
	}
	p.outcome.PrefillTokens += r.promptTokens() - held
	before := 0
	for i, hash := range r.prefix[:len(r.prefix)-1] {
		if r.covered[i] > held && p.read[hash] {
			p.outcome.RecomputedTokens += r.covered[i] - max(before, held)
		}
		before = r.covered[i]
		p.read[hash] = true
	}
}

// after calls do in virtual time.
func (p *play) after(pause time.Duration, do func()) { p.line.After(pause, do) }
