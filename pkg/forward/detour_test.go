package forward_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/forward"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// testLinks are the links of a host in a test.
type testLinks struct {
	cut   atomic.Bool
	hosts []string
}

func (l *testLinks) IsCut() bool { return l.cut.Load() }

func (l *testLinks) NoneReachable() bool { return false }

func (l *testLinks) Settle(record func()) { record() }

// servePeers starts the peers' port of a host and returns its links and its address.
func (s *harness) servePeers() (*testLinks, string) {
	s.t.Helper()
	links := &testLinks{}
	s.detours = forward.NewDetours(func() []string { return links.hosts }, upstream.New(time.Second), prometheus.NewRegistry())
	s.forwarder.UseDetours(s.detours)
	s.forwarder.UseLinks(links)
	server := httptest.NewUnstartedServer(http.HandlerFunc(s.forwarder.ServeDetour))
	server.Config.ConnContext = httpx.WithCallerConn
	server.Start()
	s.t.Cleanup(server.Close)
	s.links, s.closePeers = links, server.CloseClientConnections
	return links, server.Listener.Addr().String()
}

// newCutHost returns a host without endpoints that forwards requests to others with the given scripts
// as their only endpoints.
func newCutHost(t *testing.T, scripts ...script) (cut *harness, links *testLinks, others []*harness) {
	t.Helper()
	cut = newHarness(t, spec(), true)
	links, _ = cut.servePeers()
	links.cut.Store(true)
	for i, answer := range scripts {
		other := newHarness(t, spec(), true)
		other.addEndpoint("endpoint-"+strconv.Itoa(i), answer)
		_, address := other.servePeers()
		links.hosts = append(links.hosts, address)
		others = append(others, other)
	}
	return cut, links, others
}

// Guards against a host that has lost its links to endpoints and fails all requests of its callers.
func TestCutHostPassesRequestsOn(t *testing.T) {
	events := firstEvent + secondEvent
	cases := []struct {
		name, path  string
		answer      script
		status      int
		framing     string
		body        string
		wantsBroken bool
	}{
		{"short", "/once/a%2Fb?q=%41", respondOK("answer"), 200, "length", "answer", false},
		{"without a length", "/once/x", respond(plainHead+"\r\nanswer", false), 200, "close", "answer", false},
		{"failure", "/once/x", respond("HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nContent-Length: 3\r\n\r\nbad", true), 500, "length", "bad", false},
		{"stream", "/stream/x", respond(streamHead+chunk(firstEvent)+chunk(secondEvent)+"0\r\n\r\n", true), 200, "chunks", events, false},
		{"broken stream", "/stream/x", respond(streamHead+chunk(firstEvent), false), 200, "chunks", firstEvent, true},
		{"broken stream without a length", "/stream/x", respondAndReset(eventsHead + "\r\n" + firstEvent), 200, "close", firstEvent, true},
		{"not run", "/once/x", respond(notRunResponse, true), 503, "length", "", false},
		{"unclear", "/once/x", closeWithoutResponse, 502, "length", "", false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			cut, _, others := newCutHost(t, c.answer)
			got := cut.sendRaw(http.MethodPost, c.path, "HTTP/1.1", "")
			if got.status != c.status || got.framing != c.framing || (got.err != nil) != c.wantsBroken {
				t.Errorf("response: got %+v, want %d by %s, broken %v", got, c.status, c.framing, c.wantsBroken)
			}
			if c.body != "" && got.body != c.body {
				t.Errorf("body: got %q, want %q", got.body, c.body)
			}
			requests := others[0].requests()
			if len(requests) == 0 || requests[0].target != c.path || requests[0].header.Get("Team") != "team" {
				t.Fatalf("requests at the endpoint: got %+v, want the caller's", requests)
			}
			for name := range requests[0].header {
				if strings.HasPrefix(name, "Ironhollow") {
					t.Errorf("the endpoint received the header %s", name)
				}
			}
			if got := cut.runs.started["team"]; got != 0 {
				t.Errorf("runs counted at the host that forwards: got %d, want 0", got)
			}
			if got, want := others[0].runs.started["team"], 1; got != want && c.status != 503 && c.status != 502 {
				t.Errorf("runs counted at the other host: got %d, want %d", got, want)
			}
		})
	}
}

// Guards against a forwarded request that two hosts charge to the team's limit.
func TestPassedOnRequestIsChargedOnce(t *testing.T) {
	limited := spec()
	limited.Teams = []routetable.Team{{Name: "team", Keys: []string{"key"}, Rate: 0.001, Burst: 3}}
	cut, other := newHarness(t, spec(), true), newHarness(t, limited, true, respondOK("answer"))
	links, _ := cut.servePeers()
	_, address := other.servePeers()
	links.hosts = []string{address}
	links.cut.Store(true)
	for range 10 {
		if got := cut.send("POST", "/once/x", "body"); got.status != http.StatusOK {
			t.Fatalf("got %+v, want 200", got)
		}
	}
}

// Guards against hosts that pass a request around, and against one that is lost when the first other host is cut off too.
func TestRequestIsPassedOnOnce(t *testing.T) {
	cut, links, others := newCutHost(t, respondOK("first"), respondOK("second"))
	others[0].links.hosts = links.hosts
	others[0].links.cut.Store(true)
	for range 10 {
		if got := cut.send("POST", "/once/x", "body"); got.body != "second" {
			t.Errorf("got %+v, want the answer of the host in touch", got)
		}
	}
	if got := len(others[0].requests()); got != 0 {
		t.Errorf("requests sent by the other cut host: got %d, want 0", got)
	}
}

// Guards against a request that must not be repeated and is forwarded a second time.
func TestOnceIsNotPassedOnAgainAfterItMayHaveRun(t *testing.T) {
	lost := newHarness(t, spec(), true)
	lost.addEndpoint("peer", closeWithoutResponse)
	cut, links, others := newCutHost(t, respondOK("other"), respondOK("other"))
	links.hosts = []string{lost.endpoint("peer").Address}
	for range 3 {
		if got := cut.send("POST", "/once/x", "body"); got.status != http.StatusBadGateway {
			t.Errorf("got %+v, want 502", got)
		}
	}
	if got := len(lost.requests()) + len(others[0].requests()) + len(others[1].requests()); got != 3 {
		t.Errorf("requests forwarded: got %d, want 3", got)
	}
}

// Guards against requests that fail because new connections to endpoints are refused while the host does not count as cut off.
func TestRequestWithoutConnectionIsPassedOn(t *testing.T) {
	cut, links, _ := newCutHost(t, respondOK("other"))
	links.cut.Store(false)
	for _, id := range []string{"a", "b", "c"} {
		listener := cut.listen()
		cut.serve(id, listener, respondOK("never"))
		_ = listener.Close()
	}
	if got := cut.send("POST", "/once/x", "body"); got.body != "other" {
		t.Errorf("got %+v, want the answer through the other host", got)
	}
}

// Guards against a host that answers a forwarded request by an older configuration.
func TestHostWithOlderConfigurationTakesNothingOn(t *testing.T) {
	newer := spec()
	newer.Version = 2
	cut := newHarness(t, newer, true)
	links, _ := cut.servePeers()
	links.cut.Store(true)
	older := newHarness(t, spec(), true, respondOK("older"))
	_, address := older.servePeers()
	links.hosts = []string{address}
	if got := cut.send("POST", "/once/x", "body"); got.status != http.StatusServiceUnavailable {
		t.Errorf("got %+v, want 503", got)
	}
	if got := len(older.requests()); got != 0 {
		t.Errorf("requests run by the older configuration: got %d, want 0", got)
	}
}

// Guards against a stream that ends with the host it was forwarded to, although the route lets it be resumed.
func TestStreamIsResumedThroughAnotherHost(t *testing.T) {
	begun := make(chan string, 2)
	answer := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event") == "1" {
			return respond(streamHead+chunk(secondEvent)+"0\r\n\r\n", true)(c, r)
		}
		_, _ = io.WriteString(c, strings.ReplaceAll(streamHead, "%id", r.Header.Get("Id"))+chunk(firstEvent))
		begun <- r.Header.Get("Meant")
		time.Sleep(300 * time.Millisecond)
		return false
	}
	cut, _, others := newCutHost(t, answer, answer)
	go func() {
		// The host through which the stream is resumed stays.
		i, _ := strconv.Atoi(strings.TrimPrefix(<-begun, "endpoint-"))
		time.Sleep(100 * time.Millisecond)
		others[i].closePeers()
	}()
	got := cut.send("POST", "/resume/x", "prompt")
	if want := firstEvent + secondEvent; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
	if n := len(others[0].requests()) + len(others[1].requests()); n != 2 {
		t.Errorf("requests at the other hosts: got %d, want 2", n)
	}
}

// Guards against endpoints that continue with a forwarded request whose caller has left.
func TestCallerLeavesPassedOnRequest(t *testing.T) {
	closed := make(chan bool, 1)
	cut, _, _ := newCutHost(t, func(c net.Conn, r *http.Request) bool {
		respond(streamHead+chunk(firstEvent), true)(c, r)
		_, _ = io.Copy(io.Discard, c)
		closed <- true
		return false
	})
	cut.sendAndDisconnect("/stream/x")
	select {
	case <-closed:
	case <-time.After(time.Second):
		t.Error("connection to the endpoint still open a second after the caller left")
	}
}

// Guards against requests that may be repeated and wait for their deadline on connections that the cut has silenced.
func TestWaitingRequestsArePassedOnAtACut(t *testing.T) {
	silent := func(c net.Conn, _ *http.Request) bool {
		_, _ = io.Copy(io.Discard, c)
		return false
	}
	silentStream := func(c net.Conn, r *http.Request) bool {
		respond(streamHead+chunk(firstEvent), true)(c, r)
		return silent(c, r)
	}
	resumed := func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Last-Event") == "1" {
			return respond(streamHead+chunk(secondEvent)+"0\r\n\r\n", true)(c, r)
		}
		return respond(streamHead+chunk(firstEvent)+chunk(secondEvent)+"0\r\n\r\n", true)(c, r)
	}
	for _, c := range []struct {
		path        string
		own, others script
		want        string
	}{
		{"/safe/x", silent, respondOK("answer"), "answer"},
		{"/resume/x", silent, resumed, firstEvent + secondEvent},
		{"/resume/x", silentStream, resumed, firstEvent + secondEvent},
	} {
		cut, links, _ := newCutHost(t, c.others)
		links.cut.Store(false)
		cut.addEndpoint("e0", c.own)
		time.AfterFunc(100*time.Millisecond, func() {
			links.cut.Store(true)
			cut.detours.SetCut(true)
		})
		startedAt := time.Now()
		got := cut.send("POST", c.path, "body")
		if took := time.Since(startedAt); got.body != c.want || got.err != nil || took > time.Second {
			t.Errorf("%s: got %+v after %v, want %q within a second", c.path, got, took, c.want)
		}
	}
}
