// Package fleet defines the configuration that operators apply: services, teams,
// capacity and policy, as domain types without struct tags. A configuration is a
// set of sections, so that a change can be sent as the changed sections only.
package fleet

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"strings"
	"time"
)

// Kind distinguishes model services from plain services.
type Kind string

// Service kinds.
const (
	Model Kind = "model"
	Plain Kind = "plain"
)

// Service is a service that callers address by name.
type Service struct {
	name    string
	kind    Kind
	model   string
	version string
	adapter string
	// latencyTarget and tokenGap are targets for the 95th percentile.
	latencyTarget time.Duration
	tokenGap      time.Duration
	deadline      time.Duration
	// priority ranges from 0 to 100; requests with a higher priority go first.
	priority      int
	mayWait       bool
	maxTokens     int
	nonRepeatable []CallPattern
}

// CallPattern matches calls to a plain service by method and path prefix.
type CallPattern struct {
	Method     string
	PathPrefix string
}

// Name returns the name by which callers address the service.
func (s Service) Name() string { return s.name }

// Kind returns whether this is a model service or a plain service.
func (s Service) Kind() Kind { return s.kind }

// Model returns the model that the service runs, or "" for a plain service.
func (s Service) Model() string { return s.model }

// Version returns the version of the model.
func (s Service) Version() string { return s.version }

// Adapter returns the adapter applied to the model, or "" if there is none.
func (s Service) Adapter() string { return s.adapter }

// LatencyTarget returns the target for the 95th percentile of the time to the first token, or to
// the answer of a plain service.
func (s Service) LatencyTarget() time.Duration { return s.latencyTarget }

// TokenGap returns the target for the 95th percentile of the time between tokens.
func (s Service) TokenGap() time.Duration { return s.tokenGap }

// Deadline returns the time after which an answer is no longer useful to the caller.
func (s Service) Deadline() time.Duration { return s.deadline }

// Priority returns a value from 0 to 100; requests with a higher priority go first.
func (s Service) Priority() int { return s.priority }

// MayWait reports whether the work can wait and is accepted as jobs.
func (s Service) MayWait() bool { return s.mayWait }

// MaxTokens returns the maximum length of an answer in tokens.
func (s Service) MaxTokens() int { return s.maxTokens }

// MayRepeat reports whether a call may be sent more than once. Calls may be repeated unless the
// configuration excludes them.
func (s Service) MayRepeat(method, path string) bool {
	for _, call := range s.nonRepeatable {
		if call.Method == method && hasPathPrefix(path, call.PathPrefix) {
			return false
		}
	}
	return true
}

// hasPathPrefix reports whether path equals prefix or is below it. Only whole path segments match.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, strings.TrimSuffix(prefix, "/"))
	return ok && (rest == "" || rest[0] == '/')
}

// Team is a team of callers and its limits.
type Team struct {
	name string
	// keyHashes contains the SHA-256 of each bearer key.
	keyHashes [][sha256.Size]byte
	rate      float64
	burst     float64
	weight    int
	// services is nil if the team may call all services.
	services map[string]bool
}

// Name returns the team's name.
func (t Team) Name() string { return t.name }

// Rate returns the limit in requests per second, over all entry hosts.
func (t Team) Rate() float64 { return t.rate }

// Burst returns how many requests the team may send at once, over all entry hosts.
func (t Team) Burst() float64 { return t.burst }

// Weight returns the weight of the team's share when there is not enough capacity.
func (t Team) Weight() int { return t.weight }

// MayCall reports whether the team may call the service.
func (t Team) MayCall(service string) bool { return t.services == nil || t.services[service] }

// Capacity defines the bounds and prices of one class of hosts in one data centre.
type Capacity struct {
	name, dataCenter, class string
	// reclaimablePrice and onDemandPrice are per host and hour.
	reclaimablePrice, onDemandPrice float64
	minHosts, maxHosts              int
	// hazardPerHour is the expected number of reclaims per host and hour.
	hazardPerHour float64
	// tokensPerSecond is the rate at which one host can generate tokens within the latency target.
	tokensPerSecond float64
}

// Name returns the name of the capacity section.
func (c Capacity) Name() string { return c.name }

// DataCenter returns the data centre of the hosts.
func (c Capacity) DataCenter() string { return c.dataCenter }

// Class returns the class of the hosts.
func (c Capacity) Class() string { return c.class }

// ReclaimablePrice returns the price of a reclaimable host per hour.
func (c Capacity) ReclaimablePrice() float64 { return c.reclaimablePrice }

// OnDemandPrice returns the price of an on-demand host per hour.
func (c Capacity) OnDemandPrice() float64 { return c.onDemandPrice }

// MinHosts returns the minimum number of hosts to keep.
func (c Capacity) MinHosts() int { return c.minHosts }

// MaxHosts returns the maximum number of hosts to buy.
func (c Capacity) MaxHosts() int { return c.maxHosts }

// HazardPerHour returns the operator's estimate of reclaims per host and hour.
func (c Capacity) HazardPerHour() float64 { return c.hazardPerHour }

// TokensPerSecond returns the rate at which one host can generate tokens within the latency target.
func (c Capacity) TokensPerSecond() float64 { return c.tokensPerSecond }

// Policy defines how endpoints are chosen, what happens to running work on a reclaim, how many
// retries are allowed and how long callers cache the list of entry hosts.
type Policy struct {
	naiveRoute   bool
	naiveReclaim bool
	// retryShare is the share of sent requests that may be retries, from 0 to 1.
	retryShare   float64
	entryListTTL time.Duration
}

// NaiveRoute reports whether endpoints are to be chosen by the naive policy.
func (p Policy) NaiveRoute() bool { return p.naiveRoute }

// NaiveReclaim reports whether running work is restarted instead of moved when its endpoint is
// reclaimed.
func (p Policy) NaiveReclaim() bool { return p.naiveReclaim }

// RetryShare returns the maximum share of sent requests that may be retries.
func (p Policy) RetryShare() float64 { return p.retryShare }

// EntryListTTL returns how long callers may cache the list of entry hosts.
func (p Policy) EntryListTTL() time.Duration { return p.entryListTTL }

// Config is the configuration of one revision. It is immutable.
type Config struct {
	revision   int64
	services   map[string]Service
	teams      map[string]Team
	teamByKey  map[[sha256.Size]byte]string
	capacities []Capacity
	policy     Policy
}

// Revision returns the revision, or 0 if no configuration has been applied.
func (c *Config) Revision() int64 { return c.revision }

// Service returns the service with the given name.
func (c *Config) Service(name string) (Service, bool) {
	s, ok := c.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (c *Config) Services() []Service {
	list := make([]Service, 0, len(c.services))
	for _, s := range c.services {
		list = append(list, s)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// Team returns the team with the given name.
func (c *Config) Team(name string) (Team, bool) {
	t, ok := c.teams[name]
	return t, ok
}

// Teams returns all teams, sorted by name.
func (c *Config) Teams() []Team {
	list := make([]Team, 0, len(c.teams))
	for _, t := range c.teams {
		list = append(list, t)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].name < list[j].name })
	return list
}

// TeamByKey returns the team that a bearer key belongs to. The key is looked up by its hash, so
// that the duration of the lookup reveals nothing about the key: the map compares digests, and a
// caller cannot choose the bytes of a digest.
func (c *Config) TeamByKey(bearer string) (Team, bool) {
	name, ok := c.teamByKey[sha256.Sum256([]byte(bearer))]
	if !ok {
		return Team{}, false
	}
	return c.teams[name], true
}

// Capacities returns all capacity sections, sorted by name.
func (c *Config) Capacities() []Capacity { return c.capacities }

// Policy returns the policy, which is the default policy if the configuration has none.
func (c *Config) Policy() Policy { return c.policy }

// HashKey returns the SHA-256 of a bearer key in hexadecimal, the form in which keys are stored.
func HashKey(bearer string) string {
	sum := sha256.Sum256([]byte(bearer))
	return hex.EncodeToString(sum[:])
}
