package route

import (
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/ratelimit"
	"ironhollow/pkg/rollout"
)

// Target identifies what an endpoint must have loaded for a request: a model with version and
// adapter, or a plain service.
type Target struct {
	Service string
	Model   string
	Version string
	Adapter string
}

// Query describes a request that needs an endpoint.
type Query struct {
	Target Target
	// PrefixHashes are the hashes of the prompt's prefixes (see HashPrefixes); may be empty.
	PrefixHashes []uint64
	// PrefixTokens is the number of tokens that each prefix covers, from the prompt's start; nil
	// if each is one block longer than the previous one.
	PrefixTokens []int
	// SharedPrefixes is the number of the prefixes that other requests have too. Requests with a
	// shared prefix go from every entry to the same endpoint, which is one that was sent the
	// prefix before or its home, unless the load there is too high. With 0, only the prompts that
	// this entry has sent are considered.
	SharedPrefixes int
	// PromptTokens and AnswerTokens are estimates.
	PromptTokens, AnswerTokens int
	// GeneratedTokens is the number of answer tokens generated already, to be prefilled again.
	GeneratedTokens int
	// RiskWeight is the number of seconds that one second of lost work counts for: 1 for work that
	// can wait, more for a caller at a counter, 0 to ignore the risk.
	RiskWeight float64
	// Avoid lists the endpoints at which this request has failed.
	Avoid []endpoint.Ref
	// Continues is set if the request continues a run that was counted in the demand when it began. It
	// is not counted again.
	Continues bool
	// MayWait marks work that is sent to an endpoint only if that leaves room for callers who wait
	// for their answer.
	MayWait bool
	// SampleSize is the number of random endpoints that are considered in addition to those that
	// have the prefix; 0 for all up to scanLimit. If many entries choose by stale reports, a few
	// random endpoints spread load better than the best of all (Mitzenmacher 2001).
	SampleSize int
	// Rule determines which endpoints may take the request.
	Rule rollout.Rule
	// Confirms reports whether an endpoint's release is certain; nil if that does not matter. An endpoint
	// that is not confirmed does not take the request.
	Confirms func(endpoint.Info) bool
	// Connected reports whether this entry has a connection to an address that the request can
	// use; nil if it has one to every address.
	Connected func(address string) bool
	// Accepts reports whether the best endpoint is used; nil always uses it. If not, it is called
	// again for the best leaving endpoint that finishes the request in time, if any. A rejected
	// choice is counted in the engine demand and changes nothing else: its prefixes do not count as
	// prefilled.
	Accepts    func(Choice) bool
	reportOnly bool
	// ignorePenalties is set if so many endpoints have a penalty that penalties are ignored.
	ignorePenalties bool
	// hosts are those that share the limits of endpoints.
	hosts *ratelimit.Hosts
	// mayExplore is set if idle endpoints without a connection are preferred.
	mayExplore bool
}

// avoids reports whether the request has failed at an endpoint.
func (q Query) avoids(ref endpoint.Ref) bool { return slices.Contains(q.Avoid, ref) }

// Choice is a chosen endpoint. Every Choice must be completed with Done.
type Choice struct {
	Endpoint endpoint.Info
	// Expected is the estimated time to completion.
	Expected time.Duration
	// Wait is the part of Expected before the first token.
	Wait time.Duration
	// Queued is the part of Wait that is due to earlier requests, LeastQueued the least such time
	// of all endpoints that were considered.
	Queued, LeastQueued time.Duration
	// CachedTokens is the number of prompt tokens estimated to be cached at the endpoint.
	CachedTokens int
	sentAt       time.Time
	// uncachedTokens is the number of prompt tokens estimated to need prefill, aheadTokens the
	// number of other requests' tokens estimated to be prefilled before them.
	uncachedTokens, aheadTokens int
	// batchShare is the share of the endpoint's slots in use.
	batchShare float64
}

// Sent returns the time at which the endpoint was chosen.
func (c Choice) Sent() time.Time { return c.sentAt }

// Strategy selects how endpoints are chosen.
type Strategy int

// The strategies. All but Expected and ExpectedStale are naive.
const (
	Expected Strategy = iota
	Random
	RoundRobin
	LeastReported
	PowerOfTwo
	// ExpectedStale is Expected without the correction of reports by what was sent since, to
	// measure the effect of that correction.
	ExpectedStale
)
