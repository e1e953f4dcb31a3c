package membership

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is how many parts a table's digest has.
const BucketCount = 16

// Table keeps all nodes known to a process. It is safe for concurrent use.
type Table struct {
	mu    sync.RWMutex
	nodes map[string]Node
	sums  [BucketCount]uint64
	// view is made anew after a change; nil until asked for.
	view []Node
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{nodes: map[string]Node{}} }

// BucketOf returns the part of the digest an id belongs to.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % BucketCount) }

// Merge takes in what was heard and returns what is now known, and whether
// that was news.
func (t *Table) Merge(heard Node) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	held, known := t.nodes[heard.ID]
	next, isNews := heard, true
	oldSum := uint64(0)
	if known {
		next, isNews = Merge(held, heard)
		oldSum = held.sum()
	}
	if isNews {
		t.nodes[heard.ID] = next
		t.sums[BucketOf(heard.ID)] ^= oldSum ^ next.sum()
		t.view = nil
	}
	return next, isNews
}

// Get returns what is known of one node.
func (t *Table) Get(id string) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.nodes[id]
	return n, ok
}

// Nodes returns all nodes in the order of their ids; not to be changed.
func (t *Table) Nodes() []Node {
	t.mu.RLock()
	view := t.view
	t.mu.RUnlock()
	if view != nil {
		return view
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.view == nil {
		t.view = make([]Node, 0, len(t.nodes))
		for _, n := range t.nodes {
			t.view = append(t.view, n)
		}
		sort.Slice(t.view, func(i, j int) bool { return t.view[i].ID < t.view[j].ID })
	}
	return t.view
}

// ServingNodes returns the nodes callers may be sent to.
func (t *Table) ServingNodes() []Node {
	var list []Node
	for _, n := range t.Nodes() {
		if n.Serves() {
			list = append(list, n)
		}
	}
	return list
}

// Sums returns the digest, part by part.
func (t *Table) Sums() [BucketCount]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.sums
}

// InBuckets returns the nodes of the parts for which want is true.
func (t *Table) InBuckets(want [BucketCount]bool) []Node {
	var list []Node
	for _, n := range t.Nodes() {
		if want[BucketOf(n.ID)] {
			list = append(list, n)
		}
	}
	return list
}

// OwnerOf names an incarnation of a node in the table service.
func OwnerOf(id string, incarnation int64) string { return fmt.Sprintf("%s@%d", id, incarnation) }

// IncarnationOfOwner returns the incarnation of a name made by OwnerOf, 0 if it
// is none.
func IncarnationOfOwner(owner string) int64 {
	_, text, _ := strings.Cut(owner, "@")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// NodeOfOwner returns the node of a name made by OwnerOf.
func NodeOfOwner(owner string) string {
	id, _, _ := strings.Cut(owner, "@")
	return id
}
