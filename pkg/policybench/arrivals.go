// Package policybench replays arrivals into the decisions as shipped: router,
// gates, retry budget, streams, reclaim plan and capacity plan, in virtual
// time. Fakes stand at the interfaces alone: the stand-in engine and a cloud
// that reclaims data centres in turn. Nothing here models hosts, processes,
// networks or the store.
package policybench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// Class is one service's arrivals.
type Class struct {
	Name  string
	Model string
	// Share is its part of the requests.
	Share float64
	// PromptTokens and AnswerTokens are medians; Sigma is the spread of both,
	// of a lognormal distribution, whose tail is heavy.
	PromptTokens, AnswerTokens float64
	Sigma                      float64
	// Shared is the part of the prompt that comes from one of Prefixes.
	Shared   float64
	Prefixes int
	Priority int
	MayWait  bool
}

// Fleet is one user's mix.
type Fleet struct {
	Name    string
	Classes []Class
	// Rate is requests a second on average; bursts go up to twice that.
	Rate float64
	// Target is the time to the first token for 95 in 100 callers who wait, and
	// Gap the time between tokens.
	Target, Gap time.Duration
	Centres     []string
	// Prices are of a reclaimable host in each centre, OnDemand of any other.
	Prices   []float64
	OnDemand float64
}

// Authority and HeadOffice are the users' mixes, by the sizes of the brief.
var (
	Authority = Fleet{
		Name: "authority", Rate: 8, Target: 1200 * time.Millisecond, Gap: 26 * time.Millisecond,
		Centres: []string{"north", "east", "south", "west"}, Prices: []float64{0.9, 1.0, 1.1, 1.2}, OnDemand: 3,
		Classes: []Class{
			{Name: "eligibility", Model: "m", Share: 0.60, PromptTokens: 300, AnswerTokens: 60, Sigma: 0.4, Shared: 0.7, Prefixes: 6, Priority: 80},
			{Name: "review", Model: "m", Share: 0.25, PromptTokens: 1800, AnswerTokens: 500, Sigma: 0.6, Shared: 0.2, Prefixes: 40, Priority: 20, MayWait: true},
			{Name: "restructuring", Model: "m", Share: 0.15, PromptTokens: 900, AnswerTokens: 250, Sigma: 0.5, Shared: 0.3, Prefixes: 40, Priority: 15, MayWait: true},
		},
	}
	HeadOffice = Fleet{
		Name: "head-office", Rate: 9, Target: 1200 * time.Millisecond, Gap: 26 * time.Millisecond,
		Centres: []string{"hall-a", "hall-b", "hall-c", "hall-d"}, Prices: []float64{0.9, 1.0, 1.1, 1.2}, OnDemand: 3,
		Classes: []Class{
			{Name: "commentary", Model: "m", Share: 0.5, PromptTokens: 700, AnswerTokens: 90, Sigma: 0.4, Shared: 0.8, Prefixes: 12, Priority: 80},
			{Name: "rivalry", Model: "m", Share: 0.3, PromptTokens: 900, AnswerTokens: 180, Sigma: 0.5, Shared: 0.5, Prefixes: 60, Priority: 70},
			{Name: "recap", Model: "m", Share: 0.2, PromptTokens: 2400, AnswerTokens: 500, Sigma: 0.6, Shared: 0.4, Prefixes: 20, Priority: 20, MayWait: true},
		},
	}
)

// TokensPerSecond returns the fleet's demand: of callers who wait, and of work
// that can.
func (f Fleet) TokensPerSecond() (counter, waiting float64) {
	for _, c := range f.Classes {
		mean := c.AnswerTokens * math.Exp(c.Sigma*c.Sigma/2)
		if c.MayWait {
			waiting += f.Rate * c.Share * mean
		} else {
			counter += f.Rate * c.Share * mean
		}
	}
	return counter, waiting
}

// Arrival is one request.
type Arrival struct {
	At       time.Duration
	Class    Class
	Messages string
	Answer   int
	Team     int
}

// teamWeights are the parts of five teams, a few of them large.
var teamWeights = []float64{0.4, 0.3, 0.2, 0.07, 0.03}

// Arrivals draws the requests of a run. The same seed gives the same ones
// whatever the policy.
func Arrivals(f Fleet, lasts time.Duration, load float64, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 17))
	var list []Arrival
	at := time.Duration(0)
	for {
		rate := f.Rate * load * burst(at, seed)
		at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
		if at >= lasts {
			return list
		}
		c := f.Classes[pick(random, len(f.Classes), func(i int) float64 { return f.Classes[i].Share })]
		list = append(list, Arrival{
			At: at, Class: c, Messages: prompt(c, random), Answer: heavy(random, c.AnswerTokens, c.Sigma),
			Team: pick(random, len(teamWeights), func(i int) float64 { return teamWeights[i] }),
		})
	}
}

// burst is the rate's factor at a time: a slow swell with sharp peaks, about 1
// on average.
func burst(at time.Duration, seed uint64) float64 {
	minutes := at.Minutes() + float64(seed%7)
	factor := 0.85 + 0.25*math.Sin(minutes*2.1)
	if math.Mod(minutes, 3) < 0.35 {
		factor += 0.7
	}
	return factor
}

func pick(random *rand.Rand, count int, weight func(int) float64) int {
	at := random.Float64()
	for i := range count {
		at -= weight(i)
		if at < 0 {
			return i
		}
	}
	return count - 1
}

func heavy(random *rand.Rand, median, sigma float64) int {
	return max(8, int(median*math.Exp(sigma*random.NormFloat64())))
}

// bytesPerToken is the rule of thumb that the rest of the system uses.
const bytesPerToken = 4

// prompt makes messages of which the first part is one of the shared prefixes.
func prompt(c Class, random *rand.Rand) string {
	length := heavy(random, c.PromptTokens, c.Sigma) * bytesPerToken
	shared := int(c.Shared * c.PromptTokens * bytesPerToken)
	var b strings.Builder
	fmt.Fprintf(&b, `[{"role":"user","content":"%s prefix %d `, c.Name, random.IntN(c.Prefixes))
	for b.Len() < shared {
		b.WriteString("shared words of the file ")
	}
	fmt.Fprintf(&b, "own part %d ", random.Uint64())
	for b.Len() < length {
		fmt.Fprintf(&b, "%x ", random.Uint32())
	}
	b.WriteString(`"}]`)
	return b.String()
}
