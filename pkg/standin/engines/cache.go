package engines

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is the length of prompt text that one block of the prefix cache covers.
const blockBytes = 64

// prefixCache is a least-recently-used set of prompt prefixes.
type prefixCache struct {
	maxBlocks int
	recency   *list.List
	blocks    map[uint64]*list.Element
}

func newPrefixCache(maxBlocks int) *prefixCache {
	return &prefixCache{maxBlocks: maxBlocks, recency: list.New(), blocks: map[uint64]*list.Element{}}
}

// lookUpAndAdd returns how many leading tokens of text were cached, and adds all of text to
// the cache.
func (c *prefixCache) lookUpAndAdd(text string) int {
	cached := 0
	hit := true
	for end := blockBytes; end <= len(text); end += blockBytes {
		sum := xxhash.Sum64String(text[:end])
		element, ok := c.blocks[sum]
		hit = hit && ok
		if hit {
			cached = end / bytesPerToken
		}
		if ok {
			c.recency.MoveToFront(element)
			continue
		}
		c.blocks[sum] = c.recency.PushFront(sum)
	}
	for c.recency.Len() > c.maxBlocks {
		oldest := c.recency.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.recency.Remove(oldest)
	}
	return cached
}

// cacheText returns the text under which a stream is cached: its prompt and the given number
// of generated tokens. Each token is represented by bytesPerToken bytes, so that lengths in
// tokens match.
func (s *stream) cacheText(tokens int) string {
	var b strings.Builder
	b.WriteString(s.spec.messages)
	for b.Len()%bytesPerToken != 0 {
		b.WriteByte(' ')
	}
	for i := range tokens {
		h := xxhash.Sum64String(token(s.key, i))
		b.Write([]byte{byte(h), byte(h >> 8), byte(h >> 16), byte(h >> 24)})
	}
	return b.String()
}
