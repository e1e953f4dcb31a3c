package loadsync

import (
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

const (
	// heldExpiry is the time after which what a host reported about an endpoint's memory is
	// forgotten. Hosts repeat it every second.
	heldExpiry = 4 * time.Second
	// heldExpiryInterval is the time between two looks for such reports.
	heldExpiryInterval = 500 * time.Millisecond
	// maxHeldTokens bounds one report, so that an invalid one cannot overflow a sum. No engine has
	// memory for as many tokens.
	maxHeldTokens = 1 << 30
)

// held sums what the other hosts' requests hold in the memory of endpoints.
type held struct {
	mu     sync.Mutex
	byHost map[string]map[endpoint.Ref]heldEntry
	totals map[endpoint.Ref]int
	// expiredAt is when old reports were last forgotten.
	expiredAt time.Time
}

// heldEntry is the latest report of a host about an endpoint.
type heldEntry struct {
	tokens     int
	receivedAt time.Time
}

// set replaces the report of a host about an endpoint and returns the endpoint's total.
func (h *held) set(host string, report route.HeldReport, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.byHost == nil {
		h.byHost, h.totals = map[string]map[endpoint.Ref]heldEntry{}, map[endpoint.Ref]int{}
	}
	if h.byHost[host] == nil {
		h.byHost[host] = map[endpoint.Ref]heldEntry{}
	}
	tokens := max(0, min(report.Tokens, maxHeldTokens))
	h.add(report.Endpoint, tokens-h.byHost[host][report.Endpoint].tokens)
	if tokens == 0 {
		delete(h.byHost[host], report.Endpoint)
	} else {
		h.byHost[host][report.Endpoint] = heldEntry{tokens, now}
	}
	return h.totals[report.Endpoint]
}

// add changes the total of an endpoint. The lock must be held.
func (h *held) add(ref endpoint.Ref, tokens int) {
	h.totals[ref] += tokens
	if h.totals[ref] == 0 {
		delete(h.totals, ref)
	}
}

// expire forgets old reports if that is due, and returns the totals that this has changed.
func (h *held) expire(now time.Time) map[endpoint.Ref]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.expiredAt) < heldExpiryInterval {
		return nil
	}
	h.expiredAt = now
	changed := map[endpoint.Ref]int{}
	for host, entries := range h.byHost {
		for ref, entry := range entries {
			if now.Sub(entry.receivedAt) >= heldExpiry {
				delete(entries, ref)
				h.add(ref, -entry.tokens)
				changed[ref] = h.totals[ref]
			}
		}
		if len(entries) == 0 {
			delete(h.byHost, host)
		}
	}
	return changed
}

// ApplyHeld applies what another process reports about the memory that its requests hold. Reports
// about endpoints that this host does not know are ignored, which bounds the state.
func (s *Sync) ApplyHeld(incarnation string, reports []route.HeldReport, now time.Time) {
	// A host that takes no callers receives reports, but does not call UpdateRouter.
	s.expireHeld(now)
	for _, report := range reports {
		if info, ok := s.router.Lookup(report.Endpoint.ID); ok && info.Ref() == report.Endpoint {
			s.router.SetHeldByOthers(report.Endpoint, s.held.set(incarnation, report, now))
		}
	}
}

// expireHeld forgets what hosts have not repeated.
func (s *Sync) expireHeld(now time.Time) {
	for ref, total := range s.held.expire(now) {
		s.router.SetHeldByOthers(ref, total)
	}
}
