package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"ironhollow/platform/standin"
)

// TakeUps are streams that callers take up at other hosts, in rounds. Each round breaks the streams at
// one host, and those that continue once more at the next.
type TakeUps struct {
	Rounds, StreamsPerRound int
	// Break breaks the streams at a host.
	Break Break
}

// Break is how a host's streams are broken.
type Break int

// The ways: the caller closes its connection, the host is killed or suspended, or all hosts are killed.
const (
	BreakByCaller Break = iota
	BreakByKill
	BreakBySuspension
	BreakByKillOfAll
)

// TakeUpOutcome counts streams and take-ups.
type TakeUpOutcome struct {
	// Begun counts streams that began, Mixed those of them with events of several releases.
	Begun, Mixed int
	// TakenUp counts the times that a stream was taken up, WentOn those after which it continued.
	TakenUp, WentOn int
}

// Timing of take-ups.
const (
	// eventsBeforeBreak is how many events a stream has at least when it is broken.
	eventsBeforeBreak = 6
	// takeUpTries is how often a caller tries to take a stream up, takeUpPause the time between tries.
	takeUpTries = 4
	takeUpPause = 100 * time.Millisecond
	// silenceTimeout is the time without an event after which a caller gives a stream up.
	silenceTimeout = 250 * time.Millisecond
	// meetTime is the time in which hosts that start together find each other, settleTime that for a
	// restarted host.
	meetTime, settleTime = 3 * time.Second, 500 * time.Millisecond
	// minEvents is the least number of events of the streams used.
	minEvents = 18
	// eventIntervalBeforeKill lets hosts save where streams began before they are all killed.
	eventIntervalBeforeKill = 150 * time.Millisecond
)

// RunTakeUps breaks streams of a service with several releases and takes them up.
func RunTakeUps(ctx context.Context, o Options, versions []string, takeUps TakeUps) (Outcome, TakeUpOutcome, error) {
	r := newRun(o)
	r.streamVersions = versions
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, TakeUpOutcome{}, err
	}
	if takeUps.Break == BreakByKillOfAll {
		r.requestLog.SetEventInterval(eventIntervalBeforeKill)
	}
	r.wait(ctx, meetTime)
	var got TakeUpOutcome
	for round := range takeUps.Rounds {
		var streams []*brokenStream
		for i := range takeUps.StreamsPerRound {
			s := r.newStream(fmt.Sprintf("s%d-%d-%d", o.Seed, round, i))
			if takeUps.Break == BreakByKillOfAll {
				s.silence = 2 * eventIntervalBeforeKill
			}
			streams = append(streams, s)
		}
		for hop := range 2 {
			host := (round + hop) % len(r.nodes)
			r.readAndBreak(ctx, streams, host, takeUps.Break)
			if takeUps.Break != BreakByKillOfAll {
				continue
			}
			if err := r.waitReady(startTimeout); err != nil {
				return Outcome{}, got, err
			}
		}
		r.eachStream(streams, func(s *brokenStream) { s.takeUp(ctx, (round+2)%len(r.nodes), func() {}, false) })
		for _, s := range streams {
			got.add(s)
		}
		if err := r.waitReady(startTimeout); err != nil {
			return Outcome{}, got, err
		}
		r.wait(ctx, settleTime)
	}
	return r.outcome(), got, ctx.Err()
}

// readAndBreak begins streams at a host, or takes them up there, and breaks them.
func (r *run) readAndBreak(ctx context.Context, streams []*brokenStream, host int, how Break) {
	var reading sync.WaitGroup
	reading.Add(len(streams))
	go func() {
		reading.Wait()
		switch how {
		case BreakByKill:
			r.nodes[host].signal(syscall.SIGKILL)
		case BreakByKillOfAll:
			for _, n := range r.nodes {
				n.signal(syscall.SIGKILL)
			}
		case BreakBySuspension:
			r.nodes[host].signal(syscall.SIGSTOP)
			time.AfterFunc(time.Second, func() { r.nodes[host].signal(syscall.SIGCONT) })
		}
	}()
	r.eachStream(streams, func(s *brokenStream) { s.takeUp(ctx, host, sync.OnceFunc(reading.Done), how == BreakByCaller) })
}

func (r *run) eachStream(streams []*brokenStream, use func(*brokenStream)) {
	var all sync.WaitGroup
	for _, s := range streams {
		all.Go(func() { use(s) })
	}
	all.Wait()
}

// brokenStream is a caller's stream over its attempts.
type brokenStream struct {
	run  *run
	name string
	// first is the attempt that brought the first event, last the last event received.
	first string
	last  int
	// isComplete is set once the end of the stream has been received.
	isComplete      bool
	attempts        int
	takenUp, wentOn int
	versions        []string
	// addressOf returns the address at which the caller reaches a host, silence is how long it waits for
	// an event.
	addressOf func(*node) string
	silence   time.Duration
	// host is the number of the host that the next attempt goes to.
	host int
	// eventsBeforeBreak is how many events an attempt has when reached is called.
	eventsBeforeBreak int
	// longestGap is the longest time between two events within an attempt.
	longestGap time.Duration
}

func (r *run) newStream(name string) *brokenStream {
	return &brokenStream{run: r, name: name, addressOf: func(n *node) string { return n.settings.Callers }, silence: silenceTimeout, eventsBeforeBreak: eventsBeforeBreak}
}

func (o *TakeUpOutcome) add(s *brokenStream) {
	if s.first == "" {
		return
	}
	o.Begun++
	o.TakenUp += s.takenUp
	o.WentOn += s.wentOn
	if slices.Sort(s.versions); len(slices.Compact(s.versions)) > 1 {
		o.Mixed++
	}
}

// takeUp begins the stream at a host, or continues there after its last event, and at the next hosts if that
// host does not serve it. reached is called once the stream has some events at the host, or ends.
func (s *brokenStream) takeUp(ctx context.Context, host int, reached func(), breaks bool) {
	defer reached()
	if s.isComplete {
		return
	}
	isTakenUp := s.first != ""
	if isTakenUp {
		s.takenUp++
	}
	for try := range takeUpTries {
		n := s.run.nodes[(host+try)%len(s.run.nodes)]
		before := s.last
		s.read(ctx, n, reached, breaks)
		if s.last > before || s.isComplete {
			if isTakenUp {
				s.wentOn++
			}
			return
		}
		time.Sleep(takeUpPause)
	}
}

// nextID returns the ID of the next attempt, whose stream is long enough.
func (s *brokenStream) nextID() string {
	for {
		s.attempts++
		if id := fmt.Sprintf("%s-%d", s.name, s.attempts); standin.EventCount(id) >= minEvents {
			return id
		}
	}
}

// read makes one attempt and reads its events.
func (s *brokenStream) read(ctx context.Context, n *node, reached func(), breaks bool) {
	ctx, cancel := context.WithTimeout(ctx, standin.RequestTimeout)
	defer cancel()
	id := s.nextID()
	request, err := standin.NewRequest(s.addressOf(n), standin.Resume, id, "body")
	if err != nil {
		s.run.report.addViolation("%s: %v", id, err)
		return
	}
	if s.first != "" {
		request.Header.Set("Resumes", s.first)
		request.Header.Set("Last-Event-Id", strconv.Itoa(s.last))
	}
	silent := time.AfterFunc(standin.RequestTimeout, cancel)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err := transport.RoundTrip(request.WithContext(ctx))
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return
	}
	events, lastAt := 0, time.Now()
	defer func() {
		if events > 0 {
			s.versions = append(s.versions, s.run.requestLog.StreamVersions(id)...)
		}
	}()
	lines := bufio.NewReader(response.Body)
	for {
		silent.Reset(s.silence)
		line, err := lines.ReadString('\n')
		if number, ok := strings.CutPrefix(line, "id: "); ok && err == nil {
			s.last, _ = strconv.Atoi(strings.TrimSpace(number))
			if s.first == "" {
				s.first = id
			}
			if events++; events > 1 {
				s.longestGap = max(s.longestGap, time.Since(lastAt))
			}
			lastAt = time.Now()
		}
		if events >= s.eventsBeforeBreak {
			reached()
			if breaks {
				return
			}
		}
		if err != nil {
			s.isComplete = err == io.EOF
			return
		}
	}
}
