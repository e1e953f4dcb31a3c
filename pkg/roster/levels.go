package roster

import (
	"cmp"
	"slices"
	"time"
)

// In a large fleet hosts do not all exchange datagrams, as their number would grow with the
// square of the fleet. Only the hosts of the core do: the advertised hosts, the standbys for the
// duties, and the aggregators, which are the largest hosts of each data centre. Every other host
// subscribes to the aggregators of its data centre: it sends them heartbeats and receives
// membership digests.

// Parameters of the hierarchy.
const (
	// minHierarchicalFleet is the number of hosts from which on a fleet is hierarchical.
	minHierarchicalFleet = 128
	// hierarchyTTL is how long a fleet stays hierarchical after it was last known to have that many
	// hosts. After the loss of the core, hosts know few others for a while.
	hierarchyTTL = time.Minute
	// aggregatorHierarchyTTL is the same for an aggregator. It leaves the other hosts, which may use
	// an outdated count for hostCountTTL, time to read each other's rows.
	aggregatorHierarchyTTL = 2 * time.Minute
	// aggregatorsPerDataCenter is the number of aggregators of a data centre: one may be lost.
	aggregatorsPerDataCenter = 2
	// fallbackAggregators is the number of hosts to subscribe to when no digests are received, as
	// many hosts may be gone. Aggregators also include that many candidates in their digests.
	fallbackAggregators = 8
	// responseTimeout is how long an aggregator may take to respond to a subscription.
	responseTimeout = 2500 * time.Millisecond
	// skipDuration is how long an aggregator that did not respond is skipped.
	skipDuration = 10 * time.Second
	// subscriptionTTL is how long an aggregator sends digests to a host after its last
	// subscription.
	subscriptionTTL = 4 * time.Second
	// hostCountTTL is how long the number of hosts from a digest is used.
	hostCountTTL = 15 * time.Second
	// maxDigestDelay is how much older a digest's information may be than a datagram of the host
	// itself.
	maxDigestDelay = 2 * time.Second
	// advertisedTTL is how long the advertised hosts of a digest are used: two rounds of digests.
	advertisedTTL = 2200 * time.Millisecond
)

// Recipients are the addresses to which a host sends datagrams.
type Recipients struct {
	// Frequent hosts receive a datagram in every round, Infrequent ones in few rounds.
	Frequent, Infrequent []string
	// Subscribers receive only digests, in few rounds.
	Subscribers []string
	// Hierarchical reports whether Frequent and Infrequent are hosts of one level rather than of
	// the whole fleet.
	Hierarchical bool
	// Aggregators are the hosts to which this host subscribes, in few rounds.
	Aggregators []string
}

// Activity is what a host does that determines its recipients.
type Activity struct {
	// ServesCallers reports whether the host has recently served callers. Such a host
	// sends its admissions and counts to all of the core, also if it is not in the core itself.
	ServesCallers bool
	// HoldsDuties reports whether the host holds the lease of the duties, whose holder receives all
	// counts.
	HoldsDuties bool
}

// Recipients returns the addresses to which a host currently sends datagrams.
func (r *Roster) Recipients(self Host, activity Activity, now time.Time) Recipients {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isHierarchical() {
		frequent, infrequent := r.peerAddresses(self)
		return Recipients{Frequent: frequent, Infrequent: infrequent}
	}
	core := r.core()
	subscribers := r.subscribers(self, core, now)
	recipients := Recipients{Hierarchical: true}
	for _, m := range subscribers {
		if m.row.DataCenter == self.DataCenter {
			recipients.Subscribers = append(recipients.Subscribers, m.row.PeerAddress)
		}
		if !m.statusAt.IsZero() && now.Sub(m.statusAt) < subscriptionTTL {
			// It sends more than subscriptions, so it serves callers.
			recipients.Infrequent = append(recipients.Infrequent, m.row.PeerAddress)
		}
	}
	r.setAggregating(self, len(recipients.Subscribers) > 0)
	_, isCore := core[self.Node]
	for _, m := range sortedByName(core) {
		if m.row.Node != self.Node && m.row.PeerAddress != "" {
			recipients.Frequent = append(recipients.Frequent, m.row.PeerAddress)
		}
	}
	receivesDigests := isCore || len(recipients.Subscribers) > 0 || self.Leaving || activity.HoldsDuties
	if r.digestAt.IsZero() {
		r.digestAt = now
	}
	if receivesDigests && now.Sub(r.digestAt) <= responseTimeout {
		return recipients
	}
	// A host that ranks itself in the core but receives no digests is not in the core of the other
	// hosts, though some with the same view may send it datagrams.
	recipients.Aggregators = r.aggregatorsOf(self, now)
	if receivesDigests {
		return recipients
	}
	if activity.ServesCallers {
		recipients.Aggregators = slices.Compact(slices.Sorted(slices.Values(append(recipients.Aggregators, recipients.Frequent...))))
	}
	return Recipients{Hierarchical: true, Aggregators: recipients.Aggregators}
}

// HasSubscribers reports whether the host has subscribers.
func (r Recipients) HasSubscribers() bool { return len(r.Subscribers) > 0 }

// setAggregating records whether this host is an aggregator, which changes how it ranks hosts. The
// caller must hold r.mu.
func (r *Roster) setAggregating(self Host, aggregates bool) {
	name := ""
	if aggregates {
		name = self.Node
	}
	if name != r.aggregatorName {
		r.aggregatorName = name
		r.invalidateCaches()
	}
}

// isHierarchical implements IsHierarchical. Aggregators leave the hierarchy last and at about the
// same time, as they send each other how many hosts they know. Until then the other hosts take the
// advertised hosts from digests and get to know those with which they exchanged nothing before. The
// caller must hold r.mu.
func (r *Roster) isHierarchical() bool {
	if r.hostCount() >= minHierarchicalFleet {
		r.hierarchicalAt = r.lastReceivedAt
		return true
	}
	ttl := hierarchyTTL
	if r.aggregatorName != "" {
		ttl = aggregatorHierarchyTTL
	}
	return !r.hierarchicalAt.IsZero() && r.lastReceivedAt.Sub(r.hierarchicalAt) < ttl
}

// IsHierarchical reports whether the fleet is large enough for a hierarchy, or recently was.
func (r *Roster) IsHierarchical() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.isHierarchical()
}

// InCore reports whether a host is in the core, whose hosts all exchange datagrams.
func (r *Roster) InCore(node string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.core()[node]
	return ok || node == r.aggregatorName
}

// CoreSize returns the number of hosts in the core, or of all hosts if the fleet is not
// hierarchical.
func (r *Roster) CoreSize() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isHierarchical() {
		return max(r.hostCount(), 1)
	}
	return max(len(r.core()), 1)
}

// core returns the hosts of the core, by name. The caller must hold r.mu.
func (r *Roster) core() map[string]*member {
	advertised := r.advertised()
	if r.coreByNode != nil {
		return r.coreByNode
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
		if r.lastReceivedAt.Sub(m.digestAt) <= r.silenceTimeout || m.status.LeaseVersion > 0 && r.lastReceivedAt.Sub(m.statusAt) <= r.silenceTimeout {
			core[m.row.Node] = m
		}
	}
	r.largest("")
	for _, list := range r.bySize {
		add(list[:min(aggregatorsPerDataCenter, len(list))])
	}
	r.coreByNode = core
	return core
}

// advertisedByDigest returns the hosts that recent digests list as advertised, nil if there are no
// such digests. A host outside the core needs them, as it knows too few others to rank them.
// Aggregators rank the hosts themselves; otherwise two of them would confirm each other's digests
// forever. The caller must hold r.mu.
func (r *Roster) advertisedByDigest() []*member {
	if r.advertisedAt.IsZero() || r.aggregatorName != "" || r.lastReceivedAt.Sub(r.advertisedAt) > advertisedTTL {
		return nil
	}
	var list []*member
	for _, m := range r.live() {
		if !m.advertisedAt.IsZero() && r.lastReceivedAt.Sub(m.advertisedAt) <= advertisedTTL && !m.row.Leaving && r.lastReceivedAt.Sub(m.seenAt()) <= r.silenceTimeout {
			list = append(list, m)
		}
	}
	return list
}

// isOutsideCore reports whether this host takes the advertised hosts from digests and receives the
// status of fewer than half of them, itself included. Such a host knows too few others to rank
// itself as a standby. The caller must hold r.mu.
func (r *Roster) isOutsideCore() bool {
	advertised := r.advertisedByDigest()
	reporting := 0
	for _, m := range advertised {
		if m.row.Incarnation == r.selfIncarnation || !m.statusAt.IsZero() && r.lastReceivedAt.Sub(m.statusAt) <= r.silenceTimeout {
			reporting++
		}
	}
	return 2*reporting < len(advertised)
}

// subscribers returns the hosts outside the core that have recently subscribed to this one, or send
// it their status as an aggregator. The caller must hold r.mu.
func (r *Roster) subscribers(self Host, core map[string]*member, now time.Time) []*member {
	var list []*member
	isAggregator := r.isAggregator(self, core)
	for _, m := range r.live() {
		_, isCore := core[m.row.Node]
		if isCore || m.row.Node == self.Node || m.row.PeerAddress == "" {
			continue
		}
		subscribed := !m.subscribedAt.IsZero() && now.Sub(m.subscribedAt) < subscriptionTTL
		// A host that still knows few others sends its status to all of them.
		sendsStatus := isAggregator && m.row.DataCenter == self.DataCenter && !m.statusAt.IsZero() && now.Sub(m.statusAt) < subscriptionTTL
		if subscribed || sendsStatus {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, compareNames)
	return list
}

// isAggregator reports whether a host is in the core and there one of the largest of its data
// centre. The caller must hold r.mu.
func (r *Roster) isAggregator(self Host, core map[string]*member) bool {
	larger := 0
	for _, m := range core {
		if m.row.DataCenter == self.DataCenter && m.row.Node != self.Node && compareHosts(m.row.Host, self) < 0 {
			larger++
		}
	}
	_, isCore := core[self.Node]
	return isCore && larger < aggregatorsPerDataCenter
}

// aggregatorsOf returns the addresses to which a host subscribes: the largest hosts of its data
// centre except those that have not responded. A host that receives a subscription becomes an
// aggregator, so that hosts agree without knowing each other. Times are measured with this
// host's clock, as it may receive nothing once the aggregators are gone. The caller must hold r.mu.
func (r *Roster) aggregatorsOf(self Host, now time.Time) []string {
	var ranked []*member
	for _, m := range r.possibleHosts() {
		if m.row.DataCenter == self.DataCenter && m.row.Node != self.Node && !m.row.Leaving && m.row.PeerAddress != "" && !m.isSkipped(now) {
			ranked = append(ranked, m)
		}
	}
	// Silent hosts rank last, so that a lost aggregator does not displace a live one after
	// skipDuration.
	slices.SortFunc(ranked, func(a, b *member) int {
		return cmp.Or(compareBool(r.isSilent(a), r.isSilent(b)), compareSize(a, b))
	})
	maxCount := aggregatorsPerDataCenter
	if now.Sub(r.digestAt) > responseTimeout {
		maxCount = fallbackAggregators
	}
	var addresses []string
	for _, m := range ranked[:min(maxCount, len(ranked))] {
		if m.unansweredSince.IsZero() || m.hasResponded() {
			m.unansweredSince = now
		}
		addresses = append(addresses, m.row.PeerAddress)
	}
	return addresses
}

// hasResponded reports whether the host has sent a status or a digest since this host subscribed to
// it.
func (m *member) hasResponded() bool {
	return m.statusAt.After(m.unansweredSince) || m.digestAt.After(m.unansweredSince)
}

// isSkipped reports whether the host is skipped because it has left a subscription unanswered.
func (m *member) isSkipped(now time.Time) bool {
	if m.unansweredSince.IsZero() || m.hasResponded() {
		return false
	}
	waited := now.Sub(m.unansweredSince)
	if waited > responseTimeout+skipDuration {
		m.unansweredSince = time.Time{}
		return false
	}
	return waited > responseTimeout
}
