package route

import (
	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/rollout"
)

// Parameters of the prefix index.
const (
	// blockBytes is the number of bytes of a prompt that one hash covers.
	blockBytes = 256
	// blockTokens is the size of a block in tokens, at four bytes per token.
	blockTokens = blockBytes / 4
	// MaxBlocks bounds the number of hashes of one prompt.
	MaxBlocks = 64
	// maxHolders is the number of endpoints stored for one prefix.
	maxHolders = 4
	// maxIndexSize bounds the prefixes in one generation of a target's index.
	maxIndexSize = 1 << 15
)

// HashPrefixes appends to dst the hashes of a prompt's prefixes, one for every full block. Prompts
// with a common prefix have the same hashes for it.
func HashPrefixes(dst []uint64, prompt []byte) []uint64 {
	digest := xxhash.New()
	for end := blockBytes; end <= len(prompt) && len(dst) < MaxBlocks; end += blockBytes {
		_, _ = digest.Write(prompt[end-blockBytes : end])
		dst = append(dst, digest.Sum64())
	}
	return dst
}

// prefixIndex stores which endpoints were sent which prefixes. It is a hint: engines evict without
// notice, and cache events arrive late or not at all. Two generations bound its size: when the
// young one is full, it replaces the old one.
type prefixIndex struct {
	limit      int
	young, old map[uint64]holderSet
}

// holderSet is the latest endpoints that a prefix was sent to, newest first.
type holderSet [maxHolders]string

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

// record stores that an endpoint was sent a prompt with the given prefixes.
func (x *prefixIndex) record(hashes []uint64, id string) {
	for _, hash := range hashes {
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
		if held != id && held != "" && n < maxHolders {
			next[n] = held
			n++
		}
	}
	return next
}

// maxMarked bounds the slots that one prompt can mark: those that were sent its deepest shared
// prefix or its first prefix, and the home of the shared one.
const maxMarked = 2*maxHolders + 1

// markedSlots are the slots whose cachedTokens or homeTokens is set, for one choice.
type markedSlots struct {
	slots [maxMarked]*slot
	count int
}

func (m *markedSlots) add(s *slot, cached int) {
	m.remember(s)
	s.cachedTokens = max(s.cachedTokens, cached)
}

// markHome marks the home of a shared prefix that no endpoint is known to have cached.
func (m *markedSlots) markHome(home *slot, tokens int) {
	if home != nil {
		m.remember(home)
		home.homeTokens = tokens
	}
}

// remember adds a slot that is about to be marked.
func (m *markedSlots) remember(s *slot) {
	if s.cachedTokens == 0 && m.count < maxMarked {
		m.slots[m.count] = s
		m.count++
	}
}

// markCached sets on each slot the number of tokens of the prefix that it has cached, and returns
// the marked slots. Only prefixes that an endpoint was sent count: the home of a prefix that no
// endpoint has prefilled does not have it cached either. The group's lock must be held.
func (g *group) markCached(q Query, byID map[string]*slot, leaving bool) markedSlots {
	var m markedSlots
	if len(q.PrefixHashes) == 0 {
		return m
	}
	known := false
	mark := func(prefix uint64) {
		set, _ := g.prefixes.get(prefix)
		for _, id := range set {
			if s := byID[id]; s != nil && s.group == g && s.leaving == leaving {
				depth := g.prefixes.depth(q.PrefixHashes, id)
				known = known || depth >= q.SharedPrefixes
				m.add(s, q.tokensOf(depth))
			}
		}
	}
	if q.SharedPrefixes > 0 {
		mark(q.PrefixHashes[q.SharedPrefixes-1])
	}
	mark(q.PrefixHashes[0])
	if q.SharedPrefixes > 0 && !known && !leaving {
		m.markHome(g.rendezvous(q.PrefixHashes[q.SharedPrefixes-1], &q.Rule), q.tokensOf(q.SharedPrefixes))
	}
	return m
}

// tokensOf returns the number of tokens that the leading prefixes cover.
func (q Query) tokensOf(prefixes int) int {
	if q.PrefixTokens == nil || prefixes == 0 {
		return prefixes * blockTokens
	}
	return q.PrefixTokens[prefixes-1]
}

func (m *markedSlots) clear() {
	for _, s := range m.slots[:m.count] {
		s.cachedTokens, s.homeTokens = 0, 0
	}
}

// depth returns the number of leading prefixes that an endpoint has: all up to the deepest that it
// was sent, as a prompt includes its shorter prefixes. Shorter prefixes may not list the endpoint
// themselves, because only the latest endpoints are stored for a prefix that many prompts share.
func (x *prefixIndex) depth(hashes []uint64, id string) int {
	for i := len(hashes) - 1; i >= 0; i-- {
		if set, ok := x.get(hashes[i]); ok && set.has(id) {
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

// rendezvous returns the home of a prefix among the endpoints that a rule allows. Every entry
// computes the same one, by rendezvous hashing (Thaler and Ravishankar 1998).
func (g *group) rendezvous(prefix uint64, rule *rollout.Rule) *slot {
	var best *slot
	var maxWeight uint64
	for _, s := range g.slots {
		if !rule.Allows(&s.info) {
			continue
		}
		if weight := mix(s.hash ^ prefix); best == nil || weight > maxWeight {
			best, maxWeight = s, weight
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
