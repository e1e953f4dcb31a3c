package route

import (
	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/rollout"
)

// Parameters of the prefix index.
const (
	// blockBytes is how much of a prompt one hash covers.
	blockBytes = 256
	// blockTokens is the same in tokens, at four bytes a token.
	blockTokens = blockBytes / 4
	// MaxBlocks bounds the hashes of one prompt.
	MaxBlocks = 64
	// holders is how many endpoints are remembered for one prefix.
	holders = 4
	// indexLimit bounds the prefixes remembered for one target.
	indexLimit = 1 << 15
)

// HashPrefixes appends the hashes of a prompt's prefixes, one for every full block,
// to dst. Prompts that share a prefix share its hashes.
func HashPrefixes(dst []uint64, prompt []byte) []uint64 {
	digest := xxhash.New()
	for end := blockBytes; end <= len(prompt) && len(dst) < MaxBlocks; end += blockBytes {
		_, _ = digest.Write(prompt[end-blockBytes : end])
		dst = append(dst, digest.Sum64())
	}
	return dst
}

// prefixIndex remembers which endpoints were sent which prefixes. It is a hint: engines evict
// without notice, and events come late or not at all. Two generations bound it: when the young
// one is full the old one is dropped.
type prefixIndex struct {
	limit      int
	young, old map[uint64]holderSet
}

// holderSet is the latest endpoints a prefix was sent to, newest first.
type holderSet [holders]string

func newPrefixIndex(limit int) *prefixIndex {
	return &prefixIndex{limit: limit, young: map[uint64]holderSet{}, old: map[uint64]holderSet{}}
}

func (x *prefixIndex) get(hash uint64) (holderSet, bool) {
	if set, ok := x.young[hash]; ok {
		return set, true
	}
	set, ok := x.old[hash]
	return set, ok
}

func (x *prefixIndex) put(hash uint64, set holderSet) {
	if len(x.young) >= x.limit {
		x.old = x.young
		x.young = make(map[uint64]holderSet, x.limit/4)
	}
	x.young[hash] = set
}

// note remembers that an endpoint was sent a prompt.
func (x *prefixIndex) note(prefix []uint64, id string) {
	for _, hash := range prefix {
		set, _ := x.get(hash)
		if set[0] == id {
			x.put(hash, set)
			continue
		}
		x.put(hash, set.with(id))
	}
}

func (s holderSet) with(id string) holderSet {
	next := holderSet{id}
	n := 1
	for _, held := range s {
		if held != id && held != "" && n < holders {
			next[n] = held
			n++
		}
	}
	return next
}

// mostMarked is the slots that one prompt can mark: those that were sent its
// deepest shared prefix or its first, and the home of the shared one.
const mostMarked = 2*holders + 1

// marked is the slots whose cached is set, for one choice.
type marked struct {
	slots [mostMarked]*slot
	count int
}

func (m *marked) add(s *slot, cached int) {
	m.note(s)
	s.cached = max(s.cached, cached)
}

// prefer marks the home of a shared part that nobody is known to have read.
func (m *marked) prefer(home *slot, tokens int) {
	if home != nil {
		m.note(home)
		home.homeTokens = tokens
	}
}

// note remembers a slot that is about to be marked.
func (m *marked) note(s *slot) {
	if s.cached == 0 && m.count < mostMarked {
		m.slots[m.count] = s
		m.count++
	}
}

// markCached notes on each slot how many tokens of the prefix it has cached and returns the slots
// it marked. Only what was sent there counts: the preferred endpoint of a part that nobody has
// read has it no more than others. The group's lock is held.
func (g *group) markCached(q Query, byID map[string]*slot) marked {
	var m marked
	if len(q.PrefixHashes) == 0 {
		return m
	}
	known := false
	mark := func(prefix uint64) {
		set, _ := g.index.get(prefix)
		for _, id := range set {
			if s := byID[id]; s != nil && s.group == g {
				depth := g.index.depth(q.PrefixHashes, id)
				known = known || depth >= q.SharedPrefixes
				m.add(s, q.tokensOf(depth))
			}
		}
	}
	if q.SharedPrefixes > 0 {
		mark(q.PrefixHashes[q.SharedPrefixes-1])
	}
	mark(q.PrefixHashes[0])
	if q.SharedPrefixes > 0 && !known {
		m.prefer(g.rendezvous(q.PrefixHashes[q.SharedPrefixes-1], &q.Rule), q.tokensOf(q.SharedPrefixes))
	}
	return m
}

// tokensOf returns the tokens that the leading prefixes cover.
func (q Query) tokensOf(prefixes int) int {
	if q.PrefixTokens == nil || prefixes == 0 {
		return prefixes * blockTokens
	}
	return q.PrefixTokens[prefixes-1]
}

func (m *marked) clear() {
	for _, s := range m.slots[:m.count] {
		s.cached, s.homeTokens = 0, 0
	}
}

// depth returns how many leading prefixes an endpoint has: all up to the deepest
// that it was sent, since it had those before when it read that. Of a prefix that
// many share only the latest endpoints are remembered.
func (x *prefixIndex) depth(prefix []uint64, id string) int {
	for i := len(prefix) - 1; i >= 0; i-- {
		if set, ok := x.get(prefix[i]); ok && set.has(id) {
			return i + 1
		}
	}
	return 0
}

func (s holderSet) has(id string) bool {
	for _, held := range s {
		if held == id {
			return true
		}
	}
	return false
}

// rendezvous returns the endpoint that every entry holds to be the first for a
// prefix (Thaler and Ravishankar 1998), of those that a rule allows.
func (g *group) rendezvous(prefix uint64, rule *rollout.Rule) *slot {
	var best *slot
	var most uint64
	for _, s := range g.slots {
		if !rule.Allows(&s.info) {
			continue
		}
		if weight := mix(s.hash ^ prefix); best == nil || weight > most {
			best, most = s, weight
		}
	}
	return best
}

// mix spreads the bits of a hash (the finalizer of MurmurHash3).
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
