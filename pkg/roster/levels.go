package roster

import (
	"cmp"
	"slices"
	"time"
)

// In a large fleet hosts do not all exchange datagrams, as their number would grow with the
// square of the fleet. The core does: the advertised hosts, the standbys for the duties, and
// the aggregators, the largest hosts of each data centre. Every other host subscribes to the
// aggregators of its data centre: it sends them heartbeats and receives membership digests.

// Parameters of levels.
const (
	// leveledFleet is the number of hosts from which on there are levels.
	leveledFleet = 128
	// leveledKept is how long a fleet keeps its levels after so many hosts were last known:
	// after the loss of the core hosts know few others for a while.
	leveledKept = time.Minute
	// aggregatorsEach is how many aggregators a data centre has: one may be lost.
	aggregatorsEach = 2
	// aggregatorsSought is how many hosts are asked where none has answered: many may be gone.
	aggregatorsSought = 8
	// answerTimeout is how long an aggregator may leave a subscription unanswered.
	answerTimeout = 2500 * time.Millisecond
	// skipTime is how long an aggregator that did not answer is skipped.
	skipTime = 10 * time.Second
	// subscriptionTTL is how long an aggregator keeps sending digests to a host that subscribed.
	subscriptionTTL = 4 * time.Second
	// sharingTTL is how long the number of hosts in a digest is used.
	sharingTTL = 15 * time.Second
	// digestDelay is how much older a digest may be than a datagram of the host itself.
	digestDelay = 2 * time.Second
	// advertisedTTL is how long the advertised hosts of a digest are used: two rounds.
	advertisedTTL = 2200 * time.Millisecond
)

// Recipients are the hosts to which a host sends datagrams, by address.
type Recipients struct {
	// Frequent are sent one in every round, Infrequent in few.
	Frequent, Infrequent []string
	// Subscribers are sent digests alone, in few rounds.
	Subscribers []string
	// Hierarchical says that Frequent and Infrequent are of one level and not the whole fleet.
	Hierarchical bool
	// Aggregators are those to which this host subscribes, in few rounds.
	Aggregators []string
}

// Activity is what a host does that determines its recipients.
type Activity struct {
	// ServesCallers says that it has recently served callers: one that is not of the core sends what
	// it admitted and counted to all of the core.
	ServesCallers bool
	// HoldsDuties says that it holds the lease of the duties: it receives all counts.
	HoldsDuties bool
}

// Recipients returns the hosts to which a host sends datagrams now.
func (r *Roster) Recipients(self Host, does Activity, now time.Time) Recipients {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLeveled() {
		near, far := r.peers(self)
		return Recipients{Frequent: near, Infrequent: far}
	}
	core := r.core()
	subscribers := r.subscribers(self, core, now)
	a := Recipients{Hierarchical: true}
	for _, m := range subscribers {
		if m.row.DataCenter == self.DataCenter {
			a.Subscribers = append(a.Subscribers, m.row.PeerAddress)
		}
		if !m.statusAt.IsZero() && now.Sub(m.statusAt) < subscriptionTTL {
			// It serves, as it sends more than subscriptions.
			a.Infrequent = append(a.Infrequent, m.row.PeerAddress)
		}
	}
	r.noteAggregates(self, len(a.Subscribers) > 0)
	_, isCore := core[self.Node]
	for _, m := range sorted(core) {
		if m.row.Node != self.Node && m.row.PeerAddress != "" {
			a.Frequent = append(a.Frequent, m.row.PeerAddress)
		}
	}
	receives := isCore || len(a.Subscribers) > 0 || self.Leaving || does.HoldsDuties
	if r.digestAt.IsZero() {
		r.digestAt = now
	}
	if receives && now.Sub(r.digestAt) <= answerTimeout {
		return a
	}
	// A host that ranks itself in the core and receives no digest is not in it for the others,
	// though some with the same view may send it datagrams.
	a.Aggregators = r.aggregatorsOf(self, now)
	if receives {
		return a
	}
	if does.ServesCallers {
		a.Aggregators = slices.Compact(slices.Sorted(slices.Values(append(a.Aggregators, a.Frequent...))))
	}
	return Recipients{Hierarchical: true, Aggregators: a.Aggregators}
}

// HasSubscribers reports whether the host has subscribers.
func (a Recipients) HasSubscribers() bool { return len(a.Subscribers) > 0 }

// noteAggregates notes whether this host aggregates, which changes its ranking. The lock is
// held.
func (r *Roster) noteAggregates(self Host, aggregates bool) {
	as := ""
	if aggregates {
		as = self.Node
	}
	if as != r.aggregatesAs {
		r.aggregatesAs = as
		r.changed()
	}
}

// isLeveled reports whether the fleet has levels. The lock is held.
func (r *Roster) isLeveled() bool {
	if r.shared() >= leveledFleet {
		r.leveledAt = r.seenAt
		return true
	}
	return !r.leveledAt.IsZero() && r.seenAt.Sub(r.leveledAt) < leveledKept
}

// IsHierarchical reports whether the fleet is so large that it has levels.
func (r *Roster) IsHierarchical() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isLeveled()
}

// InCore reports whether a host is in the core, whose hosts all exchange datagrams.
func (r *Roster) InCore(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.core()[node]
	return ok || node == r.aggregatesAs
}

// CoreSize returns how many hosts the core has, all hosts where there are no levels.
func (r *Roster) CoreSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isLeveled() {
		return max(r.shared(), 1)
	}
	return max(len(r.core()), 1)
}

// core returns the hosts of the core, by name. The lock is held.
func (r *Roster) core() map[string]*member {
	advertised := r.advertised()
	if r.coreOf != nil {
		return r.coreOf
	}
	core := map[string]*member{}
	add := func(list []*member) {
		for _, m := range list {
			core[m.row.Node] = m
		}
	}
	add(advertised)
	add(r.standbys())
	for _, m := range r.live() {
		if r.seenAt.Sub(m.digestAt) <= r.silence || m.status.LeaseVersion > 0 && r.seenAt.Sub(m.statusAt) <= r.silence {
			core[m.row.Node] = m
		}
	}
	r.largest("")
	for _, list := range r.bySize {
		add(list[:min(aggregatorsEach, len(list))])
	}
	r.coreOf = core
	return core
}

// advertisedByDigest returns the hosts that recent digests call advertised, nil without such
// digests: a host outside the core knows too few others to rank them. Aggregators rank the
// hosts themselves, as two of them would confirm each other's digests for ever. The lock is
// held.
func (r *Roster) advertisedByDigest() []*member {
	if r.advertisedAt.IsZero() || r.aggregatesAs != "" || r.seenAt.Sub(r.advertisedAt) > advertisedTTL || !r.isLeveled() {
		return nil
	}
	var list []*member
	for _, m := range r.live() {
		if !m.advertisedAt.IsZero() && r.seenAt.Sub(m.advertisedAt) <= advertisedTTL && !m.row.Leaving && r.seenAt.Sub(m.seenAt()) <= r.silence {
			list = append(list, m)
		}
	}
	return list
}

// isOutsideCore reports whether this host takes the advertised hosts from digests and receives the
// status of fewer than half of them, itself included. Such a host knows too few others to rank itself
// as a standby. The lock is held.
func (r *Roster) isOutsideCore() bool {
	advertised := r.advertisedByDigest()
	senders := 0
	for _, m := range advertised {
		if m.row.Incarnation == r.selfIncarnation || !m.statusAt.IsZero() && r.seenAt.Sub(m.statusAt) <= r.silence {
			senders++
		}
	}
	return 2*senders < len(advertised)
}

// subscribers returns the hosts outside the core that have recently subscribed to this one. The
// lock is held.
func (r *Roster) subscribers(self Host, core map[string]*member, now time.Time) []*member {
	var list []*member
	isAggregator := r.isAggregator(self, core)
	for _, m := range r.live() {
		_, isCore := core[m.row.Node]
		if isCore || m.row.Node == self.Node || m.row.PeerAddress == "" {
			continue
		}
		subscribed := !m.subscribedAt.IsZero() && now.Sub(m.subscribedAt) < subscriptionTTL
		// A host that knows few others yet sends its status to all of them.
		sends := isAggregator && m.row.DataCenter == self.DataCenter && !m.statusAt.IsZero() && now.Sub(m.statusAt) < subscriptionTTL
		if subscribed || sends {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

// isAggregator reports whether a host is one of the largest of its data centre in the core.
// The lock is held.
func (r *Roster) isAggregator(self Host, core map[string]*member) bool {
	larger := 0
	for _, m := range core {
		if m.row.DataCenter == self.DataCenter && m.row.Node != self.Node && compareHosts(m.row.Host, self) < 0 {
			larger++
		}
	}
	_, isCore := core[self.Node]
	return isCore && larger < aggregatorsEach
}

// aggregatorsOf returns the addresses to which a host subscribes: the largest hosts of its data
// centre but those that have not answered. A host that gets a subscription aggregates, so that
// hosts agree without knowing each other. Times are by this host's clock, as it may receive
// nothing once they are gone. The lock is held.
func (r *Roster) aggregatorsOf(self Host, now time.Time) []string {
	var ranked []*member
	for _, m := range r.sharing() {
		if m.row.DataCenter == self.DataCenter && m.row.Node != self.Node && !m.row.Leaving && m.row.PeerAddress != "" && !m.isSkipped(now) {
			ranked = append(ranked, m)
		}
	}
	// Rank silent hosts last, so that a lost aggregator does not displace a live one once skipTime
	// has passed.
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(compareBool(r.silent(a), r.silent(b)), compareSize(a, b))
	})
	most := aggregatorsEach
	if now.Sub(r.digestAt) > answerTimeout {
		most = aggregatorsSought
	}
	var addresses []string
	for _, m := range ranked[:min(most, len(ranked))] {
		if m.requestedAt.IsZero() || m.hasAnswered() {
			m.requestedAt = now
		}
		addresses = append(addresses, m.row.PeerAddress)
	}
	return addresses
}

// hasAnswered reports whether the host has sent anything since the subscription.
func (m *member) hasAnswered() bool {
	return m.statusAt.After(m.requestedAt) || m.digestAt.After(m.requestedAt)
}

// isSkipped reports whether the host has left a subscription unanswered.
func (m *member) isSkipped(now time.Time) bool {
	if m.requestedAt.IsZero() || m.hasAnswered() {
		return false
	}
	waited := now.Sub(m.requestedAt)
	if waited > answerTimeout+skipTime {
		m.requestedAt = time.Time{}
		return false
	}
	return waited > answerTimeout
}
