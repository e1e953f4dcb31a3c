// Package config keeps the configuration in force in a process. It only ever
// goes forward: a change that does not follow on the revision held is refused,
// whoever sent it and in whatever order changes arrive.
package config

import (
	"sync"
	"sync/atomic"

	"ironhollow/pkg/fleet"
)

// Change is one revision as the sections it changed.
type Change struct {
	// Revision is greater than 0.
	Revision int64
	// Snapshot says that the sections are all there are, so that the change may
	// follow on any earlier revision.
	Snapshot bool
	Sections []fleet.Section
}

// keptChanges is how many changes a holder keeps for peers that lag behind.
const keptChanges = 128

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[fleet.Config]

	mu       sync.Mutex
	sections map[string]fleet.Section
	// changes are the latest, consecutive and ending at the current revision.
	changes []Change
	changed chan struct{}
}

// NewHolder returns a holder with revision 0, which serves nothing.
func NewHolder() *Holder {
	h := &Holder{sections: map[string]fleet.Section{}, changed: make(chan struct{})}
	empty, err := fleet.Build(0, nil)
	if err != nil {
		panic(err) // No sections, no clashes.
	}
	h.current.Store(empty)
	return h
}

// Current returns the configuration in force; never nil.
func (h *Holder) Current() *fleet.Config { return h.current.Load() }

// Changed returns a channel that is closed at the next change of revision.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Sections returns the sections in force, sorted, and their revision.
func (h *Holder) Sections() ([]fleet.Section, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sorted(h.sections), h.Current().Revision()
}

func sorted(sections map[string]fleet.Section) []fleet.Section {
	list := make([]fleet.Section, 0, len(sections))
	for _, s := range sections {
		list = append(list, s)
	}
	fleet.Sort(list)
	return list
}

// Apply puts a change in force and reports whether it did. A change that is
// not newer, or that leaves a gap, changes nothing. A change that does not
// build is an error: it was checked before it was written, so that is a fault
// of this version of the program, and the old revision stays in force.
func (h *Holder) Apply(c Change) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.Current().Revision()
	if c.Revision <= held || (!c.Snapshot && c.Revision != held+1) {
		return false, nil
	}
	next := map[string]fleet.Section{}
	if !c.Snapshot {
		for id, s := range h.sections {
			next[id] = s
		}
	}
	for _, s := range c.Sections {
		if s.Removed() {
			delete(next, s.ID())
			continue
		}
		next[s.ID()] = s
	}
	built, err := fleet.Build(c.Revision, sorted(next))
	if err != nil {
		return false, err
	}
	h.remember(c)
	h.sections = next
	h.current.Store(built)
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

func (h *Holder) remember(c Change) {
	if c.Snapshot {
		// What came between is not known, so nothing older can be handed on.
		h.changes = nil
		return
	}
	h.changes = append(h.changes, c)
	if len(h.changes) > keptChanges {
		h.changes = h.changes[len(h.changes)-keptChanges:]
	}
}

// ChangesAfter returns the changes a peer at the given revision lacks: one by one if
// they are kept, else the whole. It is empty if the peer lacks nothing.
func (h *Holder) ChangesAfter(revision int64) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	held := h.Current().Revision()
	if revision >= held {
		return nil
	}
	missing := int(held - revision)
	if missing <= len(h.changes) {
		return append([]Change(nil), h.changes[len(h.changes)-missing:]...)
	}
	return []Change{{Revision: held, Snapshot: true, Sections: sorted(h.sections)}}
}
