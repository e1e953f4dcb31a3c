// Package ratelimit divides the limit of requests per second that an endpoint sets among the hosts
// that take callers, without messages between them. Rendezvous hashing picks a few hosts for each
// endpoint, so that each of them gets a useful rate and their bursts together stay within what the
// endpoint can handle. The package does no I/O; the current time is passed in.
package ratelimit

import (
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
)

// Parameters of the shares.
const (
	// extraHolders is the number of hosts that share a limit in addition to one host per request
	// per second.
	extraHolders = 3
	// newShareDelay is how long the hosts must not have changed before a host uses a share that it
	// has gained: the host that lost the share may not know that yet.
	newShareDelay = 4 * time.Second
)

// Bucket is a token bucket with this host's share of one endpoint's limit. It is safe for
// concurrent use.
type Bucket struct {
	endpoint string

	mu    sync.Mutex
	limit endpoint.Limit
	// hosts are the hosts that share was computed for.
	hosts *Hosts
	share share
	// tokens is the number of requests that may be sent, as of refilledAt.
	tokens     float64
	refilledAt time.Time
	// usableFrom is the time from which the share may be used.
	usableFrom time.Time
}

// share is a host's share of a limit: its rate in requests per second and the number of tokens
// that it can accumulate. The zero value is no share.
type share struct{ rate, burst float64 }

// New returns the bucket for a limit that has just been received.
func New(endpointID string, limit endpoint.Limit, hosts *Hosts, now time.Time) *Bucket {
	b := &Bucket{endpoint: endpointID, limit: limit, hosts: hosts, refilledAt: now, usableFrom: hosts.startedAt.Add(newShareDelay)}
	var rank, holders int
	b.share, rank, holders = b.computeShare(false)
	if b.share.rate > 0 {
		// Stagger the first requests of the hosts that hold a share.
		b.tokens = float64(rank) / float64(holders)
	}
	return b
}

// computeShare returns this host's share, its rank and the number of hosts that hold a share;
// inUse is set if this host already uses one. The lock is held.
func (b *Bucket) computeShare(inUse bool) (s share, rank, holders int) {
	holders = min(b.hosts.size(), int(b.limit)+extraHolders)
	rank, ok := b.hosts.rank(b.endpoint)
	if !ok || rank >= holders || !inUse && b.hosts.isMassLoss() {
		return share{}, rank, holders
	}
	burst := (float64(b.limit) + extraHolders) / float64(holders)
	return share{rate: float64(b.limit) / float64(holders), burst: max(burst, 1)}, rank, holders
}

// SetLimit changes the limit.
func (b *Bucket) SetLimit(limit endpoint.Limit, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.refill(now)
	b.limit = limit
	b.share, _, _ = b.computeShare(b.isInUse(now))
	b.tokens = min(b.tokens, b.share.burst)
}

// updateHosts computes the share again if the hosts have changed. The lock is held.
func (b *Bucket) updateHosts(hosts *Hosts, now time.Time) {
	if hosts == b.hosts {
		return
	}
	b.refill(now)
	inUse := b.isInUse(now)
	b.hosts = hosts
	b.share, _, _ = b.computeShare(inUse)
	b.tokens = min(b.tokens, b.share.burst)
	if !inUse && b.share.rate > 0 {
		b.usableFrom = now.Add(newShareDelay)
	}
}

// isInUse reports whether this host already uses a share. The lock is held.
func (b *Bucket) isInUse(now time.Time) bool {
	return b.share.rate > 0 && !now.Before(b.usableFrom)
}

// refill adds the tokens that have accumulated since the last refill. The lock is held.
func (b *Bucket) refill(now time.Time) {
	if now.Before(b.usableFrom) {
		b.refilledAt = now
		return
	}
	if elapsed := now.Sub(b.refilledAt); elapsed > 0 {
		b.tokens = min(b.tokens+elapsed.Seconds()*b.share.rate, b.share.burst)
		b.refilledAt = now
	}
}

// Delay returns the time until this host may send the endpoint a request, 0 if it may send one
// now; ok is false if this host has no share.
func (b *Bucket) Delay(hosts *Hosts, now time.Time) (delay time.Duration, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.updateHosts(hosts, now)
	if b.share.rate <= 0 {
		return 0, false
	}
	b.refill(now)
	if missing := 1 - b.tokens; missing > 0 {
		delay = time.Duration(missing / b.share.rate * float64(time.Second))
	}
	return delay + max(b.usableFrom.Sub(now), 0), true
}

// Allows reports whether this host may send the endpoint a request now.
func (b *Bucket) Allows(hosts *Hosts, now time.Time) bool {
	delay, ok := b.Delay(hosts, now)
	return ok && delay == 0
}

// Take removes the token of a request that is sent.
func (b *Bucket) Take() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens--
}
