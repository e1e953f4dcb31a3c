package route

import (
	"math/rand/v2"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/ratelimit"
)

// group is the endpoints that serve one target.
type group struct {
	mu    sync.Mutex
	slots []*slot
	// index is what is thought cached where.
	index  *prefixIndex
	random *rand.Rand
	turn   int
	// ejected counts slots that are out for failures. backoffsUntil is when the last
	// backoff of any ends, penaltiesUntil the last penalty.
	ejected int
	// limited counts slots whose endpoint names a limit.
	limited                       int
	backoffsUntil, penaltiesUntil time.Time
	work                          work
	// model is how fast the endpoints are together.
	model *enginemodel.Estimator
	// placed is what was sent since the other entries were last sent placements.
	placed []Placement
	// choicesSinceExplored is the number of choices since an idle endpoint was last explored.
	choicesSinceExplored int
}

// slot is what is known of one endpoint. Its fields are guarded by its group.
type slot struct {
	// group never changes.
	group *group
	info  endpoint.Info
	load  load
	// hash is of the endpoint's id.
	hash uint64
	// cached and homeTokens are scratch space of one choice: the prompt's tokens that
	// the endpoint was sent before, and those of a shared part that nobody is known to
	// have read and that has its home here.
	cached, homeTokens int
}

// load is the state of an endpoint as far as it is known here.
type load struct {
	// These are from the latest report.
	running, waiting, slots int
	// queuedTokens were others' prompts that were not read yet at queuedAt.
	queuedTokens int
	queuedAt     time.Time
	freeTokens   int
	sequence     int64
	// askedAt is when the endpoint was last asked for its load, or reported it unasked.
	askedAt time.Time
	// sentSince counts own requests sent after the report; endedSince own
	// requests, among those the report saw, that have ended since.
	sentSince, endedSince int
	ownRunning            int
	// sentAt is when this entry last sent the endpoint a request.
	sentAt time.Time
	// ownPrefill is tokens of own requests that have no first token yet.
	ownPrefill   int
	meanDuration time.Duration
	// trust is the part of the tokens estimated to be cached that were, 0 to 1.
	trust        float64
	failures     int
	ejections    int
	ejectedUntil time.Time
	backoff      backoff
	// bucket is this host's share of the endpoint's limit, nil for no limit.
	bucket *ratelimit.Bucket
	// refusals is how many there were recently, refusedAt the latest.
	refusals  int
	refusedAt time.Time
	rate      float64
	rateAt    time.Time
}

// Figures used until answers have shown how fast the engines are.
const (
	startTokenGap    = 26 * time.Millisecond
	startPrefill     = 200 * time.Microsecond
	startMeanAnswer  = 4 * time.Second
	hazardKept       = time.Second
	secondsAnHour    = 3600
	crossPlaceWeight = time.Millisecond
)

// newLoad returns the state of an endpoint of which nothing is known but its backoff and the
// limit that it names. The router's lock is held.
func (r *Router) newLoad(info endpoint.Info) load {
	slots := info.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	return load{
		slots: slots, meanDuration: r.figures.MeanRequestTime, trust: 1, backoff: r.backoffOf(info.Ref()),
		bucket: r.bucketOf(info.Ref()),
	}
}

// ahead returns the prompt tokens that are estimated to be read before a request sent now: own
// requests' without a first token, and those that others sent, less what the endpoint has read
// since.
func (l *load) ahead(prefill time.Duration, now time.Time) int {
	read := 0
	if age := now.Sub(l.queuedAt); age > 0 && prefill > 0 {
		read = int(age / prefill)
	}
	return l.ownPrefill + max(l.queuedTokens-read, 0)
}
