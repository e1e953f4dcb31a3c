package route

import "time"

// Placement records that an endpoint was sent a prompt, and so has prefilled its prefixes.
type Placement struct {
	Endpoint string
	// PrefixHashes are the hashes of the prompt's shared prefixes, from its start.
	PrefixHashes []uint64
}

// maxPlacements bounds the placements of a target that wait to be sent. Further ones are dropped.
const maxPlacements = 32

// recordPlacement records the placement of a prompt for the other entries. The group's lock must
// be held.
func (g *group) recordPlacement(q Query, id string) {
	if q.SharedPrefixes > 0 && len(g.placements) < maxPlacements {
		g.placements = append(g.placements, Placement{id, q.PrefixHashes[:q.SharedPrefixes]})
	}
}

// DrainPlacements returns and clears the placements of this entry's prompts with shared prefixes
// since the last call.
func (r *Router) DrainPlacements() []Placement {
	r.mu.RLock()
	defer r.mu.RUnlock()
	var list []Placement
	for _, g := range r.groups {
		g.mu.Lock()
		list = append(list, g.placements...)
		g.placements = nil
		g.mu.Unlock()
	}
	return list
}

// ApplyPlacement records a placement by another entry.
func (r *Router) ApplyPlacement(p Placement) {
	s, ok := r.slots()[p.Endpoint]
	if !ok {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	s.group.prefixes.record(p.PrefixHashes, p.Endpoint)
}

// Parameters of the updates that are sent to the other entries at once.
const (
	// urgentPrefill is the prefill time from which an update is sent to the other entries at once:
	// requests queued behind it would lose a tenth of a short latency objective.
	urgentPrefill = 30 * time.Millisecond
	// maxUrgent bounds the endpoints that wait to be sent. Further ones are sent in the next full
	// round.
	maxUrgent = 64
)

// Urgent returns a channel of the endpoints whose state is sent to the other entries at once,
// because this entry has just made their queue longer than the others know, or because a notice
// from them has arrived.
func (r *Router) Urgent() <-chan string { return r.urgent }

// MarkUrgent marks an endpoint whose state is to be sent to the other entries at once.
func (r *Router) MarkUrgent(id string) {
	select {
	case r.urgent <- id:
	default:
	}
}

// LocalLoad returns the load of this entry's requests in flight at one endpoint.
func (r *Router) LocalLoad(id string) LocalLoad {
	s, ok := r.slots()[id]
	if !ok {
		return LocalLoad{}
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	return LocalLoad{s.info, s.load.localRunning, s.load.localPrefillTokens}
}
