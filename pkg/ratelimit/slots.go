package ratelimit

import (
	"slices"
	"sync"
	"time"
)

// Parameters of the shares of slots.
const (
	// rejectionWindow is the window in which an endpoint counts the requests that it rejects. The
	// hosts count in a longer one, as the time to the endpoint varies.
	rejectionWindow = 1100 * time.Millisecond
	// newSlotsDelay is how long the hosts must not have changed before a host uses slots that it has
	// gained. It is shorter than newShareDelay, as rejections also bound the use of a share: with 4 s,
	// the slots of a host that is restarted stayed unused for longer.
	newSlotsDelay = 2 * time.Second
	// raiseInterval is the time between two increases of the number of requests in flight after it
	// was lowered, after a share has grown or after an endpoint has started.
	raiseInterval = 300 * time.Millisecond
	// cautiousTime is how long after a rejection, a report of the endpoint or the growth of a share
	// only as many requests may be unconfirmed as may be rejected.
	cautiousTime = 5 * time.Second
	// firstHold is the time after a rejection after which the number of requests in flight is raised. It
	// doubles with each further rejection, at most maxHoldDoublings times; one doubling is forgotten in
	// holdDecayTime without a rejection. With 1.1 s and no doublings, an endpoint with less room than
	// its row reports was left idle after a rejection in each 1.4 s: 0.55 of the slot time was used
	// instead of 0.9 (TestKnownFragileEndpointsStayUp).
	firstHold        = 4 * time.Second
	maxHoldDoublings = 3
	holdDecayTime    = 20 * time.Second
	// confirmTime is the time after which a request that was not rejected counts as accepted:
	// endpoints reject at once, and are less than 10 ms away.
	confirmTime = 60 * time.Millisecond
	// abandonTime is how long a request counts as in flight after its connection was closed: the
	// endpoint has to notice that.
	abandonTime = 60 * time.Millisecond
)

// Slots is this host's share of the slots of an endpoint that fails if it has to reject too many
// requests within a second. As with Bucket, rendezvous hashing selects a few hosts, of which each
// holds whole slots: at most one host for each rejection that the endpoint stands, so that each of
// them may have one request rejected in a second. It is safe for concurrent use.
type Slots struct {
	endpoint string

	mu sync.Mutex
	// slots is the number of the endpoint's slots, maxRejections the number of requests that it may
	// reject within a second.
	slots, maxRejections int
	// createdAt is the time from which on this host keeps to the share.
	createdAt time.Time
	// hosts are the hosts that share and rejectionShare were computed for.
	hosts *Hosts
	// share is the number of slots of this host, rejectionShare the number of its requests that may
	// be rejected within rejectionWindow.
	share, rejectionShare int
	// limit is the number of requests that may be in flight. It is at most share, lowered by
	// rejections and raised by 1 at a time from raiseAt on.
	limit   int
	raiseAt time.Time
	// cautiousUntil is the time until which the number of unconfirmed requests is bounded.
	cautiousUntil time.Time
	// holdDoublings is the number of recent rejections that lengthen the time until the limit is raised,
	// lastRejectedAt the time of the latest rejection.
	holdDoublings  int
	lastRejectedAt time.Time
	// rejectedAt are the times of the rejections within rejectionWindow, sentAt those of the requests
	// sent within confirmTime that are not completed.
	rejectedAt, sentAt []time.Time
	// abandonedAt are when requests were abandoned within abandonTime.
	abandonedAt []time.Time
}

// NewSlots returns the share of the slots of an endpoint that has just reported how many rejections
// it stands. The other hosts may have more requests in flight there than they hold slots.
func NewSlots(endpointID string, slots, maxRejections int, hosts *Hosts, now time.Time) *Slots {
	s := &Slots{endpoint: endpointID, slots: slots, maxRejections: maxRejections, createdAt: now}
	s.computeShare(hosts, now)
	s.raiseAt = later(hosts.startedAt, hosts.changedAt).Add(newSlotsDelay)
	if !now.Before(s.raiseAt) {
		s.limit = s.share
	}
	s.cautiousUntil = later(s.raiseAt, now).Add(cautiousTime)
	return s
}

// NewSlowStartSlots is NewSlots for an endpoint that has just started: this host sends one request
// at first.
func NewSlowStartSlots(endpointID string, slots, maxRejections int, hosts *Hosts, now time.Time) *Slots {
	s := NewSlots(endpointID, slots, maxRejections, hosts, now)
	s.limit = min(s.limit, 1)
	s.raiseAt = later(s.raiseAt, now.Add(raiseInterval))
	return s
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// SetMaxRejections changes the number of requests that the endpoint may reject within a second.
func (s *Slots) SetMaxRejections(maxRejections int, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxRejections = maxRejections
	s.computeShare(s.hosts, now)
}

// computeShare computes the share among hosts. One that has grown is used after newSlotsDelay, as
// the host that lost those slots may not know that yet. The lock is held.
func (s *Slots) computeShare(hosts *Hosts, now time.Time) {
	s.hosts = hosts
	count := len(hosts.names)
	if hosts.isMassLoss() {
		count = hosts.size()
	}
	holders := max(min(count, s.slots, s.maxRejections), 1)
	share := 0
	if rank, ok := hosts.rank(s.endpoint); ok && rank < holders && (s.limit > 0 || !hosts.isMassLoss()) {
		share = s.slots / holders
		if rank < s.slots%holders {
			share++
		}
	}
	if share > s.share {
		s.raiseAt = now.Add(newSlotsDelay)
		s.cautiousUntil = s.raiseAt.Add(cautiousTime)
	}
	s.share = share
	s.limit = min(s.limit, share)
	s.rejectionShare = max(s.maxRejections/holders, 1)
}

// update applies a change of the hosts and the time that has passed. The lock is held.
func (s *Slots) update(hosts *Hosts, now time.Time) {
	if hosts != s.hosts {
		s.computeShare(hosts, now)
	}
	if s.limit < s.share && !now.Before(s.raiseAt) {
		s.limit++
		s.raiseAt = now.Add(raiseInterval)
	}
	s.rejectedAt = slices.DeleteFunc(s.rejectedAt, func(at time.Time) bool { return now.Sub(at) >= rejectionWindow })
	s.abandonedAt = slices.DeleteFunc(s.abandonedAt, func(at time.Time) bool { return now.Sub(at) >= abandonTime })
	s.sentAt = slices.DeleteFunc(s.sentAt, func(at time.Time) bool { return now.Sub(at) >= confirmTime })
}

// Allows reports whether this host, which has a number of requests in flight at the endpoint, may
// send another one.
func (s *Slots) Allows(inFlight int, hosts *Hosts, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(hosts, now)
	if inFlight+len(s.abandonedAt) >= s.limit {
		return false
	}
	atRisk := len(s.rejectedAt)
	if now.Before(s.cautiousUntil) {
		atRisk += len(s.sentAt)
	}
	return atRisk < s.rejectionShare
}

// Limit returns the number of requests that this host may have in flight; ok is false if it holds
// no slots.
func (s *Slots) Limit(hosts *Hosts, now time.Time) (limit int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.update(hosts, now)
	return s.limit, s.share > 0
}

// Take records that a request is sent.
func (s *Slots) Take(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentAt = append(s.sentAt, now)
}

// Release records that a request that was sent at sentAt is completed, or abandoned at now.
func (s *Slots) Release(sentAt time.Time, isAbandoned bool, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if isAbandoned {
		s.abandonedAt = append(s.abandonedAt, now)
	}
	if i := slices.Index(s.sentAt, sentAt); i >= 0 {
		s.sentAt = slices.Delete(s.sentAt, i, i+1)
	}
}

// RecordRejection records that the endpoint rejected a request that this host sent at sentAt. As many as
// it accepted, and 1 at least, may be in flight from then on. A request that was sent before this host
// kept to its share does not lower that number: the endpoint was full of requests beyond all shares.
func (s *Slots) RecordRejection(accepted int, sentAt, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rejectedAt = append(s.rejectedAt, now)
	s.cautiousUntil = later(s.cautiousUntil, now.Add(cautiousTime))
	if sentAt.Before(s.createdAt) {
		return
	}
	s.limit = min(s.limit, max(accepted, 1))
	decayed := int(now.Sub(s.lastRejectedAt) / holdDecayTime)
	s.holdDoublings = max(s.holdDoublings-decayed, 0)
	s.raiseAt = later(s.raiseAt, now.Add(firstHold<<s.holdDoublings))
	s.holdDoublings = min(s.holdDoublings+1, maxHoldDoublings)
	s.lastRejectedAt = now
}
