// Package lab simulates workloads in virtual time against the production code for endpoint choice,
// admission and load exchange between hosts. Engines with continuous batching, links and callers
// are simulated, without network, clock or goroutines. A run takes seconds, is the same each time
// for a given seed, and shows what callers receive.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt that several requests share.
type PromptPart struct {
	// MeanTokens is the mean length. The lengths of the Variants different parts are lognormal;
	// Spread is the standard deviation of their logarithm.
	MeanTokens, Spread float64
	Variants           int
}

// RequestKind describes one kind of request.
type RequestKind struct {
	Name string
	// Rate is the number of requests per second of all callers.
	Rate float64
	// SharedParts are the shared parts in order from the start of the prompt.
	SharedParts []PromptPart
	// OwnTokens is the mean length of the part that no other request shares, OwnTokensSpread the
	// standard deviation of its logarithm.
	OwnTokens, OwnTokensSpread float64
	// AnswerTokens is the mean length of the answer.
	AnswerTokens float64
	Objective    time.Duration
	// Timeout is how long callers wait in total.
	Timeout  time.Duration
	Priority int
	// Value is the value to the caller of an on-time answer to a request of mean size. A late
	// answer has a tenth of it.
	Value float64
}

// meanSize returns the mean size of a request, in which an answer token counts as answerTokenWeight
// prompt tokens.
func (k *RequestKind) meanSize() float64 {
	sum := k.OwnTokens + answerTokenWeight*k.AnswerTokens
	for _, p := range k.SharedParts {
		sum += p.MeanTokens
	}
	return sum
}

// Burst is a period in which requests of a kind arrive Factor times as often. An empty Kind means
// all kinds.
type Burst struct {
	Start, Length time.Duration
	Kind          string
	Factor        float64
}

// request is one request of a caller.
type request struct {
	kind      *RequestKind
	arrivedAt time.Duration
	// prefixHashes are the hashes of the prompt's parts, prefixTokens the numbers of tokens up to
	// the end of each. The last part is the request's own.
	prefixHashes     []uint64
	prefixTokens     []int
	answerTokens     int
	answerTokensHint int
	// retried means that the request was rejected once and sent again.
	retried bool
}

func (r *request) promptTokens() int { return r.prefixTokens[len(r.prefixTokens)-1] }

// answerTokenWeight is the weight of an answer token relative to a prompt token in the size of a
// request. lateValueShare is the fraction of the value that a late answer has. baseValueShare is
// the fraction of the value that does not depend on the size.
const (
	answerTokenWeight = 10
	lateValueShare    = 0.1
	baseValueShare    = 0.3
)

// value returns the value of an on-time answer.
func (r *request) value() float64 {
	size := float64(r.promptTokens()) + answerTokenWeight*float64(r.answerTokens)
	return r.kind.Value * (baseValueShare + (1-baseValueShare)*size/r.kind.meanSize())
}

// maxLengthFactor limits drawn lengths to this multiple of the mean.
const maxLengthFactor = 8

// lognormal draws a length from a lognormal distribution with the given mean.
func lognormal(random *rand.Rand, mean, spread float64) int {
	drawn := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return max(int(min(drawn, maxLengthFactor*mean)), 1)
}

// arrivals draws the requests of a run in order of arrival.
func arrivals(kinds []RequestKind, bursts []Burst, duration time.Duration, random *rand.Rand) []*request {
	var requests []*request
	at := time.Duration(0)
	for {
		total := 0.0
		for i := range kinds {
			total += kinds[i].rateAt(bursts, at)
		}
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= duration {
			return requests
		}
		requests = append(requests, drawRequest(drawKind(kinds, bursts, at, random), at, random))
	}
}

func (k *RequestKind) rateAt(bursts []Burst, at time.Duration) float64 {
	rate := k.Rate
	for _, b := range bursts {
		if at >= b.Start && at < b.Start+b.Length && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return rate
}

func drawKind(kinds []RequestKind, bursts []Burst, at time.Duration, random *rand.Rand) *RequestKind {
	total := 0.0
	for i := range kinds {
		total += kinds[i].rateAt(bursts, at)
	}
	remaining := random.Float64() * total
	for i := range kinds {
		if remaining -= kinds[i].rateAt(bursts, at); remaining < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// drawRequest draws one request. The length of a shared part is a function of its hash.
func drawRequest(k *RequestKind, at time.Duration, random *rand.Rand) *request {
	r := &request{kind: k, arrivedAt: at}
	promptTokens := 0
	path := k.Name
	for _, p := range k.SharedParts {
		path = fmt.Sprintf("%s/%d", path, random.IntN(p.Variants))
		hash := xxhash.Sum64String(path)
		promptTokens += lognormal(rand.New(rand.NewPCG(hash, 1)), p.MeanTokens, p.Spread)
		r.prefixHashes = append(r.prefixHashes, hash)
		r.prefixTokens = append(r.prefixTokens, promptTokens)
	}
	r.prefixHashes = append(r.prefixHashes, random.Uint64())
	r.prefixTokens = append(r.prefixTokens, promptTokens+lognormal(random, k.OwnTokens, k.OwnTokensSpread))
	r.answerTokens = lognormal(random, k.AnswerTokens, answerSpread)
	r.answerTokensHint = max(int(float64(r.answerTokens)*math.Exp(hintSpread*random.NormFloat64())), 1)
	return r
}

const (
	// answerSpread is the spread of answer lengths. hintSpread is the spread of the callers'
	// estimates of them, which are right in the median but often far off.
	answerSpread = 1.0
	hintSpread   = 0.5
)
