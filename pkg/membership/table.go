package membership

import (
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// BucketCount is the number of buckets of a table's digest.
const BucketCount = 16

// Table holds all nodes known to a process. It is safe for concurrent use.
type Table struct {
	mu        sync.RWMutex
	nodes     map[string]Node
	checksums [BucketCount]uint64
	// sortedNodes are the nodes sorted by ID, nil after a change until needed.
	sortedNodes []Node
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{nodes: map[string]Node{}} }

// BucketOf returns the bucket of the digest that an ID belongs to.
func BucketOf(id string) int { return int(xxhash.Sum64String(id) % BucketCount) }

// Merge merges the received state of a node, and returns the resulting state and whether that has
// changed.
func (t *Table) Merge(received Node) (Node, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	current, known := t.nodes[received.ID]
	merged, changed := received, true
	oldChecksum := uint64(0)
	if known {
		merged, changed = Merge(current, received)
		oldChecksum = current.checksum()
	}
	if changed {
		t.nodes[received.ID] = merged
		t.checksums[BucketOf(received.ID)] ^= oldChecksum ^ merged.checksum()
		t.sortedNodes = nil
	}
	return merged, changed
}

// Get returns what is known about one node.
func (t *Table) Get(id string) (Node, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n, ok := t.nodes[id]
	return n, ok
}

// Nodes returns all nodes sorted by ID. The slice must not be changed.
func (t *Table) Nodes() []Node {
	t.mu.RLock()
	nodes := t.sortedNodes
	t.mu.RUnlock()
	if nodes != nil {
		return nodes
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sortedNodes == nil {
		t.sortedNodes = make([]Node, 0, len(t.nodes))
		for _, n := range t.nodes {
			t.sortedNodes = append(t.sortedNodes, n)
		}
		sort.Slice(t.sortedNodes, func(i, j int) bool { return t.sortedNodes[i].ID < t.sortedNodes[j].ID })
	}
	return t.sortedNodes
}

// ServingNodes returns the nodes that callers may be sent to.
func (t *Table) ServingNodes() []Node {
	var list []Node
	for _, n := range t.Nodes() {
		if n.Serves() {
			list = append(list, n)
		}
	}
	return list
}

// Sums returns the digest: one checksum per bucket.
func (t *Table) Sums() [BucketCount]uint64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.checksums
}

// InBuckets returns the nodes of the selected buckets.
func (t *Table) InBuckets(selected [BucketCount]bool) []Node {
	var list []Node
	for _, n := range t.Nodes() {
		if selected[BucketOf(n.ID)] {
			list = append(list, n)
		}
	}
	return list
}

// OwnerOf returns the name of a node's incarnation as used in the table service.
func OwnerOf(id string, incarnation int64) string { return fmt.Sprintf("%s@%d", id, incarnation) }

// IncarnationOfOwner returns the incarnation in a name made by OwnerOf, 0 for any other name.
func IncarnationOfOwner(owner string) int64 {
	_, text, _ := strings.Cut(owner, "@")
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// NodeOfOwner returns the node ID in a name made by OwnerOf.
func NodeOfOwner(owner string) string {
	id, _, _ := strings.Cut(owner, "@")
	return id
}
