package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of upheavals. After the loss of many hosts at once the others may know few of each
// other for a while, each of them different ones; no host gains a share then.
const (
	// knownPart is the part of the base below which hosts that are still known are an upheaval.
	knownPart = 0.5
	// baseKept is how long a base is kept at least, mostBaseKept at most; within that it is
	// replaced once the hosts have not changed for calmTime.
	baseKept     = 30 * time.Second
	mostBaseKept = time.Minute
	calmTime     = 15 * time.Second
)

// Hosts are those that take callers, as one of them knows them. It is not changed once made.
type Hosts struct {
	self string
	// names are known now, since changedAt; base were known at baseAt. Both are sorted.
	names, base       []string
	changedAt, baseAt time.Time
	// since is when the first Hosts of this process was made.
	since time.Time
	// known is how many of base are in names.
	known int
}

// NewHosts returns the hosts that self knows first, by name.
func NewHosts(self string, names []string, now time.Time) *Hosts {
	names = slices.Sorted(slices.Values(names))
	return &Hosts{self: self, names: names, base: names, known: len(names), changedAt: now, baseAt: now, since: now}
}

// WithNames returns the hosts with the names that are known now; h itself where nothing changes.
func (h *Hosts) WithNames(names []string, now time.Time) *Hosts {
	isSame := slices.Equal(h.names, names)
	isDue := h.isBaseDue(isSame, now)
	if isSame && !isDue {
		return h
	}
	next := &Hosts{self: h.self, names: h.names, base: h.base, changedAt: h.changedAt, baseAt: h.baseAt, since: h.since}
	if !isSame {
		next.names, next.changedAt = slices.Sorted(slices.Values(names)), now
	}
	if isDue {
		next.base, next.baseAt = next.names, now
	}
	next.known = countCommon(next.names, next.base)
	return next
}

// isBaseDue reports whether the base is to be replaced.
func (h *Hosts) isBaseDue(isSame bool, now time.Time) bool {
	age := now.Sub(h.baseAt)
	isCalm := isSame && now.Sub(h.changedAt) >= calmTime
	return age >= mostBaseKept || age >= baseKept && isCalm
}

// countCommon returns how many names are in both of two sorted lists.
func countCommon(a, b []string) int {
	common := 0
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0]:
			common++
			a, b = a[1:], b[1:]
		case a[0] < b[0]:
			a = a[1:]
		default:
			b = b[1:]
		}
	}
	return common
}

// isUpheaval reports whether most of the base is gone.
func (h *Hosts) isUpheaval() bool { return float64(h.known) < knownPart*float64(len(h.base)) }

// size is the number of hosts among which limits are shared.
func (h *Hosts) size() int { return max(len(h.names), len(h.base)) }

// rank returns the place of this host among those that share an endpoint, 0 for the first.
// ok is false where it does not take callers.
func (h *Hosts) rank(endpointID string) (rank int, ok bool) {
	own := weight(h.self, endpointID)
	for _, name := range h.names {
		switch {
		case name == h.self:
			ok = true
		case weight(name, endpointID) > own:
			rank++
		}
	}
	return rank, ok
}

func weight(host, endpointID string) uint64 {
	return xxhash.Sum64String(host + "\x00" + endpointID)
}
