package forward_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

const (
	// moveEvents is the number of events of a stream, moveEventGap the time between them.
	moveEvents   = 200
	moveEventGap = 5 * time.Millisecond
	// moveTokens is the number of tokens of an event, at the token gap of the harness.
	moveTokens = 5
	// moveNotice is how long before an endpoint's end its leaving is known: less than the streams last.
	moveNotice = 800 * time.Millisecond
)

// movePlatform is endpoints whose runs can be moved, with the calls to move them.
type movePlatform struct {
	// onCopy returns the answer to a copy. It may stop the run.
	onCopy func(p *movePlatform, request migrate.CopyRequest) migrate.CopyAnswer
	// properEnd is set if the stream of a stopped run looks complete, staysOpen if it is not closed.
	properEnd, staysOpen bool
	// severed, if it is not nil, is closed to end the source's connection while the run continues.
	severed chan struct{}
	// unnumbered is set once events have no ids.
	unnumbered atomic.Bool

	mu sync.Mutex
	// stopped is closed when the present run of the source is stopped.
	stopped chan struct{}
	copies  []migrate.CopyRequest
	freed   []string
	// freeing counts the calls of Free in progress, copiedWhileFreeing the copies made meanwhile.
	freeing, copiedWhileFreeing int
	// running and mostRunning count the runs at all endpoints.
	running, mostRunning int
}

func (p *movePlatform) Copy(_ context.Context, request migrate.CopyRequest) migrate.CopyAnswer {
	p.mu.Lock()
	p.copies = append(p.copies, request)
	if p.freeing > 0 {
		p.copiedWhileFreeing++
	}
	isRunning := p.running > 0
	p.mu.Unlock()
	if !isRunning {
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}
	return p.onCopy(p, request)
}

func (p *movePlatform) Free(_ context.Context, _ migrate.Source, handle string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.freeing++
	p.mu.Unlock()
	time.Sleep(150 * time.Millisecond)
	p.mu.Lock()
	p.freeing--
	p.freed = append(p.freed, handle)
	return nil
}

func (p *movePlatform) Report(context.Context, migrate.Source) (migrate.Report, error) {
	return migrate.Report{}, errors.New("no report")
}

// stop stops the run of the source. Endpoints answer a call that stops a run once it has ended.
func (p *movePlatform) stop() {
	p.mu.Lock()
	close(p.stopped)
	p.stopped = make(chan struct{})
	before := p.running
	p.mu.Unlock()
	for deadline := time.Now().Add(time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		p.mu.Lock()
		hasEnded := p.running < before || before == 0
		p.mu.Unlock()
		if hasEnded {
			return
		}
	}
}

func (p *movePlatform) count(change int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.running += change
	p.mostRunning = max(p.mostRunning, p.running)
}

func (p *movePlatform) freedHandles() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.freed...)
}

// checkFreed checks the number of copies that are freed within three seconds, and that no more are
// shortly after.
func (p *movePlatform) checkFreed(t *testing.T, want int) {
	t.Helper()
	for deadline := time.Now().Add(3 * time.Second); len(p.freedHandles()) < want && time.Now().Before(deadline); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
	if freed := p.freedHandles(); len(freed) != want {
		t.Errorf("copies freed: got %v, want %d", freed, want)
	}
}

func (p *movePlatform) copyCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.copies)
}

func moveEvent(n int) string { return fmt.Sprintf("id: %d\ndata: event %d\n\n", n, n) }

func allMoveEvents() string {
	var b strings.Builder
	for n := 1; n <= moveEvents; n++ {
		b.WriteString(moveEvent(n))
	}
	return b.String()
}

// run writes a stream from the event after the caller's last one, until stopped is closed or, if it
// is above 0, only to event last.
func (p *movePlatform) run(c net.Conn, r *http.Request, stopped <-chan struct{}, last int) bool {
	severed := p.severed
	if stopped == nil || r.Header.Get("Copy") != "" {
		severed = nil
	}
	p.count(1)
	ended := sync.OnceFunc(func() { p.count(-1) })
	defer ended()
	_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id")))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
	for n := from + 1; n <= moveEvents; n++ {
		event := moveEvent(n)
		if p.unnumbered.Load() {
			event = "data: event\n\n"
		}
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event); err != nil || n == last {
			return false
		}
		select {
		case <-stopped:
			if p.staysOpen {
				ended()
				_, _ = io.Copy(io.Discard, c)
			}
			if p.properEnd {
				ended()
				_, _ = io.WriteString(c, "0\r\n\r\n")
			}
			return false
		case <-severed:
			_ = c.Close()
			<-stopped
			return false
		case <-time.After(moveEventGap):
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// source runs a stream until it is stopped.
func (p *movePlatform) source(c net.Conn, r *http.Request) bool {
	p.mu.Lock()
	stopped := p.stopped
	p.mu.Unlock()
	return p.run(c, r, stopped, 0)
}

func (p *movePlatform) target(c net.Conn, r *http.Request) bool { return p.run(c, r, nil, 0) }

// copyAndStop answers like an endpoint whose moves succeed.
func copyAndStop(p *movePlatform, request migrate.CopyRequest) migrate.CopyAnswer {
	if request.Stop {
		p.stop()
	}
	return migrate.CopyAnswer{Result: migrate.Copied, Handle: "handle"}
}

// atStop returns an onCopy whose first copy succeeds; the run is stopped before the given answer.
func atStop(answer migrate.CopyAnswer) func(*movePlatform, migrate.CopyRequest) migrate.CopyAnswer {
	return func(p *movePlatform, request migrate.CopyRequest) migrate.CopyAnswer {
		if ok := copyAndStop(p, request); !request.Stop {
			return ok
		}
		return answer
	}
}

// patientSpec is spec for streams that a busy machine delays.
func patientSpec() routetable.Spec {
	s := spec()
	for i := range s.Routes {
		s.Routes[i].Timeout = 5 * time.Second
	}
	return s
}

func moveSpec() routetable.Spec {
	s := patientSpec()
	s.Services[0].TokensPerEvent = moveTokens
	s.Services[0].Moves = &routetable.Moves{BytesPerToken: 100, BytesPerSecond: 1e9, HandleLifetime: time.Second}
	return s
}

// startMove sends a stream to e0, lets e0 leave once the stream has begun and adds the other endpoints,
// of which a nil one cannot be reached.
func startMove(t *testing.T, spec routetable.Spec, p *movePlatform, path string, notice time.Duration, others ...script) (s *harness, answer chan callerResponse) {
	t.Helper()
	p.stopped = make(chan struct{})
	s = newHarness(t, spec, true, p.source)
	s.forwarder.MoveStreams(forward.NewMover(p, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	answer = make(chan callerResponse, 1)
	go func() {
		answer <- s.send("POST", path, "body", "Prompt-Tokens", "1000", "Expected-Tokens", strconv.Itoa(moveEvents*moveTokens))
	}()
	for len(s.requests()) == 0 {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(20 * moveEventGap)
	for i, other := range others {
		listener := s.listen()
		s.serve("e"+strconv.Itoa(i+1), listener, other)
		if other == nil {
			_ = listener.Close()
		}
	}
	leaving := s.endpoint("e0")
	leaving.State, leaving.LeaveBy = endpoint.Leaving, time.Now().Add(notice)
	s.directory.Merge(leaving)
	return s, answer
}

// visits returns the endpoints that received the request; those that continued from a copy are marked.
func (s *harness) visits() string {
	var visits []string
	for _, r := range s.requests() {
		visit := r.endpoint
		if r.header.Get("Copy") != "" {
			visit += " copy"
		}
		visits = append(visits, visit)
	}
	return strings.Join(visits, ", ")
}

const (
	whole  = "whole"
	broken = "broken"
)

func TestMoves(t *testing.T) {
	noRoom := migrate.CopyAnswer{Result: migrate.NoRoom, Handle: "handle"}
	lost := migrate.CopyAnswer{Result: migrate.Unknown, Err: errors.New("lost")}
	refuse := respond(notRunResponse, true)
	for _, c := range []struct {
		name, path string
		onCopy     func(*movePlatform, migrate.CopyRequest) migrate.CopyAnswer
		// second is the script of e1; nil for an endpoint that continues the run.
		second               func(p *movePlatform) script
		properEnd, staysOpen bool
		// want and wantVisits are the caller's stream and the endpoints; wantFreed is the number of
		// copies freed.
		want, wantVisits string
		wantFreed        int
	}{
		{name: "moved", path: "/stream/x", onCopy: copyAndStop, want: whole, wantVisits: "e0, e1 copy"},
		{name: "moved, resumable", path: "/resume/x", onCopy: copyAndStop, want: whole, wantVisits: "e0, e1 copy"},
		{name: "stopped run's stream looks complete", path: "/stream/x", onCopy: copyAndStop, properEnd: true, want: whole, wantVisits: "e0, e1 copy"},
		{name: "stopped run's stream is not closed", path: "/stream/x", onCopy: copyAndStop, staysOpen: true, want: whole, wantVisits: "e0, e1 copy"},
		{name: "target has no room", path: "/stream/x", onCopy: func(*movePlatform, migrate.CopyRequest) migrate.CopyAnswer { return noRoom }, want: whole, wantVisits: "e0"},
		{name: "target cannot be reached", path: "/stream/x", onCopy: copyAndStop, second: func(*movePlatform) script { return nil }, want: whole, wantVisits: "e0, e2 copy", wantFreed: 1},
		{name: "target lost its room", path: "/stream/x", onCopy: atStop(noRoom), want: whole, wantVisits: "e0, e0 copy, e0 copy"},
		{name: "target refuses the request", path: "/stream/x", onCopy: copyAndStop, second: func(*movePlatform) script { return refuse }, want: whole, wantVisits: "e0, e1 copy, e0 copy, e2 copy"},
		{name: "answer to the stop lost", path: "/stream/x", onCopy: atStop(lost), want: whole, wantVisits: "e0, e0 copy, e0 copy"},
		{name: "answer to the stop lost, resumable", path: "/resume/x", onCopy: atStop(lost), want: whole, wantVisits: "e0, e1", wantFreed: 1},
		{name: "stop lost, run continues", path: "/stream/x", onCopy: func(_ *movePlatform, r migrate.CopyRequest) migrate.CopyAnswer {
			if r.Stop {
				return lost
			}
			return migrate.CopyAnswer{Result: migrate.Copied, Handle: "handle"}
		}, want: whole, wantVisits: "e0", wantFreed: 1},
		{name: "stop refused without a handle, run continues", path: "/stream/x", onCopy: func(_ *movePlatform, r migrate.CopyRequest) migrate.CopyAnswer {
			if r.Stop {
				return migrate.CopyAnswer{Result: migrate.NoRoom}
			}
			return migrate.CopyAnswer{Result: migrate.Copied, Handle: "handle"}
		}, want: whole, wantVisits: "e0", wantFreed: 1},
		{name: "source lost in mid-copy", path: "/stream/x", onCopy: func(p *movePlatform, _ migrate.CopyRequest) migrate.CopyAnswer { p.stop(); return lost }, want: broken, wantVisits: "e0"},
		{name: "source lost in mid-copy, resumable", path: "/resume/x", onCopy: func(p *movePlatform, _ migrate.CopyRequest) migrate.CopyAnswer { p.stop(); return lost }, want: whole, wantVisits: "e0, e1"},
		{name: "target dies after the handover", path: "/stream/x", onCopy: copyAndStop, second: dyingTarget, want: broken, wantVisits: "e0, e1 copy"},
		{name: "target dies after the handover, resumable", path: "/resume/x", onCopy: copyAndStop, second: dyingTarget, want: whole, wantVisits: "e0, e1 copy, e2"},
		{name: "target dies before its answer", path: "/stream/x", onCopy: copyAndStop, second: func(*movePlatform) script { return closeWithoutResponse }, want: broken, wantVisits: "e0, e1 copy", wantFreed: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := &movePlatform{onCopy: c.onCopy, properEnd: c.properEnd, staysOpen: c.staysOpen}
			second := script(p.target)
			if c.second != nil {
				second = c.second(p)
			}
			s, answer := startMove(t, moveSpec(), p, c.path, moveNotice, second)
			time.AfterFunc(80*time.Millisecond, func() { s.addEndpoint("e2", p.target) })
			got := <-answer
			isWhole := got.err == nil && got.body == allMoveEvents()
			if isWhole != (c.want == whole) {
				t.Errorf("stream: got %d bytes, %v, want it %s", len(got.body), got.err, c.want)
			}
			if !strings.HasPrefix(allMoveEvents(), got.body) {
				t.Errorf("stream: got %q, want each event once and in order", got.body)
			}
			if visits := s.visits(); visits != c.wantVisits {
				t.Errorf("endpoints: got %s, want %s", visits, c.wantVisits)
			}
			p.checkFreed(t, c.wantFreed)
			p.mu.Lock()
			defer p.mu.Unlock()
			if p.mostRunning != 1 {
				t.Errorf("runs at a time: got %d, want 1", p.mostRunning)
			}
			// The handle may be the same for each copy of a run, so that a late call to free one frees the next.
			if p.copiedWhileFreeing > 0 {
				t.Errorf("copies begun while one of the run was freed: got %d, want 0", p.copiedWhileFreeing)
			}
		})
	}
}

// Guards against a run that may run once and that continues from a copy while its endpoint still runs it: the call to
// stop it was lost, and its connection too.
func TestRunThatWasNotStoppedDoesNotContinue(t *testing.T) {
	for _, answers := range []bool{true, false} {
		stops := 0
		p := &movePlatform{severed: make(chan struct{}), onCopy: func(p *movePlatform, r migrate.CopyRequest) migrate.CopyAnswer {
			if !r.Stop {
				return migrate.CopyAnswer{Result: migrate.Copied, Handle: "handle"}
			}
			if stops++; stops == 1 {
				close(p.severed)
			}
			if stops > 1 && answers {
				return copyAndStop(p, r)
			}
			return migrate.CopyAnswer{Result: migrate.Unknown, Err: errors.New("lost")}
		}}
		s, answer := startMove(t, moveSpec(), p, "/stream/x", moveNotice, p.target)
		got := <-answer
		if isWhole := got.err == nil && got.body == allMoveEvents(); isWhole != answers {
			t.Errorf("source answers %v: got %d bytes, %v, whole %v", answers, len(got.body), got.err, isWhole)
		}
		p.mu.Lock()
		if p.mostRunning != 1 {
			t.Errorf("source answers %v: got %d runs at a time, want 1; endpoints: %s", answers, p.mostRunning, s.visits())
		}
		p.mu.Unlock()
	}
}

// dyingTarget breaks off forty events after it has continued the run.
func dyingTarget(p *movePlatform) script {
	return func(c net.Conn, r *http.Request) bool {
		from, _ := strconv.Atoi(r.Header.Get("Last-Event"))
		return p.run(c, r, nil, from+40)
	}
}

// Without its triggers a stream is relayed as without a mover.
func TestNoMoveWithoutReason(t *testing.T) {
	resumeSlow := moveSpec()
	resumeSlow.Services[0].Moves.BytesPerToken = 1e4
	for _, c := range []struct {
		name, path string
		spec       routetable.Spec
		notice     time.Duration
	}{
		{"service offers no moves", "/stream/x", patientSpec(), moveNotice},
		{"stream ends in time", "/stream/x", moveSpec(), 4 * time.Second},
		{"too little time", "/stream/x", moveSpec(), 50 * time.Millisecond},
		{"prefill costs less", "/resume/x", resumeSlow, moveNotice},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p := &movePlatform{onCopy: copyAndStop}
			s, answer := startMove(t, c.spec, p, c.path, c.notice, p.target)
			if got := <-answer; got.err != nil || got.body != allMoveEvents() {
				t.Errorf("stream: got %d bytes, %v, want it whole", len(got.body), got.err)
			}
			if got := p.copyCount(); got != 0 || s.visits() != "e0" {
				t.Errorf("got %d copies, endpoints %s, want none and e0", got, s.visits())
			}
		})
	}
}
