// Package policybench benchmarks the routing and capacity policies in virtual time. It
// runs the production router, concurrency limiters, retry budget, stream runner, reclaim
// planner and capacity planner on generated requests. Only their interfaces are faked, by
// simulated engines and a cloud that reclaims data centres in turn. Hosts, processes,
// networks and the store are not modelled.
package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// RequestClass describes the requests of one service.
type RequestClass struct {
	Name  string
	Model string
	// Share is the fraction of the fleet's requests that belong to this class.
	Share float64
	// PromptTokens and AnswerTokens are medians of lognormal distributions, which have a
	// heavy tail; Sigma is the sigma parameter of both.
	PromptTokens, AnswerTokens float64
	Sigma                      float64
	// SharedPrefixShare is the fraction of the prompt that is a shared prefix;
	// SharedPrefixes is the number of different shared prefixes.
	SharedPrefixShare float64
	SharedPrefixes    int
	Priority          int
	MayWait           bool
}

// Fleet describes one user's requests, latency targets, data centres and prices.
type Fleet struct {
	Name    string
	Classes []RequestClass
	// Rate is the average number of requests per second; bursts reach up to twice that.
	Rate float64
	// FirstTokenTarget is the target for the 95th percentile of the time to the first
	// token of interactive requests, TokenGapTarget that for the time between tokens.
	FirstTokenTarget, TokenGapTarget time.Duration
	DataCenters                      []string
	// ReclaimablePrices are the hourly prices of a reclaimable host in each data centre,
	// OnDemandPrice is that of any other host.
	ReclaimablePrices []float64
	OnDemandPrice     float64
}

// Authority and HeadOffice are the users' fleets, with the sizes given in the requirements.
var (
	Authority = Fleet{
		Name: "authority", Rate: 8, FirstTokenTarget: 1200 * time.Millisecond, TokenGapTarget: 26 * time.Millisecond,
		DataCenters: []string{"north", "east", "south", "west"}, ReclaimablePrices: []float64{0.9, 1.0, 1.1, 1.2}, OnDemandPrice: 3,
		Classes: []RequestClass{
			{Name: "eligibility", Model: "m", Share: 0.60, PromptTokens: 300, AnswerTokens: 60, Sigma: 0.4, SharedPrefixShare: 0.7, SharedPrefixes: 6, Priority: 80},
			{Name: "review", Model: "m", Share: 0.25, PromptTokens: 1800, AnswerTokens: 500, Sigma: 0.6, SharedPrefixShare: 0.2, SharedPrefixes: 40, Priority: 20, MayWait: true},
			{Name: "restructuring", Model: "m", Share: 0.15, PromptTokens: 900, AnswerTokens: 250, Sigma: 0.5, SharedPrefixShare: 0.3, SharedPrefixes: 40, Priority: 15, MayWait: true},
		},
	}
	HeadOffice = Fleet{
		Name: "head-office", Rate: 9, FirstTokenTarget: 1200 * time.Millisecond, TokenGapTarget: 26 * time.Millisecond,
		DataCenters: []string{"hall-a", "hall-b", "hall-c", "hall-d"}, ReclaimablePrices: []float64{0.9, 1.0, 1.1, 1.2}, OnDemandPrice: 3,
		Classes: []RequestClass{
			{Name: "commentary", Model: "m", Share: 0.5, PromptTokens: 700, AnswerTokens: 90, Sigma: 0.4, SharedPrefixShare: 0.8, SharedPrefixes: 12, Priority: 80},
			{Name: "rivalry", Model: "m", Share: 0.3, PromptTokens: 900, AnswerTokens: 180, Sigma: 0.5, SharedPrefixShare: 0.5, SharedPrefixes: 60, Priority: 70},
			{Name: "recap", Model: "m", Share: 0.2, PromptTokens: 2400, AnswerTokens: 500, Sigma: 0.6, SharedPrefixShare: 0.4, SharedPrefixes: 20, Priority: 20, MayWait: true},
		},
	}
)

// TokensPerSecond returns the demand of interactive and of deferrable requests, in answer
// tokens per second.
func (f Fleet) TokensPerSecond() (interactive, deferrable float64) {
	for _, c := range f.Classes {
		mean := c.AnswerTokens * math.Exp(c.Sigma*c.Sigma/2)
		if c.MayWait {
			deferrable += f.Rate * c.Share * mean
		} else {
			interactive += f.Rate * c.Share * mean
		}
	}
	return interactive, deferrable
}

// Arrival is one request and the time at which it arrives.
type Arrival struct {
	At           time.Duration
	Class        RequestClass
	Messages     string
	AnswerTokens int
	Team         int
}

// teamShares are the fractions of the requests of five teams; a few teams are large.
var teamShares = []float64{0.4, 0.3, 0.2, 0.07, 0.03}

// GenerateArrivals draws the requests of a run. The same seed gives the same requests for
// every policy.
func GenerateArrivals(f Fleet, duration time.Duration, loadFactor float64, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 17))
	var list []Arrival
	at := time.Duration(0)
	for {
		rate := f.Rate * loadFactor * rateFactor(at, seed)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= duration {
			return list
		}
		c := f.Classes[pickWeighted(random, len(f.Classes), func(i int) float64 { return f.Classes[i].Share })]
		list = append(list, Arrival{
			At: at, Class: c, Messages: randomMessages(c, random), AnswerTokens: drawTokens(random, c.AnswerTokens, c.Sigma),
			Team: pickWeighted(random, len(teamShares), func(i int) float64 { return teamShares[i] }),
		})
	}
}

// rateFactor returns the factor on the request rate at a given time: a slow oscillation
// with short, sharp peaks, about 1 on average.
func rateFactor(at time.Duration, seed uint64) float64 {
	minutes := at.Minutes() + float64(seed%7)
	factor := 0.85 + 0.25*math.Sin(minutes*2.1)
	if math.Mod(minutes, 3) < 0.35 {
		factor += 0.7
	}
	return factor
}

func pickWeighted(random *rand.Rand, count int, weight func(int) float64) int {
	remaining := random.Float64()
	for i := range count {
		remaining -= weight(i)
		if remaining < 0 {
			return i
		}
	}
	return count - 1
}

func drawTokens(random *rand.Rand, median, sigma float64) int {
	return max(8, int(median*math.Exp(sigma*random.NormFloat64())))
}

// bytesPerToken is the estimate that the rest of the system uses.
const bytesPerToken = 4

// randomMessages returns messages whose first part is one of the class's shared prefixes.
func randomMessages(c RequestClass, random *rand.Rand) string {
	length := drawTokens(random, c.PromptTokens, c.Sigma) * bytesPerToken
	sharedLength := int(c.SharedPrefixShare * c.PromptTokens * bytesPerToken)
	var b strings.Builder
	fmt.Fprintf(&b, `[{"role":"user","content":"%s prefix %d `, c.Name, random.IntN(c.SharedPrefixes))
	for b.Len() < sharedLength {
		b.WriteString("shared words of the file ")
	}
	fmt.Fprintf(&b, "own part %d ", random.Uint64())
	for b.Len() < length {
		fmt.Fprintf(&b, "%x ", random.Uint32())
	}
	b.WriteString(`"}]`)
	return b.String()
}
