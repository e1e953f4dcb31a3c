package route

import "time"

// Placement says that an endpoint was sent a prompt, and so has read its prefixes.
type Placement struct {
	Endpoint string
	// PrefixHashes is the prompt's shared prefixes, from its start.
	PrefixHashes []uint64
}

// mostPlaced bounds the placements of a target that wait to be sent; what is beyond is dropped.
const mostPlaced = 32

// place notes a prompt for the other entries. The group's lock is held.
func (g *group) place(q Query, id string) {
	if q.SharedPrefixes > 0 && len(g.placed) < mostPlaced {
		g.placed = append(g.placed, Placement{id, q.PrefixHashes[:q.SharedPrefixes]})
	}
}

// DrainPlacements returns where this entry sent prompts with shared prefixes since
// it was last asked.
func (r *Router) DrainPlacements() []Placement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Placement
	for _, g := range r.groups {
		g.mu.Lock()
		list = append(list, g.placed...)
		g.placed = nil
		g.mu.Unlock()
	}
	return list
}

// ApplyPlacement notes where another entry sent a prompt.
func (r *Router) ApplyPlacement(p Placement) {
	s, ok := r.slots()[p.Endpoint]
	if !ok {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.index.note(p.PrefixHashes, p.Endpoint)
}

// Parameters of what the other entries are sent at once.
const (
	// heavyPrefill is the prefill time from which on the other entries are sent a placement at
	// once: requests behind it would lose a tenth of a short objective.
	heavyPrefill = 30 * time.Millisecond
	// mostUrgent bounds the endpoints that wait to be sent; the next full round has what is beyond.
	mostUrgent = 64
)

// Urgent returns endpoints whose state the other entries are sent at once: this one has just made
// their queue longer than what the others know, or a notice of theirs came.
func (r *Router) Urgent() <-chan string { return r.urgent }

// MarkUrgent has the state of an endpoint sent to the other entries at once.
func (r *Router) MarkUrgent(id string) {
	select {
	case r.urgent <- id:
	default:
	}
}

// LocalLoad returns what this entry has under way at one endpoint.
func (r *Router) LocalLoad(id string) LocalLoad {
	s, ok := r.slots()[id]
	if !ok {
		return LocalLoad{}
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return LocalLoad{s.info, s.load.ownRunning, s.load.ownPrefill}
}
