// Package config holds the configuration in force in a process, and stores it in
// the table service. The revision only increases: a change that does not follow
// the current revision is ignored, whatever its sender and the order of arrival.
package config

import (
	"sync"
	"sync/atomic"

	"ironhollow/pkg/fleet"
)

// Change is one revision with the sections that it changes.
type Change struct {
	// Revision is greater than 0.
	Revision int64
	// Snapshot means that Sections is the complete configuration, so that the
	// change can be applied to any earlier revision.
	Snapshot bool
	Sections []fleet.Section
}

// maxRetainedChanges is how many changes a Holder keeps for peers that are behind.
const maxRetainedChanges = 128

// Holder holds the configuration in force. It is safe for concurrent use.
type Holder struct {
	current atomic.Pointer[fleet.Config]

	mu       sync.Mutex
	sections map[string]fleet.Section
	// changes are the latest changes, without gaps up to the current revision.
	changes []Change
	changed chan struct{}
}

// NewHolder returns a Holder with an empty configuration at revision 0.
func NewHolder() *Holder {
	h := &Holder{sections: map[string]fleet.Section{}, changed: make(chan struct{})}
	empty, err := fleet.Build(0, nil)
	if err != nil {
		panic(err) // An empty configuration is always valid.
	}
	h.current.Store(empty)
	return h
}

// Current returns the configuration in force. It is never nil.
func (h *Holder) Current() *fleet.Config { return h.current.Load() }

// Changed returns a channel that is closed when the revision changes next.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Sections returns the sections in force, sorted, and the current revision.
func (h *Holder) Sections() ([]fleet.Section, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return sortedSections(h.sections), h.Current().Revision()
}

func sortedSections(sections map[string]fleet.Section) []fleet.Section {
	list := make([]fleet.Section, 0, len(sections))
	for _, s := range sections {
		list = append(list, s)
	}
	fleet.Sort(list)
	return list
}

// Apply puts a change in force and reports whether it did. A change that is not
// newer, or that leaves a gap in the revisions, is ignored. A change from which no
// valid configuration can be built is an error and the old revision stays in
// force. Changes are checked before they are written to the store, so this error
// is a fault of this version of the program.
func (h *Holder) Apply(c Change) (bool, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Current().Revision()
	if c.Revision <= current || (!c.Snapshot && c.Revision != current+1) {
		return false, nil
	}
	next := map[string]fleet.Section{}
	if !c.Snapshot {
		for id, s := range h.sections {
			next[id] = s
		}
	}
	for _, s := range c.Sections {
		if s.IsRemoval() {
			delete(next, s.ID())
			continue
		}
		next[s.ID()] = s
	}
	built, err := fleet.Build(c.Revision, sortedSections(next))
	if err != nil {
		return false, err
	}
	h.retain(c)
	h.sections = next
	h.current.Store(built)
	close(h.changed)
	h.changed = make(chan struct{})
	return true, nil
}

func (h *Holder) retain(c Change) {
	if c.Snapshot {
		// The changes between the old revision and the snapshot are not known, so
		// the retained ones are no longer consecutive.
		h.changes = nil
		return
	}
	h.changes = append(h.changes, c)
	if len(h.changes) > maxRetainedChanges {
		h.changes = h.changes[len(h.changes)-maxRetainedChanges:]
	}
}

// ChangesAfter returns the changes that a peer at the given revision lacks: the
// single changes if they are all retained, else one snapshot. It is empty if the
// peer is up to date.
func (h *Holder) ChangesAfter(revision int64) []Change {
	h.mu.Lock()
	defer h.mu.Unlock()
	current := h.Current().Revision()
	if revision >= current {
		return nil
	}
	missing := int(current - revision)
	if missing <= len(h.changes) {
		return append([]Change(nil), h.changes[len(h.changes)-missing:]...)
	}
	return []Change{{Revision: current, Snapshot: true, Sections: sortedSections(h.sections)}}
}
