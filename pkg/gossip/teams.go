package gossip

import (
	"math"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/limit"
	"ironhollow/pkg/roster"
)

// Parameters for team statistics that do not fit in one datagram.
const (
	// resendDuration is how long a changed value is sent in each round, as several consecutive
	// datagrams may be lost.
	resendDuration = 1500 * time.Millisecond
	// maxUnchanged is the number of unchanged values sent in a round after the changed ones, for
	// new hosts that have none.
	maxUnchanged = 12
	// maxPerRound bounds the values of each kind sent in a round.
	maxPerRound = 160
)

// teamStatsSelector selects the team usage and request counts to send in a round. It is not safe
// for concurrent use.
type teamStatsSelector struct {
	usage  rotation[string, float64]
	counts rotation[countKey, int]
}

// countKey identifies a request count.
type countKey struct {
	window int64
	team   string
}

func newTeamStatsSelector() *teamStatsSelector {
	return &teamStatsSelector{usage: newRotation[string, float64](), counts: newRotation[countKey, int]()}
}

// pick returns the values to send in this round.
func (s *teamStatsSelector) pick(update Update, now time.Time) ([]limit.TeamUsage, []roster.RequestCount) {
	usage := make([]limit.TeamUsage, 0, maxPerRound)
	s.usage.selectRound(len(update.TeamUsage), now, func(i int) (string, float64) { return update.TeamUsage[i].Team, update.TeamUsage[i].Admitted },
		func(i int) { usage = append(usage, update.TeamUsage[i]) })
	counts := make([]roster.RequestCount, 0, maxPerRound)
	s.counts.selectRound(len(update.Counts), now, func(i int) (countKey, int) {
		c := update.Counts[i]
		return countKey{c.Window, c.Team}, c.Started
	}, func(i int) { counts = append(counts, update.Counts[i]) })
	return usage, counts
}

// rotation selects keyed values: those that changed recently, and some of the others in turn.
type rotation[K comparable, V comparable] struct {
	tracked map[K]trackedValue[V]
	// next is the index from which unchanged values are sent next.
	next int
}

// trackedValue is a value and the time of its last change.
type trackedValue[V comparable] struct {
	value     V
	changedAt time.Time
}

func newRotation[K comparable, V comparable]() rotation[K, V] {
	return rotation[K, V]{tracked: map[K]trackedValue[V]{}}
}

// selectRound calls send for those of count values that are sent in this round: all changed ones
// and up to maxUnchanged others, at most maxPerRound in all. It starts at the rotation's next
// index, so that the bound does not always skip the same values.
func (r *rotation[K, V]) selectRound(count int, now time.Time, at func(int) (K, V), send func(int)) {
	if count == 0 {
		return
	}
	first := r.next % count
	tracked := make(map[K]trackedValue[V], count)
	sent, unchanged := 0, 0
	for step := range count {
		i := (first + step) % count
		key, value := at(i)
		current, ok := r.tracked[key]
		if !ok || current.value != value {
			current = trackedValue[V]{value, now}
		}
		tracked[key] = current
		isChanged := now.Sub(current.changedAt) < resendDuration
		switch {
		case sent >= maxPerRound || !isChanged && unchanged >= maxUnchanged:
			continue
		case !isChanged:
			unchanged++
			r.next = i + 1
		}
		sent++
		send(i)
	}
	r.tracked = tracked
	if unchanged == 0 {
		r.next = first + maxPerRound
	}
}

// teamMessages encodes team statistics into as many datagrams as needed.
func teamMessages(incarnation string, usage []limit.TeamUsage, counts []roster.RequestCount) ([][]byte, error) {
	p := packer{incarnation: incarnation, message: mapMessage{Incarnation: incarnation}}
	for _, u := range encodeTeamUsage(usage) {
		p.add(u, func(m *mapMessage) { m.TeamUsage = append(m.TeamUsage, u) })
	}
	for _, c := range encodeCounts(counts) {
		p.add(c, func(m *mapMessage) { m.Counts = append(m.Counts, c) })
	}
	p.flush()
	return p.messages, p.err
}

// packer fills datagrams one after the other.
type packer struct {
	incarnation string
	message     mapMessage
	// size is the encoded size of the message's items in bytes.
	size     int
	messages [][]byte
	err      error
}

// maxHeaderBytes bounds the size of a datagram without its items: an incarnation and list
// headers.
const maxHeaderBytes = 200

// add adds an item to the message, or to the next one if it does not fit.
func (p *packer) add(item any, appendTo func(*mapMessage)) {
	encoded, err := cbor.Marshal(item)
	if err != nil {
		p.err = err
		return
	}
	if p.size+len(encoded) > maxBytes-maxHeaderBytes {
		p.flush()
	}
	p.size += len(encoded)
	appendTo(&p.message)
}

// flush encodes the message if it has items, and starts the next one.
func (p *packer) flush() {
	if p.size == 0 {
		return
	}
	data, err := cbor.Marshal(p.message)
	if err != nil {
		p.err = err
	}
	p.messages = append(p.messages, data)
	p.message = mapMessage{Incarnation: p.incarnation}
	p.size = 0
}

func encodeTeamUsage(list []limit.TeamUsage) []wireTeamUsage {
	encoded := make([]wireTeamUsage, 0, len(list))
	for _, u := range list {
		encoded = append(encoded, wireTeamUsage{Team: u.Team, Admitted: int64(u.Admitted), RequestedRate: float32(u.RequestedRate), Available: int64(u.Available), Synced: u.Synced})
	}
	return encoded
}

// Bounds of team usage in a datagram. Sums over all hosts remain exact enough to admit single requests.
const (
	maxAdmitted = 1_000_000_000_000_000
	maxRate     = 1e12
)

// decodeTeamUsage leaves out usage that no host can have.
func decodeTeamUsage(list []wireTeamUsage) []limit.TeamUsage {
	var decoded []limit.TeamUsage
	for _, u := range list {
		rate := float64(u.RequestedRate)
		if u.Admitted < 0 || u.Admitted > maxAdmitted || u.Available < 0 || u.Available > maxAdmitted || math.IsNaN(rate) || rate < 0 || rate > maxRate {
			continue
		}
		decoded = append(decoded, limit.TeamUsage{Team: u.Team, Admitted: float64(u.Admitted), RequestedRate: rate, Available: float64(u.Available), Synced: u.Synced})
	}
	return decoded
}

func encodeCounts(list []roster.RequestCount) []wireRequestCount {
	encoded := make([]wireRequestCount, 0, len(list))
	for _, c := range list {
		encoded = append(encoded, wireRequestCount{Window: c.Window, Team: c.Team, Started: c.Started})
	}
	return encoded
}

func decodeCounts(list []wireRequestCount) []roster.RequestCount {
	var decoded []roster.RequestCount
	for _, c := range list {
		decoded = append(decoded, roster.RequestCount{Window: c.Window, Team: c.Team, Started: c.Started})
	}
	return roster.ValidCounts(decoded)
}
