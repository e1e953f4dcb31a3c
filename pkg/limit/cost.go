package limit

import (
	"math"
	"sort"
	"sync"
	"time"
)

// CostLimiter holds teams to limits whose requests are large and few for one entry,
// such as tokens of prompts. Each entry keeps the whole fleet's bucket of a team
// and takes from it what the others tell that they have admitted. A request passes
// only where the bucket holds enough for those that the others may admit
// unheard at the same moment. It is safe for concurrent use.
type CostLimiter struct {
	tolerance Tolerance
	// born is when the entry began: it knows of nothing admitted before, so that
	// its buckets are empty then.
	born time.Time

	mu sync.Mutex
	// part is of the limits, for the hosts that this one hears and itself.
	part  float64
	teams map[string]*sharedBucket
	// idle is how long nothing was admitted before the entry began, at least; 0 if that
	// is not known.
	idle time.Duration
	// olderHeard says that an entry was heard that was there before this one.
	olderHeard bool
}

// Tolerance is how far all entries together may pass a team's rate in a window:
// by Overrun as a share of what rate and burst give in it, and by Slack on top.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	// Slack is in the unit of the requests' cost.
	Slack float64
}

// Parameters of shared limits.
const (
	// overrunUsed and slackUsed are the parts of the tolerance that are given to
	// callers; the rest covers what entries admit before they hear of each other.
	overrunUsed = 0.6
	slackUsed   = 0.25
	// unheardTime is how old what others tell is at most, as a rule: a round of
	// datagrams, the way, and a late timer. Above smallFleet hosts the rounds are
	// rarer, see package gossip.
	unheardTime = 300 * time.Millisecond
	smallFleet  = 32
	// heardKept is how long what another entry told is reckoned with, in a fleet
	// up to smallFleet.
	heardKept = 2 * time.Second
	// leastWait is the least time callers are told to come back after.
	leastWait = 50 * time.Millisecond
	// silentWeight is what a host counts for in the fleet's limits while it is
	// silent: it may be cut off and serve on by itself.
	silentWeight = 0.95
	// settleTime is the age from which an entry knows what a bucket holds.
	settleTime = 2 * time.Second
	// olderWait is how long a new entry waits for word of one that is settled; if
	// none comes, all began anew.
	olderWait = 400 * time.Millisecond
	// restartCredit is the part of the tolerance's slack that buckets hold when all
	// entries began anew and what was admitted before is not known: two such starts
	// in a window stay within what overrunUsed and slackUsed leave.
	restartCredit = 0.3
	// idleUsed is the part used of what flowed in while no host served: all hosts have
	// it before they hear of each other.
	idleUsed = 0.75
)

// TeamUsage is what one entry tells of a team.
type TeamUsage struct {
	Team string
	// Admitted is the cost admitted since the entry's start.
	Admitted float64
	// RequestedRate is the cost asked for a second, admitted or not.
	RequestedRate float64
	// Available is what the fleet's bucket holds as this entry knows it. It counts only
	// if Settled: the entry is old enough to know.
	Available float64
	Synced    bool
}

// sharedBucket is the fleet's bucket of one team, as known here.
type sharedBucket struct {
	tokens float64
	at     time.Time
	own    TeamUsage
	// askedAt is when own.Asked was last brought up to date.
	askedAt time.Time
	// unheard is what was admitted here in the last moments, fading over
	// unheardTime.
	unheard float64
	// meanCost is of a request, averaged over the latest.
	meanCost float64
	// credited is the part of the limits for which the bucket has what flowed in while
	// nothing was admitted.
	credited float64
	// started says that it was settled what the bucket held when the entry began.
	started bool
	others  map[string]heardSpent
}

type heardSpent struct {
	TeamUsage
	at time.Time
}

// NewCostLimiter returns limits of an entry that starts now.
func NewCostLimiter(tolerance Tolerance, now time.Time) *CostLimiter {
	return &CostLimiter{tolerance: tolerance, born: now, part: 1, teams: map[string]*sharedBucket{}}
}

// SetFleet tells how many hosts are heard, this one included, and how many may
// serve unheard: this side's part of all limits follows.
func (s *CostLimiter) SetFleet(heard, silent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part = float64(max(heard, 1)) / (float64(max(heard, 1)) + silentWeight*float64(silent))
}

// Decision is an answer of Allow with what decided it.
type Decision struct {
	Admitted bool
	// Wait is when to come back, if it was not admitted.
	Wait time.Duration
	// Available is what the team's bucket held, Required what it had to hold.
	Available, Required float64
	// Share is of the limits, for the hosts heard.
	Share float64
	// Contenders is how many hosts were reckoned with.
	Contenders float64
}

// Request is what is asked of a limit.
type Request struct {
	Cost float64
	// Priority ranks requests; 0 goes first.
	Priority int
}

// Allow admits one request or says after how long to come back.
func (s *CostLimiter) Allow(team TeamLimit, request Request, now time.Time) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	cost := request.Cost
	b := s.bucket(team.Name)
	b.ask(cost, now)
	rate := s.rate(team)
	most := s.most(team)
	s.credit(b, team, now)
	b.refill(rate, most, now)
	s.start(b, now)
	// As much as all who may admit at the same moment would take; a full bucket
	// always admits.
	rivals := s.rivals(b, now)
	needed := min(cost+b.rivalCost(cost)*(rivals-1)+b.reserve(request, most), most)
	d := Decision{Admitted: b.tokens >= needed, Available: b.tokens, Required: needed, Share: s.part, Contenders: rivals}
	if !d.Admitted {
		d.Wait = max(time.Duration((needed-b.tokens)/rate*float64(time.Second)), leastWait)
		return d
	}
	b.tokens -= cost
	b.own.Admitted += cost
	b.unheard += cost
	return d
}

// idleAsked is the requests a second below which an entry is none that others
// reckon with: its last one is some askTimes ago.
const idleAsked = 0.02

// rivals is how many entries, this one included, are to be expected to admit a
// request of the team before they hear of each other.
func (s *CostLimiter) rivals(b *sharedBucket, now time.Time) float64 {
	mean := b.meanCost
	others := 0
	asked := 0.0
	kept := heardKept * time.Duration(max(len(b.others), smallFleet)) / smallFleet
	for _, heard := range b.others {
		if now.Sub(heard.at) < kept && heard.RequestedRate > idleAsked*mean {
			asked += heard.RequestedRate
			others++
		}
	}
	unheard := unheardTime * time.Duration(max(others, smallFleet)) / smallFleet
	return 1 + min(asked*unheard.Seconds()/max(mean, 1), float64(others))
}

// beyond is the factor by which a limit may be passed all the time.
func (s *CostLimiter) beyond() float64 { return 1 + overrunUsed*s.tolerance.Overrun }

// rate is what flows into a team's bucket on this side.
func (s *CostLimiter) rate(team TeamLimit) float64 { return team.Rate * s.beyond() * s.part }

// most is a full bucket of a team on this side.
func (s *CostLimiter) most(team TeamLimit) float64 {
	return max((team.Burst*s.beyond()+slackUsed*s.tolerance.Slack)*s.part, 1)
}

func (s *CostLimiter) bucket(team string) *sharedBucket {
	b, ok := s.teams[team]
	if !ok {
		b = &sharedBucket{at: s.born, own: TeamUsage{Team: team}, askedAt: s.born, others: map[string]heardSpent{}}
		s.teams[team] = b
	}
	return b
}

func (b *sharedBucket) refill(rate, most float64, now time.Time) {
	if elapsed := now.Sub(b.at); elapsed > 0 {
		b.tokens += elapsed.Seconds() * rate
		b.at = now
	}
	b.tokens = min(b.tokens, most)
}

// negligible is the part of the usual cost up to which requests are as good as
// free: they pass while others of their kind would fit.
const negligible = 0.05

// rivalCost is what another entry is thought to admit at the same moment as a
// request of a cost: one of the usual cost, so that a large request does not need
// more room than a small one beyond its own, and what it has admitted unheard if it
// did as this entry did.
func (b *sharedBucket) rivalCost(cost float64) float64 {
	if cost < negligible*b.meanCost {
		return cost
	}
	return b.meanCost + b.unheard
}

// Parameters of what is kept for the more urgent.
const (
	// reserveStep is the part of a full bucket that is kept, for each step of
	// priority, from a request of the usual cost: a team beyond its limit gets its
	// most urgent requests through, and is refused what can wait.
	reserveStep = 0.12
	// mostReserve bounds it: the least urgent must get their part as well.
	mostReserve = 0.36
)

// reserve is what must stay in the bucket for more urgent requests. Those that cost
// little take little from them.
func (b *sharedBucket) reserve(r Request, most float64) float64 {
	kept := min(float64(max(r.Priority, 0))*reserveStep, mostReserve)
	return kept * most * min(r.Cost/max(b.meanCost, 1), 1)
}

// costWeight is the weight of one request in the mean cost.
const costWeight = 0.1

// askTime is how far back what is asked for is averaged.
const askTime = 2 * time.Second

func (b *sharedBucket) ask(cost float64, now time.Time) {
	b.fade(now)
	b.own.RequestedRate += cost / askTime.Seconds()
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += costWeight * (cost - b.meanCost)
}

func (b *sharedBucket) fade(now time.Time) {
	if elapsed := now.Sub(b.askedAt); elapsed > 0 {
		b.own.RequestedRate *= math.Exp(-float64(elapsed) / float64(askTime))
		b.unheard *= math.Exp(-float64(elapsed) / float64(unheardTime))
		b.askedAt = now
	}
}

// FleetRestarted notes that all entries had ended before this one began, and that nothing
// was admitted for a time before that. What flowed into the buckets meanwhile is there:
// without it 142 requests were refused in the two seconds after a loss of all hosts,
// whose teams were below their limits.
func (s *CostLimiter) FleetRestarted(idle time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.idle = idle
}

// credit adds what flowed in before the entry began, as far as the hosts heard may use.
func (s *CostLimiter) credit(b *sharedBucket, team TeamLimit, now time.Time) {
	if s.idle <= 0 || s.olderHeard || s.part <= b.credited || now.Sub(s.born) >= settleTime {
		return
	}
	b.tokens += idleUsed * (s.part - b.credited) * s.idle.Seconds() * team.Rate
	b.credited = s.part
}

// start gives a bucket its credit if all entries began anew.
func (s *CostLimiter) start(b *sharedBucket, now time.Time) {
	if b.started || now.Sub(s.born) < olderWait {
		return
	}
	b.started = true
	if !s.olderHeard && s.idle <= 0 {
		b.tokens += restartCredit * s.tolerance.Slack * s.part
	}
}

// adopt takes what an entry that is settled knows of a bucket, if this one is new.
func (s *CostLimiter) adopt(b *sharedBucket, told TeamUsage, now time.Time) {
	if !told.Synced || now.Sub(s.born) >= settleTime {
		return
	}
	s.olderHeard = true
	if !b.started {
		b.started = true
		b.tokens = told.Available
		b.at = now
	}
}

// prune drops processes that have told nothing for long: they are gone.
func (b *sharedBucket) prune(now time.Time) {
	for process, heard := range b.others {
		if now.Sub(heard.at) > processKept {
			delete(b.others, process)
		}
	}
}

// processKept is how long a process is remembered that tells nothing.
const processKept = time.Minute

// LocalUsage returns what this entry tells the others, by team.
func (s *CostLimiter) LocalUsage(now time.Time) []TeamUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]TeamUsage, 0, len(s.teams))
	for _, b := range s.teams {
		b.fade(now)
		b.prune(now)
		told := b.own
		told.Available = max(b.tokens, 0)
		told.Synced = now.Sub(s.born) >= settleTime
		list = append(list, told)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// ApplyPeer applies what another process sends. What it had admitted before its first datagram
// is not known to be recent, and is left out.
func (s *CostLimiter) ApplyPeer(process string, spent []TeamUsage, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, told := range spent {
		b := s.bucket(told.Team)
		before, known := b.others[process]
		if known && told.Admitted < before.Admitted {
			// An older datagram that came later.
			continue
		}
		s.adopt(b, told, now)
		if known {
			b.tokens -= told.Admitted - before.Admitted
		}
		b.others[process] = heardSpent{told, now}
	}
}
