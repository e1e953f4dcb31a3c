package forward_test

import (
	"context"
	"encoding/hex"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/upstream"
)

// endingCalls answers calls that stop runs.
type endingCalls struct {
	migrate.Calls
	stop  func(ctx context.Context) migrate.CopyAnswer
	freed chan string
	// accepts is set if the endpoint accepts connections at once.
	accepts bool
}

func (c *endingCalls) Copy(ctx context.Context, request migrate.CopyRequest) migrate.CopyAnswer {
	if c.accepts && request.OnConnected != nil {
		request.OnConnected()
	}
	return c.stop(ctx)
}

func (c *endingCalls) Free(_ context.Context, _ migrate.Source, handle string) error {
	c.freed <- handle
	return nil
}

// Guards against streams that wait for an endpoint without an answer or not for a slow one, and against copies that nobody frees.
func TestStreamIsResumedOnceItsRunHasEnded(t *testing.T) {
	lost := errors.New("lost")
	noAnswer := func(ctx context.Context) migrate.CopyAnswer {
		<-ctx.Done()
		return migrate.CopyAnswer{Err: lost}
	}
	answers := func(a migrate.CopyAnswer) func(context.Context) migrate.CopyAnswer {
		return func(context.Context) migrate.CopyAnswer { return a }
	}
	copied := answers(migrate.CopyAnswer{Result: migrate.Copied, Handle: "h"})
	slow := func(ctx context.Context) migrate.CopyAnswer {
		select {
		case <-time.After(600 * time.Millisecond):
			return migrate.CopyAnswer{Result: migrate.NoRun}
		case <-ctx.Done():
			return migrate.CopyAnswer{Err: lost}
		}
	}
	for _, c := range []struct {
		name string
		stop func(context.Context) migrate.CopyAnswer
		// refusesCopy is set if the next endpoints do not continue from a copy.
		refusesCopy     bool
		want, wantFreed string
		// least is the least time from the break to the next request.
		least time.Duration
		// accepts is set if the endpoint accepts the connection of the call.
		accepts bool
	}{
		{name: "no run", stop: answers(migrate.CopyAnswer{Result: migrate.NoRun}), want: "whole, whole"},
		{name: "no answer", stop: noAnswer, want: "whole, whole", least: 250 * time.Millisecond},
		{name: "slow answer", stop: slow, accepts: true, want: "whole, whole", least: 550 * time.Millisecond},
		{name: "copied", stop: copied, want: "whole, copy"},
		{name: "copied, then refused", stop: copied, refusesCopy: true, want: "whole, copy, whole", wantFreed: "h"},
		{name: "stopped only", stop: answers(migrate.CopyAnswer{Result: migrate.NoRoom, Handle: "h"}), want: "whole, whole", wantFreed: "h"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			p, calls := &movePlatform{stopped: make(chan struct{})}, &endingCalls{stop: c.stop, freed: make(chan string, 9), accepts: c.accepts}
			broken, resumed := make(chan time.Time, 1), make(chan time.Time, 9)
			s := newHarness(t, moveSpec(), true, func(conn net.Conn, r *http.Request) bool {
				defer func() { broken <- time.Now() }()
				return p.run(conn, r, nil, moveEvents/2)
			})
			s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
			next := func(conn net.Conn, r *http.Request) bool {
				resumed <- time.Now()
				if c.refusesCopy && r.Header.Get("Copy") != "" {
					return respond(notRunResponse, true)(conn, r)
				}
				return p.run(conn, r, nil, 0)
			}
			time.AfterFunc(moveEvents/4*moveEventGap, func() {
				s.addEndpoint("e1", next)
				s.addEndpoint("e2", next)
			})
			if got := s.send("POST", "/resume/x", "body"); got.err != nil || got.body != allMoveEvents() {
				t.Errorf("stream: got %d bytes, %v, want it whole", len(got.body), got.err)
			}
			if got := s.starts(); got != c.want {
				t.Errorf("attempts: got %s, want %s", got, c.want)
			}
			if waited := (<-resumed).Sub(<-broken); waited < c.least || waited > time.Second {
				t.Errorf("wait for the end of the run: got %v, want %v to 1s", waited, c.least)
			}
			select {
			case freed := <-calls.freed:
				if freed != c.wantFreed {
					t.Errorf("freed: got %q, want %q", freed, c.wantFreed)
				}
			case <-time.After(500 * time.Millisecond):
				if c.wantFreed != "" {
					t.Errorf("freed: got nothing, want %q", c.wantFreed)
				}
			}
		})
	}
}

// starts returns whether each attempt began from a copy.
func (s *harness) starts() string {
	var starts []string
	for _, r := range s.requests() {
		start := whole
		if r.header.Get("Copy") != "" {
			start = "copy"
		}
		starts = append(starts, start)
	}
	return strings.Join(starts, ", ")
}

// Guards against runs that nobody ends because the host at which the caller resumes its stream has stopped waiting.
func TestRunIsEndedAfterTheAskingHostStoppedWaiting(t *testing.T) {
	stopped := make(chan string, 9)
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{freed: make(chan string, 9), stop: func(context.Context) migrate.CopyAnswer {
		stopped <- "run"
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}}
	s := newHarness(t, moveSpec(), true)
	s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	run := func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, 0) }
	s.addEndpoint("e0", run)
	s.addEndpoint("e1", run)
	go s.send("POST", "/resume/x", "body", "Id", "first")
	time.Sleep(moveEvents / 4 * moveEventGap)
	key := origin.KeyOf("team", "first")
	asked, stopWaiting := context.WithCancel(t.Context())
	stopWaiting()
	request := httptest.NewRequestWithContext(asked, http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil)
	s.forwarder.ServeStreamEnd(httptest.NewRecorder(), request)
	select {
	case <-stopped:
	case <-time.After(2 * time.Second):
		t.Error("the run was not ended")
	}
}

// Guards against runs that are left to continue because their endpoint did not answer in time when their stream broke off.
func TestRunThatDidNotEndIsEndedByTheTakeUp(t *testing.T) {
	answers := make(chan bool, 1)
	var stops atomic.Int32
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{freed: make(chan string, 9), stop: func(ctx context.Context) migrate.CopyAnswer {
		stops.Add(1)
		if len(answers) == 0 {
			<-ctx.Done()
			return migrate.CopyAnswer{Err: ctx.Err()}
		}
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}}
	once := moveSpec()
	for i := range once.Routes {
		once.Routes[i].MaxAttempts = 1
	}
	s := newHarness(t, once, true)
	s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	breaks := func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, moveEvents/2) }
	s.addEndpoint("e0", breaks)
	s.addEndpoint("e1", breaks)
	if got := s.send("POST", "/resume/x", "body", "Id", "first"); got.err == nil {
		t.Fatal("got the stream whole, want it broken off")
	}
	time.Sleep(time.Second)
	answers <- true
	before := stops.Load()
	key := origin.KeyOf("team", "first")
	s.forwarder.ServeStreamEnd(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil))
	if got := stops.Load() - before; before == 0 || got != 1 {
		t.Errorf("got %d calls to stop the run at its break and %d at the take-up, want some and 1", before, got)
	}
}

// Guards against a run that continues at the endpoint of a host to which the request was forwarded, while the next host runs it too.
func TestForwardedRequestEndsItsRunBeforeItIsGivenBack(t *testing.T) {
	twoAttempts := moveSpec()
	for i := range twoAttempts.Routes {
		twoAttempts.Routes[i].MaxAttempts = 2
	}
	var arrivals, stops, stopsBefore atomic.Int32
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{freed: make(chan string, 9), stop: func(context.Context) migrate.CopyAnswer {
		stops.Add(1)
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}}
	cut := newHarness(t, twoAttempts, true)
	links, _ := cut.servePeers()
	links.cut.Store(true)
	for i := range 2 {
		host := newHarness(t, twoAttempts, true)
		host.addNumberedEndpoint(i, func(conn net.Conn, r *http.Request) bool {
			if arrivals.Add(1) == 1 {
				return respond("HTTP/1.1 200 OK\r\nId: another\r\nSigned: yes\r\nContent-Length: 0\r\n\r\n", true)(conn, r)
			}
			stopsBefore.Store(stops.Load())
			return p.run(conn, r, nil, 0)
		})
		host.directory.Merge(endpoint.Info{ID: "leaving", Incarnation: 1, State: endpoint.Leaving, Service: "svc", Address: "127.0.0.1:1"})
		host.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), host.directory, host.router, host.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
		_, address := host.servePeers()
		links.hosts = append(links.hosts, address)
	}
	got := cut.send("POST", "/resume/x", "body")
	if got.err != nil || got.body != allMoveEvents() || stopsBefore.Load() == 0 {
		t.Errorf("got %d bytes, error %v and %d calls that end the first run before the next, want the whole stream and one", len(got.body), got.err, stopsBefore.Load())
	}
}

// Guards against a run that is not ended when its stream is resumed, as the caller had left while the host waited for its end.
func TestRunOfAnEarlierAttemptIsEndedByTheTakeUp(t *testing.T) {
	var stops atomic.Int32
	answers := make(chan struct{})
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{accepts: true, freed: make(chan string, 9), stop: func(ctx context.Context) migrate.CopyAnswer {
		stops.Add(1)
		select {
		case <-answers:
			return migrate.CopyAnswer{Result: migrate.NoRun}
		case <-ctx.Done():
			return migrate.CopyAnswer{Err: ctx.Err()}
		}
	}}
	s := newHarness(t, moveSpec(), true)
	s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	breaks := func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, moveEvents/4) }
	s.addEndpoint("e0", breaks)
	s.addEndpoint("e1", breaks)
	s.addEndpoint("e2", breaks)
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.server.URL+"/resume/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "first")
	r.Header.Set("Key", "key")
	go func() {
		if response, err := http.DefaultClient.Do(r); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
	}()
	for end := time.Now().Add(2 * time.Second); stops.Load() == 0 && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	leave()
	s.waitForLogLine()
	before := stops.Load()
	close(answers)
	key := origin.KeyOf("team", "first")
	s.forwarder.ServeStreamEnd(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil))
	if got := stops.Load() - before; before == 0 || got == 0 {
		t.Errorf("got %d calls that end the run before its caller left and %d at the take-up, want some each", before, got)
	}
}

// Guards against a run that begins at the endpoint of an earlier attempt after the call that was to end it, while the request runs elsewhere.
func TestRunThatBeginsLateIsEnded(t *testing.T) {
	var stops atomic.Int32
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{freed: make(chan string, 9), stop: func(context.Context) migrate.CopyAnswer {
		if stops.Add(1) == 1 {
			return migrate.CopyAnswer{Result: migrate.NoRun}
		}
		return migrate.CopyAnswer{Result: migrate.Copied, Handle: "late"}
	}}
	s := newHarness(t, moveSpec(), true, closeWithoutResponse)
	s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	s.addEndpoint("e1", func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, 0) })
	s.addEndpoint("e2", func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, 0) })
	got := s.send("POST", "/resume/x", "body")
	if got.err != nil || got.body != allMoveEvents() || stops.Load() != 2 || len(calls.freed) != 1 {
		t.Errorf("got %d bytes, error %v, %d calls that end the run and %d freed copies, want the whole stream, 2 and 1", len(got.body), got.err, stops.Load(), len(calls.freed))
	}
}

// Guards against a run that is left to continue as its host had lost its links to endpoints when its stream broke off.
func TestRunThatBreaksOffAtACutHostIsEndedByTheTakeUp(t *testing.T) {
	var stops atomic.Int32
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{freed: make(chan string, 9), stop: func(context.Context) migrate.CopyAnswer {
		stops.Add(1)
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}}
	s := newHarness(t, moveSpec(), true)
	links, _ := s.servePeers()
	s.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), s.directory, s.router, s.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	var attempts atomic.Int32
	breaks := func(conn net.Conn, r *http.Request) bool {
		links.cut.Store(true)
		return p.run(conn, r, nil, int(attempts.Add(1))*moveEvents/4)
	}
	s.addEndpoint("e0", breaks)
	s.addEndpoint("e1", breaks)
	if got := s.send("POST", "/resume/x", "body", "Id", "first"); got.err == nil || len(s.requests()) != 2 {
		t.Fatalf("got %d attempts, error %v, want two and a stream that breaks off", len(s.requests()), got.err)
	}
	links.cut.Store(false)
	key := origin.KeyOf("team", "first")
	s.forwarder.ServeStreamEnd(httptest.NewRecorder(), httptest.NewRequest(http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil))
	if got := stops.Load(); got != 2 {
		t.Errorf("got %d calls that end a run, want one for each attempt", got)
	}
}
