// Package limit enforces the rates of teams and shares out capacity when there is not
// enough. Rates hold over all entry hosts without a central counter: each entry enforces its
// share of a team's rate, and shares follow the demand that entries report to each other.
package limit

import (
	"math"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of the rate limiter.
const (
	// rateShards is the number of locks that the teams are spread over.
	rateShards = 16
	// demandWindow is the time constant of the average of the demand.
	demandWindow = 5 * time.Second
	// minShareOfEven is the part of an even share that an entry always has, so that a caller
	// who moves to another entry is served before the entries have exchanged their demand.
	minShareOfEven = 0.25
)

// RateLimiter enforces this entry's shares of the teams' rates. It is safe for concurrent
// use.
type RateLimiter struct {
	shards [rateShards]rateShard
}

type rateShard struct {
	mu    sync.Mutex
	teams map[string]*bucket
}

// bucket is a team's token bucket at this entry.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// demand is the requests per second received here, admitted or not.
	demand   float64
	demandAt time.Time
	// totalDemand is the latest demand over all entries, 0 if not known.
	totalDemand   float64
	totalDemandAt time.Time
}

// NewRateLimiter returns a rate limiter without any team.
func NewRateLimiter() *RateLimiter {
	r := &RateLimiter{}
	for i := range r.shards {
		r.shards[i].teams = map[string]*bucket{}
	}
	return r
}

// TeamLimit is the configured limit of a team.
type TeamLimit struct {
	Name string
	// Rate and Burst hold over all entries.
	Rate, Burst float64
}

// totalDemandTTL is how long a total demand is used after it was received.
const totalDemandTTL = 20 * time.Second

// Allow admits one request of a team, or returns the time after which to retry. entries is
// the number of entry hosts that serve at present, at least 1.
func (r *RateLimiter) Allow(team TeamLimit, entries int, now time.Time) (bool, time.Duration) {
	s := r.shard(team.Name)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.teams[team.Name]
	if !ok {
		b = &bucket{tokens: team.Burst, refilledAt: now, demandAt: now}
		s.teams[team.Name] = b
	}
	b.countRequest(now)
	share := b.share(team.Rate, entries, now)
	burst := max(1, team.Burst*share)
	rate := team.Rate * share
	b.tokens = min(burst, b.tokens+now.Sub(b.refilledAt).Seconds()*rate)
	b.refilledAt = now
	if b.tokens < 1 {
		return false, time.Duration((1 - b.tokens) / rate * float64(time.Second))
	}
	b.tokens--
	return true, 0
}

func (r *RateLimiter) shard(team string) *rateShard {
	return &r.shards[xxhash.Sum64String(team)%rateShards]
}

// countRequest adds one request to the average demand.
func (b *bucket) countRequest(now time.Time) {
	b.decayDemand(now)
	b.demand += 1 / demandWindow.Seconds()
}

func (b *bucket) decayDemand(now time.Time) {
	elapsed := now.Sub(b.demandAt)
	if elapsed <= 0 {
		return
	}
	b.demand *= math.Exp(-float64(elapsed) / float64(demandWindow))
	b.demandAt = now
}

// share returns this entry's part of the team's rate. While the total demand is below the
// rate, the entry may use all that the others leave. Above it, shares are proportional to the
// entries' demand.
func (b *bucket) share(rate float64, entries int, now time.Time) float64 {
	even := 1 / float64(max(entries, 1))
	if b.totalDemand <= 0 || now.Sub(b.totalDemandAt) > totalDemandTTL {
		return even
	}
	others := max(b.totalDemand-b.demand, 0)
	if others+b.demand <= rate {
		return max((rate-others)/rate, even*minShareOfEven)
	}
	return max(b.demand/(others+b.demand), even*minShareOfEven)
}

// Demand is one team's demand at one entry.
type Demand struct {
	Team string
	// PerSecond is the requests per second, admitted or not.
	PerSecond float64
}

// Demands returns the demand of each team at this entry, to be sent to the peers. Teams with
// less than 0.05 requests per second are left out.
func (r *RateLimiter) Demands(now time.Time) []Demand {
	var list []Demand
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for name, b := range s.teams {
			b.decayDemand(now)
			if b.demand >= 0.05 {
				list = append(list, Demand{name, b.demand})
			}
		}
		s.mu.Unlock()
	}
	return list
}

// SetTotalDemand sets a team's demand over all entries, in requests per second. It has no
// effect on a team without requests at this entry.
func (r *RateLimiter) SetTotalDemand(team string, perSecond float64, now time.Time) {
	s := r.shard(team)
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.teams[team]
	if !ok {
		return
	}
	b.totalDemand = perSecond
	b.totalDemandAt = now
}
