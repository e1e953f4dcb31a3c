package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
	"ironhollow/pkg/timeline"
)

// Fleet describes the hosts and engines of a simulation.
type Fleet struct {
	// Hosts is the number of hosts that callers connect to, Endpoints the number of engines. Both
	// are spread evenly over DataCenters data centres.
	Hosts, Endpoints, DataCenters int
	Engine                        EngineParams
	// EngineTimes are the times that the engines take relative to Engine, in turn; empty for equal
	// engines.
	EngineTimes []float64
	// SlowPhases are the periods in which an engine is slower; the zero value means none.
	SlowPhases SlowPhases
	// NetworkDelay is the one-way delay of datagrams and requests between two hosts, DatagramLoss
	// the fraction of datagrams that are lost.
	NetworkDelay time.Duration
	DatagramLoss float64
}

// SlowPhases describes periods in which an engine takes Factor times as long. They begin at random,
// on average every Every, and take Length.
type SlowPhases struct {
	Every, Length time.Duration
	Factor        float64
}

// Workload describes the requests and failures of a run.
type Workload struct {
	Kinds  []RequestKind
	Bursts []Burst
	// Duration is the time during which requests arrive. Requests that arrive before WarmUp are not
	// counted, because hosts still measure the speed of the engines.
	Duration, WarmUp time.Duration
	// DataCenterFailures are the times at which the engines of the first, second and following data
	// centres stop.
	DataCenterFailures []time.Duration
	// HostRestarts are the times at which all hosts restart and lose their state. Requests that are
	// running at engines continue.
	HostRestarts []time.Duration
}

// simulation is the state of one run.
type simulation struct {
	fleet     Fleet
	seed      uint64
	random    *rand.Rand
	clock     timeline.Timeline
	hosts     []*host
	engines   map[string]*engine
	prefilled map[uint64]bool
	warmUp    time.Duration
	outcome   *Outcome
}

// epoch is the wall-clock time at which runs start.
var epoch = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) time() time.Time { return epoch.Add(s.clock.Now()) }

// Run simulates a workload and returns the outcome. The same seed gives the same outcome.
func Run(fleet Fleet, workload Workload, seed uint64) *Outcome {
	s := &simulation{
		fleet: fleet, seed: seed, random: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*engine{}, prefilled: map[uint64]bool{},
		warmUp: workload.WarmUp, outcome: newOutcome(),
	}
	s.addHostsAndEngines()
	for _, r := range arrivals(workload.Kinds, workload.Bursts, workload.Duration, rand.New(rand.NewPCG(seed, 2))) {
		s.after(r.arrivedAt, func() { s.sendToHost(r) })
	}
	for i, at := range workload.DataCenterFailures {
		s.after(at, func() { s.failDataCenter(s.dataCenter(i)) })
	}
	for _, at := range workload.HostRestarts {
		s.after(at, s.restart)
	}
	s.after(workload.Duration, func() {
		for _, spread := range s.hosts[0].router.SpeedSpreads() {
			s.outcome.LeastFactor, s.outcome.GreatestFactor = spread.Least, spread.Greatest
		}
	})
	s.clock.Run(workload.Duration+drainTime, nil)
	s.outcome.sortTimes()
	return s.outcome
}

// drainTime is how long a run continues after the last arrival.
const drainTime = 20 * time.Second

func (s *simulation) dataCenter(i int) string { return fmt.Sprintf("dc%d", i%s.fleet.DataCenters) }

func (s *simulation) addHostsAndEngines() {
	for i := range s.fleet.Hosts {
		s.hosts = append(s.hosts, newHost(s, i))
	}
	for i := range s.fleet.Endpoints {
		info := endpoint.Info{
			ID: fmt.Sprintf("e%04d", i), Incarnation: 1, Counter: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: service,
			DataCenter: s.dataCenter(i), Slots: s.fleet.Engine.BatchSize, Engine: true,
		}
		s.engines[info.ID] = newEngine(s, s.fleet.Engine, s.fleet.engineTime(i))
		for _, h := range s.hosts {
			h.directory.Merge(info)
		}
	}
	for i, h := range s.hosts {
		// Spread the status rounds of the hosts over time.
		s.after(time.Duration(i)*time.Millisecond, h.sendStatus)
	}
}

// engineTime returns the time that an engine takes relative to the others.
func (f Fleet) engineTime(i int) float64 {
	if len(f.EngineTimes) == 0 {
		return 1
	}
	return f.EngineTimes[i%len(f.EngineTimes)]
}

// failDataCenter stops the engines of a data centre. Hosts are notified at once; requests that were
// running there get no answer.
func (s *simulation) failDataCenter(dataCenter string) {
	for _, info := range s.hosts[0].directory.View().Infos() {
		if info.DataCenter != dataCenter {
			continue
		}
		s.engines[info.ID].stop()
		info.State = endpoint.Gone
		for _, h := range s.hosts {
			h.directory.Merge(info)
		}
	}
}

// restart restarts the processes of all hosts.
func (s *simulation) restart() {
	for _, h := range s.hosts {
		directory := endpoint.NewDirectory()
		for _, info := range h.directory.View().Infos() {
			directory.Merge(info)
		}
		h.start(directory)
	}
}

func (s *simulation) sendToHost(r *request) {
	if r.arrivedAt >= s.warmUp && !r.retried {
		o := s.outcome.getOrCreate(r.kind.Name)
		o.Requests++
		o.MaxValue += r.value()
	}
	s.hosts[s.random.IntN(len(s.hosts))].serve(r)
}

// retryOrFail sends a rejected request again after retryAfter. It fails if it was rejected before,
// or if the delay takes more than a third of the remaining time.
func (s *simulation) retryOrFail(r *request, retryAfter time.Duration) {
	remaining := r.arrivedAt + r.kind.Timeout - s.clock.Now()
	if r.retried || retryAfter > remaining/3 {
		s.recordFailure(r)
		return
	}
	r.retried = true
	if r.arrivedAt >= s.warmUp {
		s.outcome.getOrCreate(r.kind.Name).Retried++
	}
	s.after(retryAfter, func() { s.sendToHost(r) })
}

func (s *simulation) recordFailure(r *request) {
	if r.arrivedAt >= s.warmUp {
		s.outcome.getOrCreate(r.kind.Name).Failed++
	}
}

// recordFirstToken counts a first token and its value.
func (s *simulation) recordFirstToken(r *request, choice route.Choice) {
	if r.arrivedAt < s.warmUp {
		return
	}
	o := s.outcome.getOrCreate(r.kind.Name)
	elapsed := s.clock.Now() - r.arrivedAt
	o.FirstTokenTimes = append(o.FirstTokenTimes, elapsed)
	if elapsed <= r.kind.Objective {
		o.OnTime++
		o.EarnedValue += r.value()
	} else {
		o.EarnedValue += lateValueShare * r.value()
	}
	s.outcome.addWaitError(choice.Wait, s.time().Sub(choice.Sent()))
}

// recordPrefill counts the prompt tokens that an engine prefills, and those in shared parts that an
// engine has prefilled before.
func (s *simulation) recordPrefill(r *engineRequest, cached int) {
	if r.arrivedAt < s.warmUp {
		return
	}
	s.outcome.PrefillTokens += r.promptTokens() - cached
	previousEnd := 0
	for i, hash := range r.prefixHashes[:len(r.prefixHashes)-1] {
		if r.prefixTokens[i] > cached && s.prefilled[hash] {
			s.outcome.RecomputedTokens += r.prefixTokens[i] - max(previousEnd, cached)
		}
		previousEnd = r.prefixTokens[i]
		s.prefilled[hash] = true
	}
}

// after schedules a call in virtual time.
func (s *simulation) after(delay time.Duration, do func()) { s.clock.After(delay, do) }
