// Package reclaim decides what to do with running streams when their endpoint gets a
// reclaim notice: let them finish, move their KV cache, or resume them elsewhere from
// their tokens. It maximizes the tokens that need not be computed again for the bytes that
// can be sent within the notice.
package reclaim

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"ironhollow/pkg/endpoint"
)

// Stream is a running stream on the leaving endpoint.
type Stream struct {
	// ID is the request's ID.
	ID string
	// KVTokens is the number of tokens of the prompt and of the answer so far.
	KVTokens int
	// RemainingTokens is the expected number of answer tokens still to come.
	RemainingTokens int
	// TokenGap is the time between two tokens of the answer.
	TokenGap time.Duration
	// CachedElsewhere is the estimated number of KVTokens that other endpoints have
	// cached, which a move does not save.
	CachedElsewhere int
	// MayWait marks work that may be resumed later instead of at once.
	MayWait bool
}

// Destination is an endpoint to which streams may be moved.
type Destination struct {
	Endpoint endpoint.Info
	// FreeTokens is the free KV cache memory, in tokens.
	FreeTokens int
	// HazardPerHour is the expected number of reclaims of the destination an hour.
	HazardPerHour float64
	// Running is the number of its running requests; Slots is how many can run at once.
	Running, Slots int
}

// hasRoomFor reports whether the destination has room for a stream. Work that can wait
// needs memory only: its cache is kept there until a slot is free for it.
func (d *Destination) hasRoomFor(s Stream) bool {
	return d.Endpoint.AcceptsWork() && d.FreeTokens >= s.KVTokens+s.RemainingTokens && (s.MayWait || d.Running < d.Slots)
}

// Limits are the time and the bandwidth for moves.
type Limits struct {
	// Notice is the time until the endpoint goes away.
	Notice time.Duration
	// BytesPerSecond is this process's share of the endpoint's bandwidth for moves.
	BytesPerSecond float64
	BytesPerToken  float64
}

// noticeMargin is subtracted from the notice for delays that cannot be computed: the
// notice itself arrives late, and a stream has to be cancelled and started again.
const noticeMargin = 300 * time.Millisecond

// Action is what to do with a stream.
type Action interface{ action() }

// Finish lets the stream run, as it ends within the notice.
type Finish struct{}

// Move sends the KV cache to a destination and continues the stream there.
type Move struct{ To endpoint.Info }

// Resume continues the stream elsewhere from its prompt and tokens, as late as the notice
// allows.
type Resume struct{}

func (Finish) action() {}
func (Move) action()   {}
func (Resume) action() {}

// Step is the planned action for one stream.
type Step struct {
	Stream Stream
	Action Action
	// SavedTokens is the number of tokens that need not be computed again, compared with
	// Resume.
	SavedTokens int
}

// Plan decides for all streams of one endpoint that this process runs. Every stream gets
// exactly one step; moves come first, in the order in which to execute them.
func Plan(streams []Stream, destinations []Destination, limits Limits, random *rand.Rand) []Step {
	usable := limits.Notice - noticeMargin
	budget := usable.Seconds() * limits.BytesPerSecond
	var steps, others []Step
	for _, s := range streams {
		if time.Duration(s.RemainingTokens)*s.TokenGap <= usable {
			others = append(others, Step{s, Finish{}, s.KVTokens})
			continue
		}
		steps = append(steps, Step{Stream: s, Action: Resume{}})
	}
	selected := selectMoves(steps, budget, limits.BytesPerToken)
	available := append([]Destination(nil), destinations...)
	var moves []Step
	for i, step := range steps {
		if !selected[i] {
			others = append(others, step)
			continue
		}
		to, ok := takeDestination(step.Stream, available, random)
		if !ok {
			others = append(others, step)
			continue
		}
		moves = append(moves, Step{step.Stream, Move{to}, savedTokens(step.Stream)})
	}
	// The largest savings come first, so that the least is lost if the notice is cut short.
	sort.SliceStable(moves, func(i, j int) bool { return moves[i].SavedTokens > moves[j].SavedTokens })
	return append(moves, others...)
}

// savedTokens returns the number of tokens that need not be computed again after a move.
func savedTokens(s Stream) int { return max(s.KVTokens-s.CachedElsewhere, 0) }

func transferBytes(s Stream, bytesPerToken float64) float64 {
	return float64(s.KVTokens) * bytesPerToken
}

// selectMoves selects the streams to move within a budget of bytes: greedily by savings per
// byte, then by size. If the single stream with the largest saving saves more than all of
// these, it is selected alone, which guarantees at least half of the optimum.
func selectMoves(steps []Step, budget, bytesPerToken float64) []bool {
	order := make([]int, len(steps))
	for i := range order {
		order[i] = i
	}
	sort.SliceStable(order, func(a, b int) bool { return savesMorePerByte(steps[order[a]].Stream, steps[order[b]].Stream) })
	selected := make([]bool, len(steps))
	totalSaved, usedBytes := 0, 0.0
	best := -1
	for _, i := range order {
		s := steps[i].Stream
		bytes := transferBytes(s, bytesPerToken)
		if bytes > budget || savedTokens(s) == 0 {
			continue
		}
		if best < 0 || savedTokens(s) > savedTokens(steps[best].Stream) {
			best = i
		}
		if usedBytes+bytes <= budget {
			selected[i] = true
			usedBytes += bytes
			totalSaved += savedTokens(s)
		}
	}
	if best >= 0 && savedTokens(steps[best].Stream) > totalSaved {
		selected = make([]bool, len(steps))
		selected[best] = true
	}
	return selected
}

// savesMorePerByte sorts streams by savings per byte, the larger stream first among equals.
func savesMorePerByte(a, b Stream) bool {
	left := savedTokens(a) * b.KVTokens
	right := savedTokens(b) * a.KVTokens
	if left != right {
		return left > right
	}
	return a.KVTokens > b.KVTokens
}

// takeDestination picks a destination for a stream and reserves room there. It draws two of
// the destinations with room and picks the one with the lower hazard, then the one with
// fewer running requests. The random draw keeps entries that decide at the same moment from
// all picking the same destination (Mitzenmacher 2001).
func takeDestination(s Stream, destinations []Destination, random *rand.Rand) (endpoint.Info, bool) {
	var candidates []int
	for i := range destinations {
		if destinations[i].hasRoomFor(s) {
			candidates = append(candidates, i)
		}
	}
	if len(candidates) == 0 {
		return endpoint.Info{}, false
	}
	best := &destinations[candidates[random.IntN(len(candidates))]]
	if other := &destinations[candidates[random.IntN(len(candidates))]]; other.preferredTo(best) {
		best = other
	}
	best.FreeTokens -= s.KVTokens + s.RemainingTokens
	best.Running++
	return best.Endpoint, true
}

// hazardBucket rounds a hazard down to a power of two and returns the exponent, so that
// small differences do not concentrate streams on one endpoint.
func hazardBucket(perHour float64) int {
	if perHour <= 0 {
		return math.MinInt
	}
	return int(math.Floor(math.Log2(perHour)))
}

// preferredTo reports whether d is the better destination.
func (d *Destination) preferredTo(other *Destination) bool {
	if a, b := hazardBucket(d.HazardPerHour), hazardBucket(other.HazardPerHour); a != b {
		return a < b
	}
	return d.Running < other.Running
}

// ResumeAll is the baseline to which tests compare Plan: every stream runs until its
// endpoint goes away, and its tokens are computed again elsewhere.
func ResumeAll(streams []Stream) []Step {
	steps := make([]Step, len(streams))
	for i, s := range streams {
		steps[i] = Step{Stream: s, Action: Resume{}}
	}
	return steps
}
