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

// Names and IDs of a run.
const (
	service         = "svc"
	previousVersion = "v1"
	targetVersion   = "v2"
	orderID         = 7
)

// Durations and rates of a run.
const (
	// warmUp is how long requests arrive before the order.
	warmUp = 20 * time.Second
	// roundInterval is the time between two rounds of directives and reports about an order.
	roundInterval = 250 * time.Millisecond
	stepInterval  = 100 * time.Millisecond
	networkDelay  = 2 * time.Millisecond
	// datagramLoss is the fraction of datagrams that are lost.
	datagramLoss = 0.01
	// leaseDuration is the time between the last action of a failed owner and the takeover by
	// another host.
	leaseDuration  = 3 * time.Second
	storeWriteTime = 15 * time.Millisecond
	// feedInterval is the time between two reads of the row, and so the longest delay until a host
	// sees a change.
	feedInterval = 1500 * time.Millisecond
	// silenceTimeout is the time without a report after which the owner considers a host dead.
	silenceTimeout = 3200 * time.Millisecond
	// restartTime is how long a killed process is down.
	restartTime = time.Second
	// faultDuration is how long a fault lasts.
	faultDuration = 4 * time.Second
	// recoveryTime is how long a host must be without a fault before it counts as in contact again.
	recoveryTime = 4 * time.Second
	// maxRollbackTime and maxBadAnswers are the users' bound on a bad version: hosts in contact
	// send it no request later than maxRollbackTime after its bad answer number maxBadAnswers.
	maxRollbackTime = 5 * time.Second
	maxBadAnswers   = 50
	// drainTime is how long a run continues at most after the end of the period.
	drainTime = 20 * time.Second
)

// simulation is the state of one run.
type simulation struct {
	scenario Scenario
	random   *rand.Rand
	clock    timeline.Timeline
	outcome  Outcome

	hosts     []*host
	endpoints []*simEndpoint
	owner     *ownerProcess
	epoch     int64
	row       rollout.State
	hasRow    bool
	// storeDown, storeLate and burst count the faults in progress, which may overlap.
	storeDown, storeLate, burst int
	// badAnswerTimes are the times of the target's bad answers.
	badAnswerTimes  []time.Duration
	targetSendTimes []time.Duration
	meanInFlight    float64
}

// startTime is the wall-clock time at which runs start.
var startTime = time.Date(2024, 1, 1, 0, 0, 0, 0, time.UTC)

func (s *simulation) time() time.Time { return startTime.Add(s.clock.Now()) }

// Run simulates a roll-out and returns its outcome. The same seed gives the same outcome.
func Run(scenario Scenario, seed uint64) Outcome {
	s := &simulation{scenario: scenario, random: rand.New(rand.NewPCG(seed, 0))}
	for i := range scenario.Hosts {
		s.hosts = append(s.hosts, s.newHost(i))
	}
	mean := 0.0
	for _, r := range scenario.Routes {
		mean += r.TrafficShare * r.MeanTime.Seconds()
	}
	s.meanInFlight = scenario.Rate * mean / float64(scenario.Endpoints)
	for i := range scenario.Endpoints {
		s.endpoints = append(s.endpoints, s.newEndpoint(fmt.Sprintf("a%03d", i), previousVersion))
	}
	s.updateEndpoints()
	s.scheduleRequest()
	s.after(warmUp, s.startRollout)
	s.clock.Run(warmUp+scenario.Period+drainTime, s.isOver)
	s.evaluate()
	return s.outcome
}

// isOver reports whether the order has ended and no later event can change the outcome.
func (s *simulation) isOver() bool {
	ended := s.outcome.EndedAfter
	return ended > 0 && s.clock.Now() > warmUp+max(ended, s.scenario.Period)+maxRollbackTime
}

// evaluate compares the run with the users' bounds.
func (s *simulation) evaluate() {
	o := &s.outcome
	o.Phase = s.row.Phase
	o.Reason = s.row.Reason
	o.AllowedRequests = s.scenario.Bounds.Share*float64(o.Requests) + s.scenario.Bounds.Slack
	if !s.scenario.Target.IsBad() {
		o.AllowedRequests = math.Inf(1)
		return
	}
	if len(s.targetSendTimes) > 0 {
		last := s.targetSendTimes[len(s.targetSendTimes)-1]
		for _, at := range s.badAnswerTimes {
			if at <= last {
				o.BadAnswers++
			}
		}
	}
	if len(s.badAnswerTimes) < maxBadAnswers {
		return
	}
	for _, at := range s.targetSendTimes {
		if at > s.badAnswerTimes[maxBadAnswers-1]+maxRollbackTime {
			o.LateTargetRequests++
		}
	}
}

// startRollout places the operator's order, starts the target's endpoints and schedules the faults.
func (s *simulation) startRollout() {
	order := rollout.Order{Service: service, Target: targetVersion, Period: s.scenario.Period, ID: orderID}
	for _, h := range s.hosts {
		s.after(time.Duration(s.random.IntN(100))*time.Millisecond, func() { h.receiveOrder(order) })
	}
	s.after(s.scenario.BootTime, func() {
		for i := range s.scenario.Endpoints {
			s.endpoints = append(s.endpoints, s.newEndpoint(fmt.Sprintf("b%03d", i), targetVersion))
		}
		s.updateEndpoints()
	})
	s.after(50*time.Millisecond, func() { s.takeOver(order) })
	for _, f := range s.scenario.Faults {
		s.after(time.Duration(s.random.Float64()*float64(s.scenario.Period)), func() { s.inject(f) })
	}
}

// scheduleRequest schedules the next request.
func (s *simulation) scheduleRequest() {
	rate := s.scenario.Rate
	if s.burst > 0 {
		rate *= 1.7
	}
	s.after(time.Duration(s.random.ExpFloat64()/rate*float64(time.Second)), func() {
		s.hosts[s.random.IntN(len(s.hosts))].serve(s.clock.Scheduled())
		s.scheduleRequest()
	})
}

// updateEndpoints gives all hosts the current list of endpoints.
func (s *simulation) updateEndpoints() {
	var infos []endpoint.Info
	for _, e := range s.endpoints {
		if !e.stopped {
			infos = append(infos, e.info)
		}
	}
	for _, h := range s.hosts {
		for _, info := range infos {
			h.splitter.ObserveRelease(service, info.Release, s.time())
		}
		h.splitter.UpdateEndpoints(infos, true, s.time())
	}
}

// stopEndpoints stops all endpoints of a version at once.
func (s *simulation) stopEndpoints(release string) {
	for _, e := range s.endpoints {
		if e.info.Release == release && !e.stopped {
			e.stopped = true
			if release == previousVersion {
				s.outcome.CutRequests += e.running
			}
		}
	}
	s.updateEndpoints()
}

// inject starts a fault.
func (s *simulation) inject(f Fault) {
	h := s.hosts[s.random.IntN(len(s.hosts))]
	switch f {
	case Grey, Slow, Reclaim:
		s.impairEndpoints(f)
	case Burst:
		s.during(&s.burst)
	case OwnerKilled:
		if s.owner != nil {
			s.hosts[s.owner.host].kill()
		}
	case HostKilled:
		h.kill()
	case HostFrozen, HostPartitioned:
		h.markImpaired(faultDuration)
		if f == HostFrozen {
			s.during(&h.frozen)
		}
		s.during(&h.partitioned)
	case StoreDown:
		s.during(&s.storeDown)
	case StoreLate:
		s.during(&s.storeLate)
	}
}

// during counts a fault while it lasts.
func (s *simulation) during(faults *int) {
	*faults++
	s.after(faultDuration, func() { *faults-- })
}

// impairEndpoints applies a fault to a random part of the endpoints of both versions.
func (s *simulation) impairEndpoints(f Fault) {
	share := 0.15
	if f == Reclaim {
		share = 0.25
	}
	for _, e := range s.endpoints {
		if e.stopped || s.random.Float64() >= share {
			continue
		}
		switch f {
		case Grey:
			s.during(&e.grey)
		case Slow:
			s.during(&e.slow)
		case Reclaim:
			e.stopped = true
		}
	}
	s.updateEndpoints()
}

// after schedules a call in virtual time.
func (s *simulation) after(delay time.Duration, do func()) { s.clock.After(delay, do) }
