// Package fleet holds the configuration that operators apply: services, teams,
// capacity and policy, as domain types without tags. A configuration is a set
// of sections, so that a change can be sent as the sections it changed.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"
)

// Kind tells model services from plain ones.
type Kind string

// The kinds of service.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is one service that callers name.
type Service struct {
	name    string
	kind    Kind
	model   string
	version string
	adapter string
	// latencyTarget and tokenGap are for 95 in 100 requests.
	latencyTarget time.Duration
	tokenGap      time.Duration
	deadline      time.Duration
	// priority is 0 to 100; higher goes first.
	priority    int
	mayWait     bool
	maxTokens   int
	notRepeated []CallPattern
}

// CallPattern is a method and a path prefix of a plain service.
type CallPattern struct {
	Method     string
	PathPrefix string
}

// Name returns the name callers use.
func (s Service) Name() string { return s.name }

// Kind returns what stands behind the service.
func (s Service) Kind() Kind { return s.kind }

// Model returns the model the service runs; empty for a plain service.
func (s Service) Model() string { return s.model }

// Version returns the model's version.
func (s Service) Version() string { return s.version }

// Adapter returns the adapter on top of the model, empty for none.
func (s Service) Adapter() string { return s.adapter }

// LatencyTarget returns the time to the first token for 95 in 100.
func (s Service) LatencyTarget() time.Duration { return s.latencyTarget }

// TokenGap returns the time between tokens for 95 in 100.
func (s Service) TokenGap() time.Duration { return s.tokenGap }

// Deadline returns the time after which an answer is of no use.
func (s Service) Deadline() time.Duration { return s.deadline }

// Priority returns 0 to 100; higher goes first.
func (s Service) Priority() int { return s.priority }

// MayWait reports whether the work can wait.
func (s Service) MayWait() bool { return s.mayWait }

// MaxTokens returns the longest answer in tokens.
func (s Service) MaxTokens() int { return s.maxTokens }

// MayRepeat reports whether a call may be sent more than once.
func (s Service) MayRepeat(method, path string) bool {
	for _, call := range s.notRepeated {
		if call.Method == method && hasPathPrefix(path, call.PathPrefix) {
			return false
		}
	}
	return true
}

// hasPathPrefix reports whether path is prefix or lies below it.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Team is one team of callers.
type Team struct {
	name string
	// keys holds the SHA-256 of each bearer key.
	keys   [][sha256.Size]byte
	rate   float64
	burst  float64
	weight int
	// services is nil when the team may call all of them.
	services map[string]bool
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Rate returns requests a second over all entry hosts.
func (t Team) Rate() float64 { return t.rate }

// Burst returns requests at once over all entry hosts.
func (t Team) Burst() float64 { return t.burst }

// Weight returns the team's share when capacity is short.
func (t Team) Weight() int { return t.weight }

// MayCall reports whether the team may call the service.
func (t Team) MayCall(service string) bool { return t.services == nil || t.services[service] }

// Capacity bounds and prices one class of hosts in one data centre.
type Capacity struct {
	name, dataCenter, class string
	// prices are for one host an hour.
	reclaimablePrice, onDemandPrice float64
	least, most                     int
	// hazard is reclaims expected for one host an hour.
	hazard float64
	// tokensPerSecond is what one host generates within the latency target.
	tokensPerSecond float64
}

// Name returns the name of the row.
func (c Capacity) Name() string { return c.name }

// DataCenter returns the data centre.
func (c Capacity) DataCenter() string { return c.dataCenter }

// Class returns the class of host.
func (c Capacity) Class() string { return c.class }

// ReclaimablePrice returns the price of a reclaimable host an hour.
func (c Capacity) ReclaimablePrice() float64 { return c.reclaimablePrice }

// OnDemandPrice returns the price of an on-demand host an hour.
func (c Capacity) OnDemandPrice() float64 { return c.onDemandPrice }

// MinHosts returns the fewest hosts to keep.
func (c Capacity) MinHosts() int { return c.least }

// MaxHosts returns the most hosts to buy.
func (c Capacity) MaxHosts() int { return c.most }

// HazardPerHour returns the operator's figure of reclaims for one host an hour.
func (c Capacity) HazardPerHour() float64 { return c.hazard }

// TokensPerSecond returns what one host generates within the latency target.
func (c Capacity) TokensPerSecond() float64 { return c.tokensPerSecond }

// Policy says how decisions are taken.
type Policy struct {
	naiveRoute   bool
	naiveReclaim bool
	// retryShare is of requests sent, 0 to 1.
	retryShare  float64
	entriesKept time.Duration
}

// NaiveRoute reports whether the naive choice of endpoint is asked for.
func (p Policy) NaiveRoute() bool { return p.naiveRoute }

// NaiveReclaim reports whether running work is restarted rather than moved.
func (p Policy) NaiveReclaim() bool { return p.naiveReclaim }

// RetryShare returns retries as a share of requests.
func (p Policy) RetryShare() float64 { return p.retryShare }

// EntryListTTL returns how long callers keep the answer of which entries to use.
func (p Policy) EntryListTTL() time.Duration { return p.entriesKept }

// Config is one revision in force. It is never changed once built.
type Config struct {
	revision   int64
	services   map[string]Service
	teams      map[string]Team
	teamByKey  map[[sha256.Size]byte]string
	capacities []Capacity
	policy     Policy
}

// Revision returns the revision, 0 for none.
func (c *Config) Revision() int64 { return c.revision }

// Service returns the service of that name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services by name.
func (c *Config) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Team returns the team of that name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams by name.
func (c *Config) Teams() []Team {
	list := make([]Team, 0, len(c.teams))
	for _, t := range c.teams {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// TeamByKey returns the team that a bearer key belongs to. The key is looked up
// by its hash, so that the time taken tells nothing about the key itself: the
// map compares digests, of which a caller can't choose the bytes.
func (c *Config) TeamByKey(bearer string) (Team, bool) {
	name, ok := c.teamByKey[sha256.Sum256([]byte(bearer))]
	if !ok {
		return Team{}, false
	}
	return c.teams[name], true
}

// Capacities returns the rows of capacity by name.
func (c *Config) Capacities() []Capacity { return c.capacities }

// Policy returns how decisions are taken.
func (c *Config) Policy() Policy { return c.policy }

// HashKey returns the form in which a bearer key is stored.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}
