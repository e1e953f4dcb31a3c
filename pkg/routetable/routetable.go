// Package routetable holds the routes, services and teams of one configuration version for raw HTTP
// forwarding: which service handles a host and path, which requests may be repeated, the time
// limits and who may call. A Table is immutable once built and is safe for concurrent use.
package routetable

import (
	"net"
	"slices"
	"sort"
	"strings"
	"time"

	"ironhollow/pkg/fleet"
)

// Kind determines how often the requests of a route may run and how they are answered.
type Kind int

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Once requests run at most once.
	Once
	// Stream requests are answered with server-sent events.
	Stream
)

// Split is the share of a route's requests that goes to one service.
type Split struct {
	Service string
	// Weight is relative to the other splits of the route and above 0.
	Weight int
}

// Route assigns the requests of a host and path prefix to services.
type Route struct {
	Name string
	// Host is in lower case, without a port.
	Host string
	// Prefix starts and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits is never empty.
	Splits []Split
	// Timeout is the total time for which a request may be held.
	Timeout time.Duration
	// LatencyObjective is the time within which a response, or the first event of a stream, counts
	// as on time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest gap between two events of a stream that counts as on time; 0 if
	// the route is not a stream.
	MaxEventGap time.Duration
	// MaxAttempts is the maximum number of endpoints that a request is sent to, at least 1.
	MaxAttempts int
	// Priority ranks requests; 0 is the highest.
	Priority int
	// Public routes require no key.
	Public bool
	// Resumable streams can continue at another endpoint after their last event.
	Resumable bool
}

// LeadsTo reports whether the route sends requests to a service.
func (r *Route) LeadsTo(service string) bool {
	return slices.ContainsFunc(r.Splits, func(s Split) bool { return s.Service == service })
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a group of endpoints that routes refer to by name.
type Service struct {
	Name string
	// MaxConnections is the number of connections that an endpoint accepts from all entry hosts
	// together; 0 for no limit.
	MaxConnections int
	// Slots is the number of requests that an engine runs concurrently; 0 for a plain service.
	Slots int
	// MemoryTokens is the number of tokens that an engine holds in memory; 0 if not known.
	MemoryTokens int
	// TokensPerEvent is the number of tokens in one event of a stream; 1 if not known.
	TokensPerEvent int
	// Scaling is nil for services of fixed size.
	Scaling *Scaling
	// Moves is nil if the endpoints offer no moves of running requests.
	Moves *Moves
}

// Moves describes how the endpoints of a service move the memory of a running request to each other.
// All values are above 0.
type Moves struct {
	// BytesPerToken is the memory of one token of a request.
	BytesPerToken float64
	// BytesPerSecond is the bandwidth of an endpoint's link for moves.
	BytesPerSecond float64
	// HandleLifetime is how long an endpoint keeps a copy that is not used.
	HandleLifetime time.Duration
}

// Scaling bounds the number of endpoints of a service that may be ordered and gives their prices.
type Scaling struct {
	// MinEndpoints and MaxEndpoints bound the number of endpoints in one data centre, on-demand and
	// reclaimable together.
	MinEndpoints, MaxEndpoints int
	// BootTime is the time from an order to the first request served.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of the on-demand price.
	ReclaimablePrice float64
	// Prices holds the relative price of an endpoint by data centre.
	Prices map[string]float64
}

// Team is a group of callers with its keys and limits.
type Team struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
	// Rate, per second, and Burst limit what the team sends to all entry hosts together: tokens if
	// ByTokens is set, otherwise requests. 0 is no limit.
	Rate, Burst float64
	ByTokens    bool
	// DefaultTokens is the number of tokens assumed for a request that states none.
	DefaultTokens int
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes, MaxBodyBytes int64
	HeaderTimeout, IdleTimeout   time.Duration
}

// Spec is a configuration version as read from the store.
type Spec struct {
	Version  int64
	Routes   []Route
	Services []Service
	Teams    []Team
	// WithoutKeys is set if no route requires a key, and then there are no teams. It is not implied by an
	// empty list of teams: without a team there is no valid key.
	WithoutKeys bool
	Limits      Limits
}

// Table is a Spec with indexes for lookups.
type Table struct {
	spec     Spec
	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[string]*Service
}

// New builds a table. spec must not be changed afterwards.
func New(spec Spec) *Table {
	t := &Table{
		spec:     spec,
		byHost:   map[string][]*Route{},
		byKey:    map[string]*Team{},
		services: map[string]*Service{},
	}
	for i := range spec.Routes {
		r := &spec.Routes[i]
		t.byHost[r.Host] = append(t.byHost[r.Host], r)
	}
	for _, routes := range t.byHost {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range spec.Teams {
		for _, key := range spec.Teams[i].Keys {
			// The empty key is that of callers who send none.
			if key != "" {
				t.byKey[fleet.HashKey(key)] = &spec.Teams[i]
			}
		}
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the bounds on what a caller may send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Services returns all services. The slice must not be changed.
func (t *Table) Services() []Service { return t.spec.Services }

// Routes returns all routes, which must not be changed.
func (t *Table) Routes() []Route { return t.spec.Routes }

// Service returns the service with a name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RequiresKeys reports whether routes that are not public require a key.
func (t *Table) RequiresKeys() bool { return !t.spec.WithoutKeys }

// TokenRate returns the total number of tokens per second that all teams may request. ok is false
// if there are no teams or if one of them has no limit in tokens.
func (t *Table) TokenRate() (rate float64, ok bool) {
	for _, team := range t.spec.Teams {
		if team.Rate <= 0 || !team.ByTokens {
			return 0, false
		}
		rate += team.Rate
	}
	return rate, len(t.spec.Teams) > 0
}

// Team returns the team that a bearer key belongs to. Keys are looked up by digest, so that the
// time taken reveals nothing about them.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.byKey[fleet.HashKey(key)]
	return team, ok
}

// Match returns the route of a host with the longest prefix of the path. The host may include a
// port. The path is matched as sent, with its escapes.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[normalizeHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func normalizeHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a request, chosen by weight; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	offset := int(draw * float64(total))
	for _, s := range r.Splits {
		if offset < s.Weight {
			return s.Service
		}
		offset -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// String returns the name of the kind.
func (k Kind) String() string {
	switch k {
	case Safe:
		return "safe"
	case Once:
		return "once"
	case Stream:
		return "stream"
	default:
		return "unknown"
	}
}
