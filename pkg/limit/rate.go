// Package limit holds teams to their rates and shares out capacity when there
// is not enough. The rates are held over all entry hosts without a central
// counter: each entry enforces its share of a team's rate, and shares follow
// the demand that entries tell one another.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the rates.
const (
	// rateShards is how many locks the teams are spread over.
	rateShards = 16
	// demandTime is how far back demand is averaged.
	demandTime = 5 * time.Second
	// leastShare is the part of an even share that an entry always has, so that
	// a caller who changes entries is served before the news has spread.
	leastShare = 0.25
)

// RateLimiter enforces this entry's shares. It is safe for concurrent use.
type RateLimiter struct {
	shards [rateShards]rateShard
}

type rateShard struct {
	mu    sync.Mutex
	teams map[string]*bucket
}

// bucket is one team's state here.
type bucket struct {
	tokens float64
	at     time.Time
	// demand is requests a second asked for here, admitted or not.
	demand   float64
	demandAt time.Time
	// total is the demand over all entries as last told, 0 if not known.
	total   float64
	totalAt time.Time
}

// NewRateLimiter returns rates without any team.
func NewRateLimiter() *RateLimiter {
	r := &RateLimiter{}
	for i := range r.shards {
		r.shards[i].teams = map[string]*bucket{}
	}
	return r
}

// TeamLimit is a team's configured limits.
type TeamLimit struct {
	Name string
	// Rate and Burst are over all entries.
	Rate, Burst float64
}

// totalKept is how long a total told by peers is believed.
const totalKept = 20 * time.Second

// Allow admits one request of a team or says after how long to come back.
// entries is how many entry hosts serve at present, at least 1.
func (r *RateLimiter) Allow(team TeamLimit, entries int, now time.Time) (bool, time.Duration) {
	s := r.shard(team.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.teams[team.Name]
	if !ok {
		b = &bucket{tokens: team.Burst, at: now, demandAt: now}
		s.teams[team.Name] = b
	}
	b.ask(now)
	share := b.share(team.Rate, entries, now)
	burst := max(1, team.Burst*share)
	rate := team.Rate * share
	b.tokens = min(burst, b.tokens+now.Sub(b.at).Seconds()*rate)
	b.at = now
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

func (r *RateLimiter) shard(team string) *rateShard {
	return &r.shards[xxhash.Sum64String(team)%rateShards]
}

// ask adds one request to the averaged demand.
func (b *bucket) ask(now time.Time) {
	b.fade(now)
	b.demand += 1 / demandTime.Seconds()
}

func (b *bucket) fade(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed <= 0 {
		return
	}
	b.demand *= math.Exp(-float64(elapsed) / float64(demandTime))
	b.demandAt = now
}

// share is this entry's part of the team's rate. While all entries together
// ask for less than the rate, nobody is in another's way and idle share is
// lent: the entry may use all the others leave. Above it, shares follow demand.
func (b *bucket) share(rate float64, entries int, now time.Time) float64 {
	even := 1 / float64(max(entries, 1))
	if b.total <= 0 || now.Sub(b.totalAt) > totalKept {
		return even
	}
	others := max(b.total-b.demand, 0)
	if others+b.demand <= rate {
		return max((rate-others)/rate, even*leastShare)
	}
	return max(b.demand/(others+b.demand), even*leastShare)
}

// Demand is one team's demand at one entry.
type Demand struct {
	Team string
	// PerSecond is requests asked for a second.
	PerSecond float64
}

// Demands returns the teams asked for here, for the peers. Teams that ask for
// next to nothing are left out.
func (r *RateLimiter) Demands(now time.Time) []Demand {
	var list []Demand
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name, b := range s.teams {
			b.fade(now)
			if b.demand >= 0.05 {
				list = append(list, Demand{name, b.demand})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// SetTotalDemand takes in a team's demand over all entries.
func (r *RateLimiter) SetTotalDemand(team string, perSecond float64, now time.Time) {
	s := r.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.teams[team]
	if !ok {
		return
	}
	b.total = perSecond
	b.totalAt = now
}
