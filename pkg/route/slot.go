package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
)

// group is the endpoints that serve one target.
type group struct {
	mu    sync.Mutex
	slots []*slot
	// index is what is thought cached where.
	index  *prefixIndex
	random *rand.Rand
	turn   int
	// ejected counts slots that are out.
	ejected int
	work    work
	// placed is what was sent since the other entries were last told.
	placed []Placement
}

// slot is what is known of one endpoint. Its fields are guarded by its group.
type slot struct {
	// group never changes.
	group *group
	info  endpoint.Info
	load  load
	// hash is of the endpoint's id.
	hash uint64
	// cached is scratch space of one choice.
	cached int
}

// load is the state of an endpoint as far as it is known here.
type load struct {
	// reported is from the latest report, taken at reportedAt.
	running, waiting, slots int
	queuedTokens            int
	freeTokens              int
	sequence                int64
	// askedAt is when the endpoint was last asked, or heard of unasked.
	askedAt time.Time
	// sentSince counts own requests sent after the report; endedSince own
	// requests, among those the report saw, that have ended since.
	sentSince, endedSince int
	ownRunning            int
	// ownPrefill is tokens of own requests that have no first token yet.
	ownPrefill      int
	tokenGap        time.Duration
	prefillPerToken time.Duration
	meanDuration    time.Duration
	// trust is the part of the tokens reckoned cached that were, 0 to 1.
	trust        float64
	failures     int
	ejections    int
	ejectedUntil time.Time
	rate         float64
	rateAt       time.Time
}

// Figures used until an endpoint's own have been measured.
const (
	startTokenGap    = 26 * time.Millisecond
	startPrefill     = 200 * time.Microsecond
	startMeanAnswer  = 4 * time.Second
	hazardKept       = time.Second
	secondsAnHour    = 3600
	crossPlaceWeight = time.Millisecond
)

func (r *Router) newLoad(info endpoint.Info) load {
	slots := info.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	f := r.figures
	return load{slots: slots, tokenGap: f.TokenGap, prefillPerToken: f.Prefill, meanDuration: f.MeanAnswer, trust: 1}
}
