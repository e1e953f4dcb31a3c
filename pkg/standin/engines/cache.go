package engines

import (
	"container/list"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// blockBytes is how much of a prompt one block of the prefix cache covers.
const blockBytes = 64

// prefixCache is a least-recently-used set of prompt prefixes.
type prefixCache struct {
	limit  int
	order  *list.List
	blocks map[uint64]*list.Element
}

func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, order: list.New(), blocks: map[uint64]*list.Element{}}
}

// use returns how many leading tokens of text were cached, and caches it whole.
func (c *prefixCache) use(text string) int {
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
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[sum] = c.order.PushFront(sum)
	}
	for c.order.Len() > c.limit {
		oldest := c.order.Back()
		delete(c.blocks, oldest.Value.(uint64))
		c.order.Remove(oldest)
	}
	return cached
}

// text is a stream's prompt followed by as much of its answer, at the rule of
// thumb of bytesPerToken for each token so that lengths count the same.
func (s *stream) text(tokens int) string {
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
