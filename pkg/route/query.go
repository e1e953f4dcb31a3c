package route

import (
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
	"ironhollow/pkg/rollout"
)

// Target names what a request needs to be loaded: a model with version and
// adapter, or a plain service.
type Target struct {
	Service string
	Model   string
	Version string
	Adapter string
}

// Query is one request for an endpoint.
type Query struct {
	Target Target
	// PrefixHashes is the prompt's prefix hashes (see Hash); it may be empty.
	PrefixHashes []uint64
	// PrefixTokens is how many tokens each prefix covers, from the prompt's
	// start; nil where every one is one block longer than the one before.
	PrefixTokens []int
	// SharedPrefixes is how many of the prefixes other requests have too. Requests that share
	// a prefix go to the same endpoint from every entry, where it was sent before or
	// has its home, unless its load speaks against it; 0 leaves that to what this entry
	// has sent.
	SharedPrefixes int
	// PromptTokens and AnswerTokens are what is expected, not known.
	PromptTokens, AnswerTokens int
	// GeneratedTokens is tokens of the answer had already, to be prefilled again.
	GeneratedTokens int
	// RiskWeight is how many seconds a lost second of work counts for; 1 for work
	// that waits, more for a caller at a counter, 0 to leave risk out.
	RiskWeight float64
	// Avoid lists endpoints that this request failed on.
	Avoid []endpoint.Ref
	// MayWait marks work that takes an endpoint only where that leaves room for
	// callers who wait.
	MayWait bool
	// SampleSize is how many endpoints are looked at in addition to those that have the prefix, 0 for
	// all up to a bound. Where many entries choose by old reports, a few at random spread better
	// than the best of all (Mitzenmacher 2001).
	SampleSize int
	// Rule says which endpoints may take the request.
	Rule rollout.Rule
	// Connected reports whether this entry has a connection to an address that the request can use;
	// nil for all.
	Connected func(address string) bool
	// Accepts is asked whether the best endpoint is used; nil uses it. What is not
	// accepted leaves no trace but the work asked for: a part that was refused is not
	// taken for read.
	Accepts func(Choice) bool
	stale   bool
	// allPenalized says that so many endpoints have a penalty that it is ignored.
	allPenalized bool
	// hosts share the limits that endpoints name.
	hosts *ratelimit.Hosts
	// mayExplore is set if idle endpoints without a connection are preferred.
	mayExplore bool
}

// Choice is an endpoint chosen. Every Choice must be ended with Done.
type Choice struct {
	Endpoint endpoint.Info
	// Expected is the estimated time to completion.
	Expected time.Duration
	// Wait is the part of it before the first token.
	Wait time.Duration
	// Queued is the part of Wait for what was there before, LeastQueued the least such time
	// at any endpoint that was looked at.
	Queued, LeastQueued time.Duration
	// CachedTokens is how much of the prompt was estimated to be cached there.
	CachedTokens int
	sent         time.Time
	// uncached is the prompt's part that was estimated to be prefilled, ahead the tokens of others
	// that were estimated to be prefilled before it.
	uncached, ahead int
}

// Sent returns when the endpoint was chosen.
func (c Choice) Sent() time.Time { return c.sent }

// Strategy names a way to choose.
type Strategy int

// The strategies; all but Expected are naive.
const (
	Expected Strategy = iota
	Random
	RoundRobin
	LeastReported
	PowerOfTwo
	// ExpectedStale is Expected without the correction of reports by what was
	// sent since: for measuring what the correction is worth.
	ExpectedStale
)
