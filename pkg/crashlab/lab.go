// Package crashlab plays requests in virtual time to endpoints that crash, under a part of a prompt or for
// another reason, against the quarantine as shipped. All hosts share what they know at once.
package crashlab

import (
	"fmt"
	"io"
	"math/rand/v2"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/quarantine"
)

// Parameters of a run.
const (
	// step is the time between two looks at all endpoints.
	step = 5 * time.Millisecond
	// meanPrefill is the mean time until an answer begins, runTime the time that it then takes.
	meanPrefill = 150 * time.Millisecond
	runTime     = 1200 * time.Millisecond
	// downTime is how long an endpoint is down after a crash.
	downTime = 2500 * time.Millisecond
	// trialInterval is the time between two grants of trials.
	trialInterval = 200 * time.Millisecond
	// knownCrashes is the number of crashes under deadly parts after which crashes are late, contactTime how
	// long after them.
	knownCrashes = 5
	contactTime  = 3 * time.Second
	// teams is the number of teams, soundRate the number of sound requests per second.
	teams     = 5
	soundRate = 70
)

// Outcome is the result of a run.
type Outcome struct {
	// Sound is the number of sound requests sent, Rejected the number of those that were rejected.
	Sound, Rejected int
	// Crashes is the number of crashes under deadly parts, Late the number of those later than contactTime
	// after the fifth.
	Crashes, Late int
}

// Run is a run of sound requests of three routes. The function given to Play injects crashes and deadly
// requests.
type Run struct {
	Random  *rand.Rand
	outcome Outcome
	watch   *quarantine.Watch
	start   time.Time
	now     time.Time
	// knownAt is when the crash number knownCrashes happened.
	knownAt   time.Time
	endpoints []simulatedEndpoint
	sent      int
}

type simulatedEndpoint struct {
	downUntil time.Time
	// starts counts the starts of the endpoint.
	starts  int
	running []simulatedRun
}

type simulatedRun struct {
	request          quarantine.Request
	isDeadly, begun  bool
	beginsAt, endsAt time.Time
}

// NewRun returns a run with a number of endpoints.
func NewRun(seed uint64, endpoints int) *Run {
	start := time.Unix(1_000_000, 0)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return &Run{
		Random: rand.New(rand.NewPCG(seed, 0)), watch: quarantine.NewWatch(prometheus.NewRegistry(), logger),
		start: start, now: start, endpoints: make([]simulatedEndpoint, endpoints),
	}
}

// Play sends sound requests for some time and calls each in every step.
func (r *Run) Play(length time.Duration, each func()) Outcome {
	for r.Elapsed() < length {
		r.advance()
		for expected := soundRate * step.Seconds(); expected > 0; expected-- {
			if r.Random.Float64() < expected {
				r.outcome.Sound++
				r.send(r.soundRequest(), false)
			}
		}
		each()
		if r.IsDue(trialInterval) {
			for _, c := range r.watch.DueTrials(r.now) {
				r.watch.GrantTrial(c.Fingerprint, c.Trials+1, r.now)
			}
		}
	}
	return r.outcome
}

// Elapsed returns the time since the start of the run.
func (r *Run) Elapsed() time.Duration { return r.now.Sub(r.start) }

// IsDue reports whether something that happens at an interval does in this step.
func (r *Run) IsDue(interval time.Duration) bool { return r.Elapsed()%interval < step }

// HappensAt reports whether something that happens at random with a mean rate does in this step.
func (r *Run) HappensAt(perSecond float64) bool { return r.Random.Float64() < perSecond*step.Seconds() }

// Send sends a request of the first team, which crashes the endpoint that begins to answer it if isDeadly is
// set.
func (r *Run) Send(isDeadly bool, parts ...string) {
	r.send(r.newRequest(Team(0), parts...), isDeadly)
}

// Team returns the name of a team.
func Team(number int) string { return fmt.Sprint("team", number) }

func (r *Run) newRequest(team string, parts ...string) quarantine.Request {
	r.sent++
	f := quarantine.FingerprintOf("POST", "/x", team, []byte(fmt.Sprint(r.sent)))
	return quarantine.NewRequest(f, quarantine.Prompt{Scope: "service", Team: team, Parts: parts})
}

// soundRequest returns a request of one of three routes: one with a single part of 152, two with a first
// part of 4 or 20 and a second one of the team's own.
func (r *Run) soundRequest() quarantine.Request {
	team := Team(min(r.Random.IntN(teams), r.Random.IntN(teams)))
	switch r.Random.IntN(6) {
	case 0:
		return r.newRequest(team, fmt.Sprint("r", r.Random.IntN(4)), fmt.Sprint("rs", r.Random.IntN(67), team))
	case 1, 2:
		return r.newRequest(team, fmt.Sprint("c", r.Random.IntN(152)))
	default:
		return r.newRequest(team, fmt.Sprint("e", r.Random.IntN(20)), fmt.Sprint("es", r.Random.IntN(126), team))
	}
}

// send sends a request to an endpoint that is up.
func (r *Run) send(request quarantine.Request, isDeadly bool) {
	for _, i := range r.Random.Perm(len(r.endpoints)) {
		e := &r.endpoints[i]
		if e.downUntil.After(r.now) {
			continue
		}
		if _, admitted, _ := r.watch.CheckRequest(request, r.now); !admitted {
			if !isDeadly {
				r.outcome.Rejected++
			}
			return
		}
		begins := r.now.Add(time.Duration((0.3 + 1.4*r.Random.Float64()) * float64(meanPrefill)))
		e.running = append(e.running, simulatedRun{request: request, isDeadly: isDeadly, beginsAt: begins, endsAt: begins.Add(runTime)})
		return
	}
}

// Crash crashes an endpoint, unless it is down.
func (r *Run) Crash(number int) {
	e := &r.endpoints[number%len(r.endpoints)]
	if e.downUntil.After(r.now) {
		return
	}
	id := fmt.Sprint("e", number%len(r.endpoints), "-", e.starts)
	for _, run := range e.running {
		r.watch.RecordInterruption(id, quarantine.Run{Request: run.request, Answered: run.begun}, r.now)
	}
	r.watch.EndpointCrashed(id, "lab", r.now)
	*e = simulatedEndpoint{downUntil: r.now.Add(downTime), starts: e.starts + 1}
}

// advance plays one step at all endpoints.
func (r *Run) advance() {
	r.now = r.now.Add(step)
	for i := range r.endpoints {
		running := r.endpoints[i].running[:0]
		crashes := false
		for _, run := range r.endpoints[i].running {
			if !run.begun && !run.beginsAt.After(r.now) {
				crashes = crashes || run.isDeadly
				run.begun = !run.isDeadly
				if run.begun {
					r.watch.AnswerBegan(run.request, r.now)
				}
			}
			if run.begun && !run.endsAt.After(r.now) {
				r.watch.AnswerCompleted(run.request, r.now)
				continue
			}
			running = append(running, run)
		}
		r.endpoints[i].running = running
		if crashes {
			r.countCrash()
			r.Crash(i)
		}
	}
}

// countCrash counts a crash under a deadly part.
func (r *Run) countCrash() {
	r.outcome.Crashes++
	switch {
	case r.outcome.Crashes == knownCrashes:
		r.knownAt = r.now
	case r.outcome.Crashes > knownCrashes && r.now.Sub(r.knownAt) > contactTime:
		r.outcome.Late++
	}
}
