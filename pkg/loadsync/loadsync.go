// Package loadsync copies endpoint loads between the router and the roster: the load of this host
// into its status, and the loads received from other hosts into the router's choice of an
// endpoint. Callers pass in the time; the package does no I/O.
package loadsync

import (
	"sync/atomic"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
)

// Sync connects the router and the roster of one host. It is safe for concurrent use.
type Sync struct {
	router  *route.Router
	members *roster.Roster
	// self is this process's incarnation.
	self string
	// differing is the services whose endpoints differ in speed; only SpeedChanges uses it.
	differing map[string]bool
	// speedReports and ignoredSpeedReports count the received reports on the speed of endpoints.
	speedReports, ignoredSpeedReports atomic.Int64
}

// New returns a Sync for a process's router and roster.
func New(router *route.Router, members *roster.Roster, self string) *Sync {
	return &Sync{router: router, members: members, self: self, differing: map[string]bool{}}
}

// LocalLoads returns the load of this host's requests at each endpoint.
func (s *Sync) LocalLoads() []roster.Load {
	var loads []roster.Load
	for _, l := range s.router.LocalLoads() {
		loads = append(loads, roster.Load{Endpoint: l.Endpoint.ID, Running: l.Running, PrefillTokens: l.PrefillTokens})
	}
	return loads
}

// LocalLoadsAt returns the load of this host's requests at the given endpoints.
func (s *Sync) LocalLoadsAt(endpoints []string) []roster.Load {
	var loads []roster.Load
	for _, id := range endpoints {
		local := s.router.LocalLoad(id)
		loads = append(loads, roster.Load{Endpoint: id, Running: local.Running, PrefillTokens: local.PrefillTokens})
	}
	return loads
}

// ApplyBrief applies the loads and placements that another process sends about single endpoints
// between its full datagrams.
func (s *Sync) ApplyBrief(incarnation string, sequence int64, loads []roster.Load, placements []route.Placement, now time.Time) {
	s.members.ApplyLoads(incarnation, sequence, loads, now)
	s.ApplyPlacements(placements)
	for _, l := range loads {
		if info, ok := s.router.Lookup(l.Endpoint); ok {
			s.reportLoad(info, s.members.Load(s.self, l.Endpoint, now), now)
		}
	}
}

// ApplyPlacements applies the endpoints to which another process sent prompts.
func (s *Sync) ApplyPlacements(placements []route.Placement) {
	for _, p := range placements {
		s.router.ApplyPlacement(p)
	}
}

// ApplySpeeds applies what the answers of another process show about the speed of endpoints.
func (s *Sync) ApplySpeeds(reports []route.SpeedReport, now time.Time) {
	used := s.router.ApplySpeeds(reports, now)
	s.speedReports.Add(int64(len(reports)))
	s.ignoredSpeedReports.Add(int64(len(reports) - used))
}

// UpdateRouter passes the loads of all other processes to the router.
func (s *Sync) UpdateRouter(now time.Time) {
	loads := s.members.Loads(s.self, now)
	for _, info := range s.router.Endpoints() {
		s.reportLoad(info, loads[info.ID], now)
	}
}

// reportLoad passes the load of one endpoint to the router.
func (s *Sync) reportLoad(info endpoint.Info, others roster.Load, now time.Time) {
	s.router.ApplyReport(info.Ref(), engine.Report{
		Sequence:     now.UnixMilli(),
		Running:      others.Running + s.router.LocalLoad(info.ID).Running,
		Slots:        max(info.Slots, 1),
		QueuedTokens: others.PrefillTokens,
		QueuedAt:     others.ReceivedAt,
	})
}
