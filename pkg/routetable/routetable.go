// Package routetable holds the routes, services and teams of one configuration
// version for raw HTTP forwarding: which service answers a host and path, what
// may be repeated there, for how long and for whom. A Table is built once, is
// never changed, and is safe for concurrent use.
package routetable

import (
	"net"
	"sort"
	"strings"
	"time"

	"ironhollow/pkg/fleet"
)

// Kind says what may be done with the requests of a route.
type Kind int

// The kinds of route.
const (
	// Safe requests may run any number of times.
	Safe Kind = iota + 1
	// Once requests run once at most.
	Once
	// Stream requests are answered by server-sent events.
	Stream
)

// Split is one service's part of a route's requests.
type Split struct {
	Service string
	// Weight is relative to the others of the route, above 0.
	Weight int
}

// Route is one entry of the table.
type Route struct {
	Name string
	// Host is lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Splits is never empty.
	Splits []Split
	// Timeout is how long a request may be held in all.
	Timeout time.Duration
	// LatencyObjective is the time within which an answer, or the first event of a
	// stream, is in time.
	LatencyObjective time.Duration
	// MaxEventGap is the longest pause between events in time, 0 if not a stream.
	MaxEventGap time.Duration
	// MaxAttempts is the most endpoints a request is sent to, at least 1.
	MaxAttempts int
	// Priority ranks requests; 0 goes first.
	Priority int
	// Public routes ask for no key.
	Public bool
	// Resumable streams can go on at another endpoint after their last event.
	Resumable bool
}

// MayRepeat reports whether a request may run more than once.
func (r *Route) MayRepeat() bool {
	return r.Kind == Safe || r.Kind == Stream && r.Resumable
}

// Service is a group of endpoints that routes name.
type Service struct {
	Name string
	// MaxConnections is how many connections an endpoint accepts from all entry
	// hosts together, 0 for no bound.
	MaxConnections int
	// Slots is how many requests an engine runs at once, 0 for a plain service.
	Slots int
	// TokensPerEvent is how many tokens an event of a stream holds, 1 if not known.
	TokensPerEvent int
	// Scaling is nil for services whose size is fixed.
	Scaling *Scaling
}

// Scaling says how many endpoints of a service may be ordered and their price.
type Scaling struct {
	// MinEndpoints and MaxEndpoints bound the endpoints of one data centre, both classes together.
	MinEndpoints, MaxEndpoints int
	// BootTime is the time from an order to the first request served.
	BootTime time.Duration
	// ReclaimablePrice is the price of a reclaimable endpoint as a share of the
	// others' price.
	ReclaimablePrice float64
	// Prices holds the relative price of an endpoint by data centre.
	Prices map[string]float64
}

// Team is one team of callers.
type Team struct {
	Name string
	Keys []string
	// Priority replaces the route's if HasPriority is true.
	Priority    int
	HasPriority bool
	// Rate and Burst are per second and at once, over all entries; 0 for no
	// limit. They are requests or tokens as ByTokens says.
	Rate, Burst float64
	ByTokens    bool
	// DefaultTokens is what a request without a count is taken for.
	DefaultTokens int
}

// Limits bound what a caller may send.
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
	Limits   Limits
}

// Table is a Spec with its indexes.
type Table struct {
	spec     Spec
	byHost   map[string][]*Route
	byKey    map[string]*Team
	services map[string]*Service
}

// New builds a table. The spec must not be changed afterwards.
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
			t.byKey[fleet.HashKey(key)] = &spec.Teams[i]
		}
	}
	for i := range spec.Services {
		t.services[spec.Services[i].Name] = &spec.Services[i]
	}
	return t
}

// Version returns the version of the configuration.
func (t *Table) Version() int64 { return t.spec.Version }

// Limits returns the bounds on what callers send.
func (t *Table) Limits() Limits { return t.spec.Limits }

// Services returns all services; not to be changed.
func (t *Table) Services() []Service { return t.spec.Services }

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// RequiresKeys reports whether routes that are not public ask for a key.
func (t *Table) RequiresKeys() bool { return len(t.spec.Teams) > 0 }

// TokenRate returns the tokens a second that all teams together may ask for; ok is false
// where there are none, or one has no limit in tokens.
func (t *Table) TokenRate() (rate float64, ok bool) {
	for _, team := range t.spec.Teams {
		if team.Rate <= 0 || !team.ByTokens {
			return 0, false
		}
		rate += team.Rate
	}
	return rate, len(t.spec.Teams) > 0
}

// Team returns the team a bearer key belongs to. Keys are compared by digest,
// so that the time taken tells nothing about them.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.byKey[fleet.HashKey(key)]
	return team, ok
}

// Match returns the route with the longest prefix of the path on a host. The
// host may carry a port. The path is as sent, with its escapes.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[plainHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

func plainHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// Pick returns the service for a request; draw is uniform in [0, 1).
func (r *Route) Pick(draw float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	at := int(draw * float64(total))
	for _, s := range r.Splits {
		if at < s.Weight {
			return s.Service
		}
		at -= s.Weight
	}
	return r.Splits[len(r.Splits)-1].Service
}

// String names the kind.
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
