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
	// leaving are the slots of leaving endpoints that may still get requests while no other
	// endpoint has room. They are not in slots.
	leaving []*slot
	// leavingUntil is the time from which on none of them gets a request.
	leavingUntil time.Time
	// prefixes estimates which prefixes are cached at which endpoints.
	prefixes        *prefixIndex
	random          *rand.Rand
	roundRobinIndex int
	// ejectedCount is the number of ejected slots. backoffsUntil is the end of the last backoff of
	// any slot, penaltiesUntil that of the last penalty.
	ejectedCount int
	// limitedCount is the number of slots whose endpoint has set a limit.
	limitedCount                  int
	backoffsUntil, penaltiesUntil time.Time
	fragile                       fragility
	demand                        demand
	// speed is the common speed estimate of the endpoints.
	speed *enginemodel.Estimator
	// hasSpeeds is set once there is evidence on the speed of any endpoint. factorsAt is when the
	// endpoints' factors were last computed.
	hasSpeeds bool
	factorsAt time.Time
	// placements are those that were not sent to the other entries yet.
	placements []Placement
	// choicesSinceExplored is the number of choices since an idle endpoint was last explored.
	choicesSinceExplored int
}

// slot is the state of one endpoint. Its fields are guarded by its group's lock.
type slot struct {
	// group never changes.
	group *group
	info  endpoint.Info
	load  load
	// leaving is set if the slot is in the group's list of leaving endpoints.
	leaving bool
	// hash is the hash of the endpoint's ID.
	hash uint64
	// cachedTokens and homeTokens are scratch space of one choice: the number of the prompt's
	// tokens that the endpoint was sent before, and the number of tokens of a shared prefix that
	// no endpoint is known to have cached and whose home is this endpoint.
	cachedTokens, homeTokens int
}

// load is the load of an endpoint as far as this entry knows it.
type load struct {
	// These fields are from the latest report.
	running, waiting, slots int
	// queuedTokens is the number of other entries' prompt tokens that were not prefilled at
	// queuedAt.
	queuedTokens   int
	queuedAt       time.Time
	freeTokens     int
	reportSequence int64
	// polledAt is when the endpoint's load was last polled, or reported without a poll.
	polledAt time.Time
	// sentSinceReport counts this entry's requests sent after the report; endedSinceReport counts
	// those included in the report that have ended since.
	sentSinceReport, endedSinceReport int
	localRunning                      int
	// sentAt is when this entry last sent the endpoint a request.
	sentAt time.Time
	// localPrefillTokens counts the tokens of this entry's requests that have no first token yet.
	localPrefillTokens int
	meanDuration       time.Duration
	// cacheTrust is the part of the tokens estimated to be cached that actually were, 0 to 1.
	cacheTrust float64
	// failures counts the failures in a row, failedAt is the time of the latest.
	failures     int
	failedAt     time.Time
	ejections    int
	ejectedUntil time.Time
	backoff      backoff
	// bucket is this host's share of the endpoint's limit, nil for no limit.
	bucket *ratelimit.Bucket
	// fragile is this host's share of the endpoint's slots, nil if the endpoint is not fragile. It is
	// provisional until the endpoint has answered; isSturdy is set once an answer showed that it is
	// not fragile.
	fragile                 *ratelimit.Slots
	isProvisional, isSturdy bool
	// refusals is the number of recent refusals, refusedAt the time of the latest.
	refusals      int
	refusedAt     time.Time
	hazardPerHour float64
	hazardAt      time.Time
	// relative is what all entries' answers show about the endpoint's speed, unsentSpeed the part of
	// this entry that has not been reported to the others. factor is the resulting time that the
	// endpoint takes relative to its service; 1 if it counts as equal to the others.
	relative    enginemodel.Relative
	unsentSpeed enginemodel.Evidence
	factor      float64
}

// Initial estimates, used until answers show how fast the engines are, and constants of the score.
const (
	initialTokenGap       = 26 * time.Millisecond
	initialPrefill        = 200 * time.Microsecond
	initialRequestTime    = 4 * time.Second
	hazardCacheTime       = time.Second
	secondsPerHour        = 3600
	crossDataCenterWeight = time.Millisecond
)

// newLoad returns the initial load of an endpoint, with its stored backoff and limit. The router's
// lock must be held.
func (r *Router) newLoad(info endpoint.Info) load {
	slots := info.Slots
	if slots == 0 {
		slots = defaultSlots
	}
	return load{
		slots: slots, meanDuration: r.initialSpeed.MeanRequestTime, cacheTrust: 1, factor: 1, backoff: r.backoffOf(info.Ref()),
		bucket: r.bucketOf(info.Ref()), fragile: r.fragileSlotsOf(info.Ref()),
	}
}

// prefillAhead returns the estimated number of prompt tokens that are prefilled before those of a
// request sent now: those of this entry's requests without a first token, and those that other
// entries sent, less what the endpoint has prefilled since.
func (l *load) prefillAhead(prefill time.Duration, now time.Time) int {
	read := 0
	if age := now.Sub(l.queuedAt); age > 0 && prefill > 0 {
		read = int(age / prefill)
	}
	return l.localPrefillTokens + max(l.queuedTokens-read, 0)
}
