package engines

import (
	"container/list"

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
