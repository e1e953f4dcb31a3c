package ratelimit

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Parameters of a mass loss of hosts. After many hosts are lost at once, each of the others may
// know only a few others for a while, and each of them different ones, so no host gains a share
// then.
const (
	// minKnownShare is the fraction of the baseline that must still be known; if fewer hosts are,
	// it is a mass loss.
	minKnownShare = 0.5
	// minBaselineAge is how long a baseline is kept at least, maxBaselineAge at most. In between,
	// it is replaced once the hosts have not changed for stableTime.
	minBaselineAge = 30 * time.Second
	maxBaselineAge = time.Minute
	stableTime     = 15 * time.Second
)

// Hosts is the set of hosts that take callers, as known to one of them. It is immutable.
type Hosts struct {
	self string
	// names are the hosts known since changedAt, baseline those known at baselineAt. Both are
	// sorted.
	names, baseline       []string
	changedAt, baselineAt time.Time
	// startedAt is when the first Hosts of this process was created.
	startedAt time.Time
	// baselineKnown is the number of hosts of baseline that are in names.
	baselineKnown int
}

// NewHosts returns the first set of hosts that self knows, by name.
func NewHosts(self string, names []string, now time.Time) *Hosts {
	names = slices.Sorted(slices.Values(names))
	return &Hosts{self: self, names: names, baseline: names, baselineKnown: len(names), changedAt: now, baselineAt: now, startedAt: now}
}

// WithNames returns the hosts with the names that are known at now, in any order, or h itself if
// nothing changes.
func (h *Hosts) WithNames(names []string, now time.Time) *Hosts {
	if !slices.IsSorted(names) {
		names = slices.Sorted(slices.Values(names))
	}
	isUnchanged := slices.Equal(h.names, names)
	isDue := h.isBaselineDue(isUnchanged, now)
	if isUnchanged && !isDue {
		return h
	}
	next := &Hosts{self: h.self, names: h.names, baseline: h.baseline, changedAt: h.changedAt, baselineAt: h.baselineAt, startedAt: h.startedAt}
	if !isUnchanged {
		next.names, next.changedAt = slices.Clone(names), now
	}
	if isDue {
		next.baseline, next.baselineAt = next.names, now
	}
	next.baselineKnown = countCommon(next.names, next.baseline)
	return next
}

// isBaselineDue reports whether the baseline is to be replaced.
func (h *Hosts) isBaselineDue(isUnchanged bool, now time.Time) bool {
	age := now.Sub(h.baselineAt)
	isStable := isUnchanged && now.Sub(h.changedAt) >= stableTime
	return age >= maxBaselineAge || age >= minBaselineAge && isStable
}

// countCommon returns the number of names that are in both of two sorted lists.
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

// isMassLoss reports whether less than minKnownShare of the baseline is still known.
func (h *Hosts) isMassLoss() bool {
	return float64(h.baselineKnown) < minKnownShare*float64(len(h.baseline))
}

// size returns the number of hosts that limits are divided among.
func (h *Hosts) size() int { return max(len(h.names), len(h.baseline)) }

// rank returns the rank of this host among those that share an endpoint, 0 for the first; ok is
// false if this host does not take callers.
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
