package route

// Placement says that an endpoint was sent a prompt, and so has read its prefixes.
type Placement struct {
	Endpoint string
	// Prefix is the prompt's shared prefixes, from its start.
	Prefix []uint64
}

// mostPlaced bounds the placements of a target that wait to be told; what is
// beyond is not told.
const mostPlaced = 32

// place notes a prompt for the other entries. The group's lock is held.
func (g *group) place(q Query, id string) {
	if q.Shared > 0 && len(g.placed) < mostPlaced {
		g.placed = append(g.placed, Placement{id, q.Prefix[:q.Shared]})
	}
}

// TakePlacements returns where this entry sent prompts with shared prefixes since
// it was last asked.
func (r *Router) TakePlacements() []Placement {
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

// Place notes where another entry sent a prompt.
func (r *Router) Place(p Placement) {
	s, ok := r.slots()[p.Endpoint]
	if !ok {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.index.note(p.Prefix, p.Endpoint)
}
