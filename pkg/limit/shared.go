package limit

import (
	"math"
	"sort"
	"sync"
	"time"
)

// Shared holds teams to limits whose requests are large and few for one entry,
// such as tokens of prompts. Each entry keeps the whole fleet's bucket of a team
// and takes from it what the others tell that they have admitted. A request passes
// only where the bucket holds enough for those that the others may admit
// unheard at the same moment. It is safe for concurrent use.
type Shared struct {
	allowance Allowance
	// born is when the entry began: it knows of nothing admitted before, so that
	// its buckets are empty then.
	born time.Time

	mu sync.Mutex
	// part is of the limits, for the hosts that this one hears and itself.
	part  float64
	teams map[string]*sharedBucket
}

// Allowance is how far all entries together may pass a team's rate in a window:
// by Overrun as a share of what the rate gives in it, and by Slack on top.
type Allowance struct {
	Window  time.Duration
	Overrun float64
	// Slack is in the unit of the requests' cost.
	Slack float64
}

// Parameters of shared limits.
const (
	// allowanceUsed is the part of the allowance that goes into bursts; the rest
	// covers what entries admit before they hear of each other.
	allowanceUsed = 0.3
	// unheardTime is how old what others tell is at most, as a rule: a round of
	// datagrams, the way, and a late timer. Above smallFleet hosts the rounds are
	// rarer, see package gossip.
	unheardTime = 300 * time.Millisecond
	smallFleet  = 16
	// heardKept is how long what another entry told is reckoned with.
	heardKept = 2 * time.Second
	// leastWait is the least time callers are told to come back after.
	leastWait = 50 * time.Millisecond
	// silentWeight is what a host counts for in the fleet's limits while it is
	// silent: it may be cut off and serve on by itself.
	silentWeight = 0.9
)

// Spent is what one entry tells of a team.
type Spent struct {
	Team string
	// Admitted is the cost admitted since the entry's start.
	Admitted float64
	// Asked is the cost asked for a second, admitted or not.
	Asked float64
}

// sharedBucket is the fleet's bucket of one team, as known here.
type sharedBucket struct {
	tokens float64
	at     time.Time
	own    Spent
	// askedAt is when own.Asked was last brought up to date.
	askedAt time.Time
	// meanCost is of a request, averaged over the latest.
	meanCost float64
	others   map[string]heardSpent
}

type heardSpent struct {
	Spent
	at time.Time
}

// NewShared returns limits of an entry that starts now.
func NewShared(allowance Allowance, now time.Time) *Shared {
	return &Shared{allowance: allowance, born: now, part: 1, teams: map[string]*sharedBucket{}}
}

// SetFleet tells how many hosts are heard, this one included, and how many may
// serve unheard: this side's part of all limits follows.
func (s *Shared) SetFleet(heard, silent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.part = float64(max(heard, 1)) / (float64(max(heard, 1)) + silentWeight*float64(silent))
}

// Allow admits one request of a cost or says after how long to come back.
func (s *Shared) Allow(team Team, cost float64, now time.Time) (bool, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(team.Name)
	b.ask(cost, now)
	rate := team.Rate * s.part
	most := s.most(team)
	b.refill(rate, most, now)
	// As much as all who may admit at the same moment would take; a full bucket
	// always admits.
	needed := min(cost*s.rivals(b, now), most)
	if b.tokens < needed {
		wait := time.Duration((needed - b.tokens) / rate * float64(time.Second))
		return false, max(wait, leastWait)
	}
	b.tokens -= cost
	b.own.Admitted += cost
	return true, 0
}

// rivals is how many entries, this one included, are to be expected to admit a
// request of the team before they hear of each other.
func (s *Shared) rivals(b *sharedBucket, now time.Time) float64 {
	mean := b.meanCost
	others := 0
	asked := 0.0
	for _, heard := range b.others {
		if now.Sub(heard.at) < heardKept {
			asked += heard.Asked
			others++
		}
	}
	unheard := unheardTime * time.Duration(max(others, smallFleet)) / smallFleet
	return 1 + min(asked*unheard.Seconds()/max(mean, 1), float64(others))
}

// most is a full bucket of a team on this side.
func (s *Shared) most(team Team) float64 {
	beyond := allowanceUsed * (s.allowance.Overrun*(team.Rate*s.allowance.Window.Seconds()+team.Burst) + s.allowance.Slack)
	return max((team.Burst+beyond)*s.part, 1)
}

func (s *Shared) bucket(team string) *sharedBucket {
	b, ok := s.teams[team]
	if !ok {
		b = &sharedBucket{at: s.born, own: Spent{Team: team}, askedAt: s.born, others: map[string]heardSpent{}}
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

// costWeight is the weight of one request in the mean cost.
const costWeight = 0.1

// askTime is how far back what is asked for is averaged.
const askTime = 2 * time.Second

func (b *sharedBucket) ask(cost float64, now time.Time) {
	b.fade(now)
	b.own.Asked += cost / askTime.Seconds()
	b.meanCost += costWeight * (cost - b.meanCost)
}

func (b *sharedBucket) fade(now time.Time) {
	if elapsed := now.Sub(b.askedAt); elapsed > 0 {
		b.own.Asked *= math.Exp(-float64(elapsed) / float64(askTime))
		b.askedAt = now
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

// Own returns what this entry tells the others, by team.
func (s *Shared) Own(now time.Time) []Spent {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make([]Spent, 0, len(s.teams))
	for _, b := range s.teams {
		b.fade(now)
		b.prune(now)
		list = append(list, b.own)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// Heard takes in what another process tells. What it had admitted before it was
// first heard of is not known to be recent, and is left out.
func (s *Shared) Heard(process string, spent []Spent, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, told := range spent {
		b := s.bucket(told.Team)
		before, known := b.others[process]
		if known {
			b.tokens -= max(told.Admitted-before.Admitted, 0)
		}
		b.others[process] = heardSpent{told, now}
	}
}
