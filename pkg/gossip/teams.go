package gossip

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/limit"
	"ironhollow/pkg/roster"
)

// Parameters of figures of teams that do not fit one datagram.
const (
	// repeatFor is how long a changed figure is sent in each round: several datagrams in a row may
	// be lost.
	repeatFor = 1500 * time.Millisecond
	// inTurn is how many unchanged figures are sent in a round after the changed ones: new hosts
	// have none.
	inTurn = 12
	// maxFigures bounds the figures of a kind in a round.
	maxFigures = 160
)

// teamFigures chooses which limits and counts are sent in a round. One goroutine uses it.
type teamFigures struct {
	spent  turns[string, float64]
	counts turns[countKey, int]
}

// countKey names a count.
type countKey struct {
	window int64
	team   string
}

func newTeamFigures() *teamFigures {
	return &teamFigures{spent: newTurns[string, float64](), counts: newTurns[countKey, int]()}
}

// pick returns the figures to send in this round.
func (f *teamFigures) pick(update Update, now time.Time) ([]limit.TeamUsage, []roster.RequestCount) {
	spent := make([]limit.TeamUsage, 0, maxFigures)
	f.spent.round(len(update.TeamUsage), now, func(i int) (string, float64) { return update.TeamUsage[i].Team, update.TeamUsage[i].Admitted },
		func(i int) { spent = append(spent, update.TeamUsage[i]) })
	counts := make([]roster.RequestCount, 0, maxFigures)
	f.counts.round(len(update.Counts), now, func(i int) (countKey, int) {
		c := update.Counts[i]
		return countKey{c.Window, c.Team}, c.Started
	}, func(i int) { counts = append(counts, update.Counts[i]) })
	return spent, counts
}

// turns chooses among named figures: those that changed recently, and some others in turn.
type turns[K comparable, V comparable] struct {
	known map[K]figure[V]
	// next is where the turn among the unchanged goes on.
	next int
}

// figure is one as it was last seen.
type figure[V comparable] struct {
	value     V
	changedAt time.Time
}

func newTurns[K comparable, V comparable]() turns[K, V] {
	return turns[K, V]{known: map[K]figure[V]{}}
}

// round calls send for those of count figures that are sent in a round. The changed ones come
// first, from where the turn is, so that no bound leaves out the same for ever.
func (t *turns[K, V]) round(count int, now time.Time, at func(int) (K, V), send func(int)) {
	if count == 0 {
		return
	}
	first := t.next % count
	known := make(map[K]figure[V], count)
	sent, unchanged := 0, 0
	for step := range count {
		i := (first + step) % count
		key, value := at(i)
		seen, ok := t.known[key]
		if !ok || seen.value != value {
			seen = figure[V]{value, now}
		}
		known[key] = seen
		isChanged := now.Sub(seen.changedAt) < repeatFor
		switch {
		case sent >= maxFigures || !isChanged && unchanged >= inTurn:
			continue
		case !isChanged:
			unchanged++
			t.next = i + 1
		}
		sent++
		send(i)
	}
	t.known = known
	if unchanged == 0 {
		t.next = first + maxFigures
	}
}

// teamMessages encodes figures of teams into as many datagrams as they need.
func teamMessages(incarnation string, spent []limit.TeamUsage, counts []roster.RequestCount) ([][]byte, error) {
	p := packer{incarnation: incarnation, message: eventMessage{Incarnation: incarnation}}
	for _, s := range encodeSpent(spent) {
		p.add(s, func(m *eventMessage) { m.Spent = append(m.Spent, s) })
	}
	for _, c := range encodeCounts(counts) {
		p.add(c, func(m *eventMessage) { m.Counts = append(m.Counts, c) })
	}
	p.flush()
	return p.messages, p.err
}

// packer fills datagrams one after the other.
type packer struct {
	incarnation string
	message     eventMessage
	// size is of the message's items, in bytes.
	size     int
	messages [][]byte
	err      error
}

// headBytes is what a datagram holds at most besides its items: an incarnation and the heads of
// lists.
const headBytes = 200

// add puts an item into the message, or into the next one where it has no room.
func (p *packer) add(item any, put func(*eventMessage)) {
	encoded, err := cbor.Marshal(item)
	if err != nil {
		p.err = err
		return
	}
	if p.size+len(encoded) > maxBytes-headBytes {
		p.flush()
	}
	p.size += len(encoded)
	put(&p.message)
}

// flush ends a message that holds something.
func (p *packer) flush() {
	if p.size == 0 {
		return
	}
	data, err := cbor.Marshal(p.message)
	if err != nil {
		p.err = err
	}
	p.messages = append(p.messages, data)
	p.message = eventMessage{Incarnation: p.incarnation}
	p.size = 0
}

func encodeSpent(list []limit.TeamUsage) []spent {
	encoded := make([]spent, 0, len(list))
	for _, l := range list {
		encoded = append(encoded, spent{Team: l.Team, Admitted: int64(l.Admitted), Asked: float32(l.RequestedRate), Held: int64(l.Available), Settled: l.Synced})
	}
	return encoded
}

func decodeSpent(list []spent) []limit.TeamUsage {
	var decoded []limit.TeamUsage
	for _, l := range list {
		decoded = append(decoded, limit.TeamUsage{Team: l.Team, Admitted: float64(l.Admitted), RequestedRate: float64(l.Asked), Available: float64(l.Held), Synced: l.Settled})
	}
	return decoded
}

func encodeCounts(list []roster.RequestCount) []count {
	encoded := make([]count, 0, len(list))
	for _, c := range list {
		encoded = append(encoded, count{Window: c.Window, Team: c.Team, Begun: c.Started})
	}
	return encoded
}

func decodeCounts(list []count) []roster.RequestCount {
	var decoded []roster.RequestCount
	for _, c := range list {
		decoded = append(decoded, roster.RequestCount{Window: c.Window, Team: c.Team, Started: c.Begun})
	}
	return decoded
}
