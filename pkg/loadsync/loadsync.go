// Package loadsync copies loads of endpoints between the router and the roster: what this host
// has under way into its status, and what others sent into the choice of an endpoint. Time is
// passed in; it does no I/O.
package loadsync

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// Sync joins one host's router and roster. It is safe for concurrent use.
type Sync struct {
	router  *route.Router
	members *roster.Roster
	// self is this process's incarnation.
	self string
}

// New returns the join of a process's router and roster.
func New(router *route.Router, members *roster.Roster, self string) *Sync {
	return &Sync{router: router, members: members, self: self}
}

// LocalLoads returns what this host has under way, by endpoint.
func (s *Sync) LocalLoads() []roster.Load {
	var loads []roster.Load
	for _, l := range s.router.LocalLoads() {
		loads = append(loads, roster.Load{Endpoint: l.Endpoint.ID, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	return loads
}

// LocalLoadsAt returns what this host has under way at some endpoints.
func (s *Sync) LocalLoadsAt(endpoints []string) []roster.Load {
	var loads []roster.Load
	for _, id := range endpoints {
		own := s.router.LocalLoad(id)
		loads = append(loads, roster.Load{Endpoint: id, Running: own.Running, PrefillTokens: own.PrefillTokens})
	}
	return loads
}

// ApplyBrief applies what another process sends about single endpoints between its full
// datagrams.
func (s *Sync) ApplyBrief(incarnation string, sequence int64, loads []roster.Load, placed []route.Placement, now time.Time) {
	s.members.ApplyLoads(incarnation, sequence, loads, now)
	s.ApplyPlacements(placed)
	for _, l := range loads {
		if info, ok := s.router.Lookup(l.Endpoint); ok {
			s.report(info, s.members.Load(s.self, l.Endpoint, now), now)
		}
	}
}

// ApplyPlacements applies where another process sent prompts.
func (s *Sync) ApplyPlacements(placed []route.Placement) {
	for _, p := range placed {
		s.router.ApplyPlacement(p)
	}
}

// UpdateRouter hands the loads of all other processes to the router.
func (s *Sync) UpdateRouter(now time.Time) {
	loads := s.members.Loads(s.self, now)
	for _, info := range s.router.Endpoints() {
		s.report(info, loads[info.ID], now)
	}
}

// report hands the load of one endpoint to the router.
func (s *Sync) report(info endpoint.Info, others roster.Load, now time.Time) {
	s.router.ApplyReport(info.Ref(), engine.Report{
		Sequence:     now.UnixMilli(),
		Running:      others.Running + s.router.LocalLoad(info.ID).Running,
		Slots:        max(info.Slots, 1),
		QueuedTokens: others.PrefillTokens,
		QueuedAt:     others.ReceivedAt,
	})
}
