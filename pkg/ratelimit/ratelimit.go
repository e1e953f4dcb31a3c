// Package ratelimit shares the limit of requests a second that an endpoint names among the
// hosts that take callers, without messages between them. Rendezvous hashing picks a few
// hosts for each endpoint, so that each of them gets a useful rate and their bursts together
// stay within what the endpoint bears. It does no I/O; times are passed in.
package ratelimit

import (
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the shares.
const (
	// spareHolders is how many hosts share a limit in addition to one for each request a second.
	spareHolders = 3
	// settleTime is how long the hosts must not have changed before a host uses a share that
	// it has gained: another may not know yet that it has lost it.
	settleTime = 4 * time.Second
)

// Bucket is this host's share of one endpoint's limit: a token bucket. It is safe for
// concurrent use.
type Bucket struct {
	endpoint string

	mu    sync.Mutex
	limit endpoint.Limit
	// hosts is what the share was worked out for.
	hosts *Hosts
	share share
	// tokens are requests that may be sent, as of at.
	tokens float64
	at     time.Time
	// from is when the share may be used.
	from time.Time
}

// share is a host's part of a limit: rate in requests a second, and how many tokens it
// collects. The zero value is no part.
type share struct{ rate, burst float64 }

// New returns the bucket of a limit that has just become known.
func New(endpointID string, limit endpoint.Limit, hosts *Hosts, now time.Time) *Bucket {
	a := &Bucket{endpoint: endpointID, limit: limit, hosts: hosts, at: now, from: hosts.since.Add(settleTime)}
	var rank, holders int
	a.share, rank, holders = a.shareOf(false)
	if a.share.rate > 0 {
		// Holders take their first turns one after the other.
		a.tokens = float64(rank) / float64(holders)
	}
	return a
}

// shareOf works out this host's share, its rank, and how many hosts have one; settled says
// that it uses one already. The lock is held.
func (a *Bucket) shareOf(settled bool) (s share, rank, holders int) {
	holders = min(a.hosts.size(), int(a.limit)+spareHolders)
	rank, ok := a.hosts.rank(a.endpoint)
	if !ok || rank >= holders || !settled && a.hosts.isUpheaval() {
		return share{}, rank, holders
	}
	burst := (float64(a.limit) + spareHolders) / float64(holders)
	return share{rate: float64(a.limit) / float64(holders), burst: max(burst, 1)}, rank, holders
}

// SetLimit changes the limit.
func (a *Bucket) SetLimit(limit endpoint.Limit, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refill(now)
	a.limit = limit
	a.share, _, _ = a.shareOf(a.isSettled(now))
	a.tokens = min(a.tokens, a.share.burst)
}

// follow works the share out anew where the hosts have changed. The lock is held.
func (a *Bucket) follow(hosts *Hosts, now time.Time) {
	if hosts == a.hosts {
		return
	}
	a.refill(now)
	settled := a.isSettled(now)
	a.hosts = hosts
	a.share, _, _ = a.shareOf(settled)
	a.tokens = min(a.tokens, a.share.burst)
	if !settled && a.share.rate > 0 {
		a.from = now.Add(settleTime)
	}
}

// isSettled reports whether this host uses a share already. The lock is held.
func (a *Bucket) isSettled(now time.Time) bool {
	return a.share.rate > 0 && !now.Before(a.from)
}

// refill adds what has come in since the last time. The lock is held.
func (a *Bucket) refill(now time.Time) {
	if now.Before(a.from) {
		a.at = now
		return
	}
	if since := now.Sub(a.at); since > 0 {
		a.tokens = min(a.tokens+since.Seconds()*a.share.rate, a.share.burst)
		a.at = now
	}
}

// Delay returns how long it is until this host may send the endpoint a request, 0 for now.
// ok is false where it has no share.
func (a *Bucket) Delay(hosts *Hosts, now time.Time) (left time.Duration, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.follow(hosts, now)
	if a.share.rate <= 0 {
		return 0, false
	}
	a.refill(now)
	if missing := 1 - a.tokens; missing > 0 {
		left = time.Duration(missing / a.share.rate * float64(time.Second))
	}
	return left + max(a.from.Sub(now), 0), true
}

// Allows reports whether this host may send the endpoint a request now.
func (a *Bucket) Allows(hosts *Hosts, now time.Time) bool {
	left, ok := a.Delay(hosts, now)
	return ok && left == 0
}

// Take counts a request that is sent.
func (a *Bucket) Take() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.tokens--
}
