// Package lab plays loads in virtual time against the decisions as shipped: the
// choice of an endpoint, refusals, and what hosts tell each other, on a model of
// engines that batch. It shows what callers get, in seconds and the same on every
// run of a seed. Engines, links and callers are modelled; nothing here uses a
// network, a clock or a goroutine.
package lab

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PromptPart is a part of a prompt that several requests have alike.
type PromptPart struct {
	// MeanTokens is the mean length; lengths spread by Spread (of a lognormal
	// distribution) over Things different parts.
	MeanTokens, Spread float64
	Variants           int
}

// RequestKind is one kind of request.
type RequestKind struct {
	Name string
	// Rate is requests a second over all callers.
	Rate float64
	// SharedParts are the shared parts, from the prompt's start.
	SharedParts []PromptPart
	// OwnTokens is the mean tokens of the part that no other request has, with OwnTokensSpread.
	OwnTokens, OwnTokensSpread float64
	// AnswerTokens is the mean tokens of the answer.
	AnswerTokens float64
	Objective    time.Duration
	// Timeout is how long callers wait in all.
	Timeout  time.Duration
	Priority int
	// Value is what an answer within the objective is worth to a caller of the mean
	// size; a late one is worth a tenth.
	Value float64
}

// mean is the mean size of a request, where a token made counts as much as
// madeWeight tokens read.
func (k *RequestKind) mean() float64 {
	sum := k.OwnTokens + madeWeight*k.AnswerTokens
	for _, p := range k.SharedParts {
		sum += p.MeanTokens
	}
	return sum
}

// Burst is a time in which a kind comes more often, all kinds where Kind is empty.
type Burst struct {
	Start, Duration time.Duration
	Kind            string
	Factor          float64
}

// request is one request of a caller.
type request struct {
	kind  *RequestKind
	asked time.Duration
	// prefix and covered are the hashes of the parts and the tokens up to each one's
	// end; the last part is the request's own.
	prefix  []uint64
	covered []int
	answer  int
	hint    int
	// returned says that the caller was refused once and came back.
	returned bool
}

func (r *request) promptTokens() int { return r.covered[len(r.covered)-1] }

// madeWeight is what a token made counts for in a request's size, lateWorth the part
// of an answer's worth that is left when it is late; baseWorth
// is the part of the worth that does not grow with the size.
const (
	madeWeight = 10
	lateWorth  = 0.1
	baseWorth  = 0.3
)

// worth is what an answer within the objective is worth.
func (r *request) worth() float64 {
	size := float64(r.promptTokens()) + madeWeight*float64(r.answer)
	return r.kind.Value * (baseWorth + (1-baseWorth)*size/r.kind.mean())
}

// largest is by how many times a length may be above its mean.
const largest = 8

// lognormal draws a length with a mean.
func lognormal(random *rand.Rand, mean, spread float64) int {
	drawn := mean * math.Exp(spread*random.NormFloat64()-spread*spread/2)
	return max(int(min(drawn, largest*mean)), 1)
}

// arrivals draws the requests of a run, in order of time.
func arrivals(kinds []RequestKind, bursts []Burst, lasts time.Duration, random *rand.Rand) []*request {
	var list []*request
	at := time.Duration(0)
	for {
		total := 0.0
		for i := range kinds {
			total += kinds[i].rateAt(bursts, at)
		}
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= lasts {
			return list
		}
		list = append(list, draw(pick(kinds, bursts, at, random), at, random))
	}
}

func (k *RequestKind) rateAt(bursts []Burst, at time.Duration) float64 {
	rate := k.Rate
	for _, b := range bursts {
		if at >= b.Start && at < b.Start+b.Duration && (b.Kind == "" || b.Kind == k.Name) {
			rate *= b.Factor
		}
	}
	return rate
}

func pick(kinds []RequestKind, bursts []Burst, at time.Duration, random *rand.Rand) *RequestKind {
	total := 0.0
	for i := range kinds {
		total += kinds[i].rateAt(bursts, at)
	}
	left := random.Float64() * total
	for i := range kinds {
		if left -= kinds[i].rateAt(bursts, at); left < 0 {
			return &kinds[i]
		}
	}
	return &kinds[len(kinds)-1]
}

// draw draws one request. The length of a shared part follows from which it is.
func draw(k *RequestKind, at time.Duration, random *rand.Rand) *request {
	r := &request{kind: k, asked: at}
	covered := 0
	path := k.Name
	for _, p := range k.SharedParts {
		path = fmt.Sprintf("%s/%d", path, random.IntN(p.Variants))
		hash := xxhash.Sum64String(path)
		covered += lognormal(rand.New(rand.NewPCG(hash, 1)), p.MeanTokens, p.Spread)
		r.prefix = append(r.prefix, hash)
		r.covered = append(r.covered, covered)
	}
	r.prefix = append(r.prefix, random.Uint64())
	r.covered = append(r.covered, covered+lognormal(random, k.OwnTokens, k.OwnTokensSpread))
	r.answer = lognormal(random, k.AnswerTokens, answerSpread)
	r.hint = max(int(float64(r.answer)*math.Exp(hintSpread*random.NormFloat64())), 1)
	return r
}

const (
	// answerSpread is of the answers' lengths, hintSpread of the callers' guesses of
	// them: right in the median, often far off.
	answerSpread = 1.0
	hintSpread   = 0.5
)
