// Package reclaim decides what is done with running work when its endpoint is
// given notice: let it finish, move its KV cache, or resume it elsewhere from
// its tokens. The sums are in the open: tokens that need not be computed again,
// for each byte that the notice leaves time to send.
package reclaim

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ironhollow/pkg/endpoint"
)

// Stream is one running stream on the endpoint that leaves.
type Stream struct {
	// ID is the request.
	ID string
	// KVTokens is the prompt's and the answer's tokens so far.
	KVTokens int
	// RemainingTokens is how many tokens of answer are expected still.
	RemainingTokens int
	// TokenGap is the time between its tokens.
	TokenGap time.Duration
	// CachedElsewhere is how many of KVTokens other endpoints are thought to have
	// cached, so that a move would not save them.
	CachedElsewhere int
	// MayWait marks work that can be resumed later rather than now.
	MayWait bool
}

// Destination is an endpoint that could take moved work.
type Destination struct {
	Endpoint endpoint.Info
	// FreeTokens is KV memory left there.
	FreeTokens int
	// HazardPerHour is how likely it is to be reclaimed itself.
	HazardPerHour float64
	// Running is its requests, Slots how many run at once.
	Running, Slots int
}

// takes reports whether the destination has room for a stream. Work that can
// wait needs memory alone: its cache is kept there until its turn comes.
func (d *Destination) takes(w Stream) bool {
	return d.Endpoint.AcceptsWork() && d.FreeTokens >= w.KVTokens+w.RemainingTokens && (w.MayWait || d.Running < d.Slots)
}

// Limits are what the notice leaves.
type Limits struct {
	// Notice is the time until the endpoint goes.
	Notice time.Duration
	// BytesPerSecond is what this process may move off the endpoint, its part
	// of the endpoint's bandwidth.
	BytesPerSecond float64
	BytesPerToken  float64
}

// margin is left of the notice for what can't be reckoned: the news itself is
// late, and a stream must be cancelled and started anew.
const margin = 300 * time.Millisecond

// Action is what is done with one stream.
type Action interface{ action() }

// Finish lets the stream run: it ends within the notice.
type Finish struct{}

// Move sends the KV cache to a destination and goes on there.
type Move struct{ To endpoint.Info }

// Resume goes on elsewhere from prompt and tokens, as late as the notice allows.
type Resume struct{}

func (Finish) action() {}
func (Move) action()   {}
func (Resume) action() {}

// Step is one stream's part of a plan.
type Step struct {
	Stream Stream
	Action Action
	// SavedTokens is what need not be computed again compared with Resume.
	SavedTokens int
}

// Plan decides for all streams of one endpoint that are held here. Every
// stream gets exactly one step; moves come first, in the order to carry out.
func Plan(works []Stream, destinations []Destination, limits Limits, random *rand.Rand) []Step {
	usable := limits.Notice - margin
	budget := usable.Seconds() * limits.BytesPerSecond
	var steps, rest []Step
	for _, w := range works {
		if time.Duration(w.RemainingTokens)*w.TokenGap <= usable {
			rest = append(rest, Step{w, Finish{}, w.KVTokens})
			continue
		}
		steps = append(steps, Step{Stream: w, Action: Resume{}})
	}
	chosen := choose(steps, budget, limits.BytesPerToken)
	free := append([]Destination(nil), destinations...)
	var moved []Step
	for i, step := range steps {
		if !chosen[i] {
			rest = append(rest, step)
			continue
		}
		to, ok := place(step.Stream, free, random)
		if !ok {
			rest = append(rest, step)
			continue
		}
		moved = append(moved, Step{step.Stream, Move{to}, saved(step.Stream)})
	}
	// The largest saving first: if the notice is cut short, least is lost.
	sort.SliceStable(moved, func(i, j int) bool { return moved[i].SavedTokens > moved[j].SavedTokens })
	return append(moved, rest...)
}

// saved is how many tokens a move keeps from being computed again.
func saved(w Stream) int { return max(w.KVTokens-w.CachedElsewhere, 0) }

func cost(w Stream, bytesPerToken float64) float64 { return float64(w.KVTokens) * bytesPerToken }

// choose picks the streams to move within a budget of bytes: by savings for a
// byte, then by size, filling what is left; or the one best alone if that
// saves more, which bounds the loss against the optimum to a half.
func choose(steps []Step, budget, bytesPerToken float64) []bool {
	order := make([]int, len(steps))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return better(steps[order[a]].Stream, steps[order[b]].Stream) })
	chosen := make([]bool, len(steps))
	total, spent := 0, 0.0
	best := -1
	for _, i := range order {
		w := steps[i].Stream
		c := cost(w, bytesPerToken)
		if c > budget || saved(w) == 0 {
			continue
		}
		if best < 0 || saved(w) > saved(steps[best].Stream) {
			best = i
		}
		if spent+c <= budget {
			chosen[i] = true
			spent += c
			total += saved(w)
		}
	}
	if best >= 0 && saved(steps[best].Stream) > total {
		chosen = make([]bool, len(steps))
		chosen[best] = true
	}
	return chosen
}

// better orders by savings for a byte, the larger stream first among equals.
func better(a, b Stream) bool {
	left := saved(a) * b.KVTokens
	right := saved(b) * a.KVTokens
	if left != right {
		return left > right
	}
	return a.KVTokens > b.KVTokens
}

// place finds room for a stream and takes it: of two destinations drawn among
// those with room, the one that is safer, then the one that is less busy. The
// draw keeps entries that decide at the same moment from all choosing the same
// destination (Mitzenmacher 2001).
func place(w Stream, free []Destination, random *rand.Rand) (endpoint.Info, bool) {
	var room []int
	for i := range free {
		if free[i].takes(w) {
			room = append(room, i)
		}
	}
	if len(room) == 0 {
		return endpoint.Info{}, false
	}
	best := &free[room[random.IntN(len(room))]]
	if other := &free[room[random.IntN(len(room))]]; other.before(best) {
		best = other
	}
	best.FreeTokens -= w.KVTokens + w.RemainingTokens
	best.Running++
	return best.Endpoint, true
}

// hazardStep tells hazards apart in steps of a factor of two: a small difference is no reason to crowd an endpoint.
func hazardStep(perHour float64) int {
	if perHour <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log2(perHour)))
}

// before reports whether d is the better destination.
func (d *Destination) before(other *Destination) bool {
	if a, b := hazardStep(d.HazardPerHour), hazardStep(other.HazardPerHour); a != b {
		return a < b
	}
	return d.Running < other.Running
}

// ResumeAll is what the plan is measured against: every stream runs until its
// endpoint goes, and what is left is computed again elsewhere.
func ResumeAll(works []Stream) []Step {
	steps := make([]Step, len(works))
	for i, w := range works {
		steps[i] = Step{Stream: w, Action: Resume{}}
	}
	return steps
}
