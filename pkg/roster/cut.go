package roster

import (
	"cmp"
	"slices"
	"time"
)

// CutTTL is how long a host counts as cut from endpoints after its latest report. Hosts repeat the
// report every CutInterval, so that two datagrams in a row may be lost.
const (
	CutTTL      = 1500 * time.Millisecond
	CutInterval = 400 * time.Millisecond
)

// ApplyCut applies a report of a process, this one included, that it has lost its links to endpoints or
// has them again. What it sent before about its work and its requests in progress no longer holds: its
// callers' requests are forwarded by other hosts, which count them. Reports of an unknown process are
// ignored, as it repeats them.
func (r *Roster) ApplyCut(incarnation string, cut bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[incarnation]
	switch {
	case !ok:
	case !cut:
		m.cutUntil = time.Time{}
	default:
		m.cutUntil = now.Add(CutTTL)
		m.discardWork()
	}
}

// discardWork discards what the process has sent about its work and its requests in progress.
func (m *member) discardWork() {
	m.work = nil
	m.status.Loads, m.status.Demands = nil, nil
	m.row.Loads, m.row.Demands, m.row.Work = nil, nil, nil
}

// isCut reports whether the process has reported that it has lost its links to endpoints.
func (m *member) isCut(now time.Time) bool { return now.Before(m.cutUntil) }

// CutHosts returns the number of live hosts that report that they have lost their links to endpoints.
func (r *Roster) CutHosts(now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	count := 0
	for _, m := range r.live() {
		if m.isCut(now) {
			count++
		}
	}
	return count
}

// InTouch returns the other live hosts that do not report a cut, those of this host's data centre
// first, each group by name.
func (r *Roster) InTouch(self Host, now time.Time) []Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	var hosts []Host
	for _, m := range r.live() {
		if m.row.Node != self.Node && m.row.PeerAddress != "" && !m.row.Leaving && !m.isCut(now) {
			hosts = append(hosts, m.row.Host)
		}
	}
	slices.SortFunc(hosts, func(a, b Host) int {
		return cmp.Or(compareBool(a.DataCenter != self.DataCenter, b.DataCenter != self.DataCenter), cmp.Compare(a.Node, b.Node))
	})
	return hosts
}

// minInTouchShare is the share of the advertised cores that the hosts in touch must have for callers to
// be sent to them alone: fewer hosts could not take the callers of all.
const minInTouchShare = 0.5

// EntryHosts returns the hosts that callers are sent to, sorted by name: the advertised hosts without
// those that report a cut, or all of them if the others are too few. Unlike the advertised hosts, which
// share the limits, they change with each cut.
func (r *Roster) EntryHosts(now time.Time) []AdvertisedHost {
	r.mu.Lock()
	defer r.mu.Unlock()
	var all, inTouch []AdvertisedHost
	total, inTouchCores := 0, 0
	for _, m := range r.advertised() {
		host := AdvertisedHost{m.row.Node, m.row.DataCenter, m.row.CallerAddress, m.row.PeerAddress}
		all = append(all, host)
		total += m.size()
		if !m.isCut(now) {
			inTouch = append(inTouch, host)
			inTouchCores += m.size()
		}
	}
	if float64(inTouchCores) >= minInTouchShare*float64(total) {
		all = inTouch
	}
	slices.SortFunc(all, func(a, b AdvertisedHost) int { return cmp.Compare(a.Node, b.Node) })
	return all
}
