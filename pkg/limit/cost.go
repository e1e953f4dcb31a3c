package limit

import (
	"math"
	"sort"
	"sync"
	"time"
)

// CostLimiter enforces limits of teams for requests that are costly and few at each entry,
// where cost is for example the tokens of a prompt. Each entry keeps a copy of a team's
// bucket for the whole fleet, and subtracts what the other entries report as admitted. A
// request is admitted only if the bucket also has room for the requests that other entries
// may admit at the same time, before their reports arrive. It is safe for concurrent use.
type CostLimiter struct {
	tolerance Tolerance
	// startedAt is when the entry started. Its buckets are empty then, because it does not
	// know what was admitted before.
	startedAt time.Time

	mu sync.Mutex
	// share is the part of the limits for the reachable hosts, this one included.
	share   float64
	buckets map[string]*costBucket
	// idleTime is how long, at least, no host admitted requests before this entry started;
	// 0 if not known.
	idleTime time.Duration
	// olderSeen is set once a synced entry, which is older, has reported.
	olderSeen bool
}

// Tolerance is how far all entries together may exceed a team's limit in a window: by
// Overrun, as a part of what rate and burst allow in it, and additionally by Slack.
type Tolerance struct {
	Window  time.Duration
	Overrun float64
	// Slack is in the unit of the requests' cost.
	Slack float64
}

// Parameters of cost limits.
const (
	// grantedOverrun and grantedSlack are the parts of the tolerance that are added to the
	// limits; the rest covers what entries admit before the reports of the others arrive.
	grantedOverrun = 0.6
	grantedSlack   = 0.25
	// reportDelay is the usual maximum age of what other entries have reported: a round of
	// datagrams, the network, and a late timer. Above smallFleet hosts the rounds are
	// less frequent, see package gossip.
	reportDelay = 300 * time.Millisecond
	smallFleet  = 32
	// reportTTL is how long the report of another entry is used, in a fleet of up to
	// smallFleet hosts.
	reportTTL = 2 * time.Second
	// minWait is the minimum time after which callers are asked to retry.
	minWait = 50 * time.Millisecond
	// silentWeight is the weight of an unreachable host in the fleet's limits: it may be
	// partitioned and still serve.
	silentWeight = 0.95
	// syncTime is the age from which an entry knows the level of a bucket.
	syncTime = 2 * time.Second
	// olderEntryWait is how long a new entry waits for the report of a synced one. If there
	// is none, all entries have restarted.
	olderEntryWait = 400 * time.Millisecond
	// restartCredit is the part of the tolerance's slack that buckets start with when all
	// entries have restarted and what was admitted before is not known. Two such restarts in
	// a window stay within the tolerance that grantedOverrun and grantedSlack leave.
	restartCredit = 0.3
	// idleCreditShare is the part of the tokens of the idle time that buckets start with. It
	// is below 1 because every host may spend them before the reports of the others arrive.
	idleCreditShare = 0.75
)

// TeamUsage is what one entry reports of a team.
type TeamUsage struct {
	Team string
	// Admitted is the cost admitted since the entry's start.
	Admitted float64
	// RequestedRate is the cost requested per second, admitted or not.
	RequestedRate float64
	// Available is the level of the fleet's bucket as known to the entry. It is valid only if
	// Synced is set: the entry is old enough to know it.
	Available float64
	Synced    bool
}

// costBucket is this entry's copy of the fleet's bucket of one team.
type costBucket struct {
	tokens     float64
	refilledAt time.Time
	local      TeamUsage
	// decayedAt is when local.RequestedRate and unreported were last decayed.
	decayedAt time.Time
	// unreported is the cost admitted here recently, decaying over reportDelay.
	unreported float64
	// meanCost is the mean cost of the latest requests.
	meanCost float64
	// creditedShare is the share of the limits for which the bucket has the tokens of the
	// idle time.
	creditedShare float64
	// initialized is set once the level at the entry's start is decided.
	initialized bool
	peers       map[string]peerUsage
}

type peerUsage struct {
	TeamUsage
	receivedAt time.Time
}

// NewCostLimiter returns the limiter of an entry that starts now.
func NewCostLimiter(tolerance Tolerance, now time.Time) *CostLimiter {
	return &CostLimiter{tolerance: tolerance, startedAt: now, share: 1, buckets: map[string]*costBucket{}}
}

// SetFleet sets the number of reachable hosts, this one included, and of silent hosts that
// may still serve. They determine the share of the limits for this side of a partition.
func (l *CostLimiter) SetFleet(reachable, silent int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.share = float64(max(reachable, 1)) / (float64(max(reachable, 1)) + silentWeight*float64(silent))
}

// Decision is the result of Allow with the values that led to it.
type Decision struct {
	Admitted bool
	// Wait is the time after which to retry, if not admitted.
	Wait time.Duration
	// Available is the level of the team's bucket, Required the level needed to admit.
	Available, Required float64
	// Share is the part of the limits for the reachable hosts.
	Share float64
	// Contenders is the estimated number of entries, this one included, that admit a request
	// at the same time.
	Contenders float64
}

// Request is a request to be admitted.
type Request struct {
	Cost float64
	// Priority ranks requests; 0 is the most urgent.
	Priority int
}

// Allow admits one request, or returns the time after which to retry.
func (l *CostLimiter) Allow(team TeamLimit, request Request, now time.Time) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	cost := request.Cost
	b := l.bucket(team.Name)
	b.countRequest(cost, now)
	rate := l.rate(team)
	capacity := l.capacity(team)
	l.creditIdleTime(b, team, now)
	b.refill(rate, capacity, now)
	l.initialize(b, now)
	// Require room for the requests that other entries may admit at the same time. A full
	// bucket always admits.
	contenders := l.contenders(b, now)
	required := min(cost+b.contenderCost(cost)*(contenders-1)+b.reserve(request, capacity), capacity)
	d := Decision{Admitted: b.tokens >= required, Available: b.tokens, Required: required, Share: l.share, Contenders: contenders}
	if !d.Admitted {
		d.Wait = max(time.Duration((required-b.tokens)/rate*float64(time.Second)), minWait)
		return d
	}
	b.tokens -= cost
	b.local.Admitted += cost
	b.unreported += cost
	return d
}

// minContenderRate is the requests per second from which an entry counts as a contender. Below
// it, the entry's last request is several times requestRateWindow ago.
const minContenderRate = 0.02

// contenders estimates how many entries, this one included, admit a request of the team before
// they receive each other's reports.
func (l *CostLimiter) contenders(b *costBucket, now time.Time) float64 {
	mean := b.meanCost
	active := 0
	requested := 0.0
	ttl := reportTTL * time.Duration(max(len(b.peers), smallFleet)) / smallFleet
	for _, peer := range b.peers {
		if now.Sub(peer.receivedAt) < ttl && peer.RequestedRate > minContenderRate*mean {
			requested += peer.RequestedRate
			active++
		}
	}
	delay := reportDelay * time.Duration(max(active, smallFleet)) / smallFleet
	return 1 + min(requested*delay.Seconds()/max(mean, 1), float64(active))
}

// overrunFactor is the factor by which a limit may be exceeded permanently.
func (l *CostLimiter) overrunFactor() float64 { return 1 + grantedOverrun*l.tolerance.Overrun }

// rate returns the refill rate of a team's bucket for the reachable hosts.
func (l *CostLimiter) rate(team TeamLimit) float64 { return team.Rate * l.overrunFactor() * l.share }

// capacity returns the level of a team's full bucket for the reachable hosts.
func (l *CostLimiter) capacity(team TeamLimit) float64 {
	return max((team.Burst*l.overrunFactor()+grantedSlack*l.tolerance.Slack)*l.share, 1)
}

func (l *CostLimiter) bucket(team string) *costBucket {
	b, ok := l.buckets[team]
	if !ok {
		b = &costBucket{refilledAt: l.startedAt, local: TeamUsage{Team: team}, decayedAt: l.startedAt, peers: map[string]peerUsage{}}
		l.buckets[team] = b
	}
	return b
}

func (b *costBucket) refill(rate, capacity float64, now time.Time) {
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens += elapsed.Seconds() * rate
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, capacity)
}

// negligibleCost is the part of the mean cost below which requests of other entries are
// assumed to be as cheap as the request itself, so that it passes while a few of them fit.
const negligibleCost = 0.05

// contenderCost estimates the cost that another entry admits at the same time as a request of
// a cost: a request of the mean cost, so that a large request needs no more room than a small
// one beyond its own cost, and the unreported cost, assumed to be the same as at this entry.
func (b *costBucket) contenderCost(cost float64) float64 {
	if cost < negligibleCost*b.meanCost {
		return cost
	}
	return b.meanCost + b.unreported
}

// Parameters of the reserve for more urgent requests.
const (
	// reserveStep is the part of a full bucket that is reserved, for each step of priority,
	// from a request of the mean cost. A team beyond its limit gets its most urgent requests
	// admitted, and those that can wait rejected.
	reserveStep = 0.12
	// maxReserve bounds the reserve: the least urgent requests must get a part as well.
	maxReserve = 0.36
)

// reserve returns what must remain in the bucket for more urgent requests. It is less for
// requests below the mean cost.
func (b *costBucket) reserve(r Request, capacity float64) float64 {
	reserved := min(float64(max(r.Priority, 0))*reserveStep, maxReserve)
	return reserved * capacity * min(r.Cost/max(b.meanCost, 1), 1)
}

// meanCostWeight is the weight of one request in the mean cost.
const meanCostWeight = 0.1

// requestRateWindow is the time constant of the average of the requested rate.
const requestRateWindow = 2 * time.Second

func (b *costBucket) countRequest(cost float64, now time.Time) {
	b.decay(now)
	b.local.RequestedRate += cost / requestRateWindow.Seconds()
	if b.meanCost == 0 {
		b.meanCost = cost
	}
	b.meanCost += meanCostWeight * (cost - b.meanCost)
}

func (b *costBucket) decay(now time.Time) {
	if elapsed := now.Sub(b.decayedAt); elapsed > 0 {
		b.local.RequestedRate *= math.Exp(-float64(elapsed) / float64(requestRateWindow))
		b.unreported *= math.Exp(-float64(elapsed) / float64(reportDelay))
		b.decayedAt = now
	}
}

// FleetRestarted records that all entries had stopped before this one started, and that
// nothing was admitted for idleTime before its start. The buckets start with the tokens of that
// time: without them, 142 requests of teams below their limits were rejected in the two
// seconds after a loss of all hosts.
func (l *CostLimiter) FleetRestarted(idleTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.idleTime = idleTime
}

// creditIdleTime adds the tokens of the idle time, for the share of the reachable hosts.
func (l *CostLimiter) creditIdleTime(b *costBucket, team TeamLimit, now time.Time) {
	if l.idleTime <= 0 || l.olderSeen || l.share <= b.creditedShare || now.Sub(l.startedAt) >= syncTime {
		return
	}
	b.tokens += idleCreditShare * (l.share - b.creditedShare) * l.idleTime.Seconds() * team.Rate
	b.creditedShare = l.share
}

// initialize adds the restart credit to a bucket if all entries have restarted and the idle
// time is not known.
func (l *CostLimiter) initialize(b *costBucket, now time.Time) {
	if b.initialized || now.Sub(l.startedAt) < olderEntryWait {
		return
	}
	b.initialized = true
	if !l.olderSeen && l.idleTime <= 0 {
		b.tokens += restartCredit * l.tolerance.Slack * l.share
	}
}

// adopt sets the level of a new entry's bucket to that reported by a synced entry.
func (l *CostLimiter) adopt(b *costBucket, reported TeamUsage, now time.Time) {
	if !reported.Synced || now.Sub(l.startedAt) >= syncTime {
		return
	}
	l.olderSeen = true
	if !b.initialized {
		b.initialized = true
		b.tokens = reported.Available
		b.refilledAt = now
	}
}

// prune deletes peers that have not reported for peerTTL: they have stopped.
func (b *costBucket) prune(now time.Time) {
	for process, peer := range b.peers {
		if now.Sub(peer.receivedAt) > peerTTL {
			delete(b.peers, process)
		}
	}
}

// peerTTL is how long a process is remembered after its last report.
const peerTTL = time.Minute

// LocalUsage returns what this entry reports to the others, sorted by team.
func (l *CostLimiter) LocalUsage(now time.Time) []TeamUsage {
	l.mu.Lock()
	defer l.mu.Unlock()
	list := make([]TeamUsage, 0, len(l.buckets))
	for _, b := range l.buckets {
		b.decay(now)
		b.prune(now)
		usage := b.local
		usage.Available = max(b.tokens, 0)
		usage.Synced = now.Sub(l.startedAt) >= syncTime
		list = append(list, usage)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Team < list[j].Team })
	return list
}

// ApplyPeer applies a report of another process. The cost that the process had admitted before
// its first datagram may be old, and is not subtracted.
func (l *CostLimiter) ApplyPeer(process string, usage []TeamUsage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, reported := range usage {
		b := l.bucket(reported.Team)
		before, known := b.peers[process]
		if known && reported.Admitted < before.Admitted {
			// The datagram was overtaken by a later one.
			continue
		}
		l.adopt(b, reported, now)
		if known {
			b.tokens -= reported.Admitted - before.Admitted
		}
		b.peers[process] = peerUsage{reported, now}
	}
}
