package forward_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// attemptsSpec is spec with a number of attempts for each route.
func attemptsSpec(attempts int) routetable.Spec {
	s := spec()
	for i := range s.Routes {
		s.Routes[i].MaxAttempts = attempts
	}
	return s
}

// newCutHosts is newCutHost with a specification and several endpoints at each other host.
func newCutHosts(t *testing.T, s routetable.Spec, own script, others ...[]script) (cut *harness, hosts []*harness) {
	t.Helper()
	cut = newHarness(t, s, true)
	links, _ := cut.servePeers()
	if own != nil {
		cut.addEndpoint("own", own)
	} else {
		links.cut.Store(true)
	}
	for _, scripts := range others {
		other := newHarness(t, s, true, scripts...)
		_, address := other.servePeers()
		links.hosts = append(links.hosts, address)
		hosts = append(hosts, other)
	}
	return cut, hosts
}

// loseLinks cuts a host off.
func (s *harness) loseLinks() {
	s.links.cut.Store(true)
	s.detours.SetCut(true)
}

func firstEventThenSilence(c net.Conn, r *http.Request) bool {
	respond(streamHead+chunk(firstEvent), true)(c, r)
	_, _ = io.Copy(io.Discard, c)
	return false
}

// Guards against events sent twice if a stream that was forwarded breaks off again before its first event there.
func TestPassedOnStreamIsResumedAfterTheCallersLastEvent(t *testing.T) {
	var served atomic.Int64
	answer := func(c net.Conn, r *http.Request) bool {
		if served.Add(1) == 1 {
			return respond(streamHead, false)(c, r)
		}
		if r.Header.Get("Last-Event") == "1" {
			return respond(streamHead+chunk(secondEvent)+"0\r\n\r\n", true)(c, r)
		}
		return respond(streamHead+chunk(firstEvent)+chunk(secondEvent)+"0\r\n\r\n", true)(c, r)
	}
	cut, _ := newCutHosts(t, attemptsSpec(4), firstEventThenSilence, []script{answer, answer})
	time.AfterFunc(100*time.Millisecond, cut.loseLinks)
	got := cut.send("POST", "/resume/x", "prompt")
	if want := firstEvent + secondEvent; got.body != want || got.err != nil {
		t.Errorf("stream: got %q, %v, want %q", got.body, got.err, want)
	}
}

// Guards against usage that counts a stream once at each host that served a part of it.
func TestPassedOnStreamIsCountedOnceForUsage(t *testing.T) {
	resumed := respond(streamHead+chunk(secondEvent)+"0\r\n\r\n", true)
	cut, others := newCutHosts(t, attemptsSpec(4), firstEventThenSilence, []script{resumed})
	time.AfterFunc(100*time.Millisecond, cut.loseLinks)
	cut.send("POST", "/resume/x", "prompt")
	if got := cut.runs.started["team"] + others[0].runs.started["team"]; got != 1 {
		t.Errorf("runs counted on both hosts: got %d, want 1, as for a stream resumed by one host", got)
	}
}

// Guards against more attempts than the route allows if the other host resumed the stream before it broke off.
func TestPassedOnStreamKeepsToTheAttemptsOfItsRoute(t *testing.T) {
	broken := respond(streamHead+chunk(firstEvent), false)
	scripts := []script{broken, broken, broken, broken}
	cut, others := newCutHosts(t, attemptsSpec(3), nil, scripts, scripts)
	cut.send("POST", "/resume/x", "prompt")
	if got := len(others[0].requests()) + len(others[1].requests()); got > 3 {
		t.Errorf("endpoints that received the request: got %d, want 3 at most", got)
	}
}

// Guards against requests that fail between the end of a cut and the call of SetCut that follows it.
func TestAttemptsRightAfterACut(t *testing.T) {
	cut, _ := newCutHosts(t, spec(), respondOK("answer"))
	cut.loseLinks()
	cut.links.cut.Store(false)
	if got := cut.send("POST", "/safe/x", "body"); got.body != "answer" {
		t.Errorf("got %+v, want the endpoint's answer", got)
	}
}

// Guards against the end of an attempt that no other attempt may follow.
func TestLastAttemptIsNotEndedByACut(t *testing.T) {
	late := func(c net.Conn, r *http.Request) bool {
		time.Sleep(300 * time.Millisecond)
		return respondOK("answer")(c, r)
	}
	cut, _ := newCutHosts(t, attemptsSpec(1), late, []script{respondOK("other")})
	time.AfterFunc(100*time.Millisecond, cut.loseLinks)
	if got := cut.send("POST", "/safe/x", "body"); got.body != "answer" {
		t.Errorf("got %+v, want the endpoint's answer", got)
	}
}

// Guards against a long request that is lost, or waits, because the first host refuses it before it has read the body.
func TestLongRequestIsPassedOnAfterARefusal(t *testing.T) {
	refused := regexp.MustCompile(`"hop1-end":"not run: the other host answered cut-off","hop1-took":([0-9]+)`)
	body := strings.Repeat("x", 3<<20)
	refusals := 0
	for try := 0; try < 40 && refusals < 3; try++ {
		cut, hosts := newCutHosts(t, spec(), nil, []script{respondOK("first")}, []script{respondOK("second")})
		hosts[0].links.cut.Store(true)
		if got := cut.send("POST", "/once/x", body); got.body != "second" {
			t.Errorf("got %+v, want the answer of the second host", got)
		}
		match := refused.FindStringSubmatch(cut.waitForLogLine())
		if match == nil {
			continue
		}
		refusals++
		if ms, err := strconv.Atoi(match[1]); err != nil || ms > 400 {
			t.Errorf("the refusal took %s ms, %v, want 400 ms at most", match[1], err)
		}
	}
	if refusals == 0 {
		t.Error("no request was refused, want some of 40 sent to the cut host first")
	}
}

// Guards against a HEAD response with the length of its empty body.
func TestHeadKeepsTheLength(t *testing.T) {
	for _, isCut := range []bool{false, true} {
		answer := respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: 6\r\n\r\n", true)
		host := newHarness(t, spec(), true, answer)
		if isCut {
			host, _ = newCutHosts(t, spec(), nil, []script{answer})
		}
		if got := host.send("HEAD", "/safe/x", ""); got.header.Get("Content-Length") != "6" {
			t.Errorf("cut %v: got %+v, want a length of 6", isCut, got)
		}
	}
}

// Guards against a reset of a complete response that ends with its connection.
func TestPipelinedRequestDoesNotResetUnframedResponse(t *testing.T) {
	host := newHarness(t, spec(), true, respond(plainHead+"\r\nanswer", false))
	c, err := net.Dial("tcp", host.server.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	request := "POST /once/x HTTP/1.1\r\nHost: h.example\r\nId: request-1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody"
	_, _ = io.WriteString(c, request+request)
	time.Sleep(100 * time.Millisecond)
	if text, err := io.ReadAll(c); err != nil || !strings.HasSuffix(string(text), "answer") {
		t.Errorf("got %q, %v, want a complete response", text, err)
	}
}

// Guards against a request that is refused although another host reaches the only endpoint of its service.
func TestRequestIsPassedOnIfTheOnlyEndpointIsUnreachable(t *testing.T) {
	cut, links, _ := newCutHost(t, respondOK("other"))
	links.cut.Store(false)
	listener := cut.listen()
	cut.serve("a", listener, respondOK("never"))
	_ = listener.Close()
	if got := cut.send("POST", "/safe/x", "body"); got.body != "other" {
		t.Errorf("got %+v, want the answer through the other host", got)
	}
}

// Guards against a first send that two hosts count for the retry budget, which then allows more retries.
func TestPassedOnRequestIsCountedOnceForTheRetryBudget(t *testing.T) {
	cut, hosts := newCutHosts(t, attemptsSpec(3), nil, []script{respondOK("other")})
	hosts[0].addEndpoint("peer1", closeWithoutResponse)
	hosts[0].addEndpoint("peer2", closeWithoutResponse)
	cut.links.hosts = []string{hosts[0].endpoint("peer1").Address, hosts[0].endpoint("peer2").Address}
	cut.send("POST", "/safe/x", "body")
	requests := hosts[0].requests()
	if len(requests) != 3 {
		t.Fatalf("sends to other hosts: got %d, want 3", len(requests))
	}
	for _, r := range requests[1:] {
		if told := r.header.Get("Ironhollow-Detour"); !strings.Contains(told, `"counted":true`) {
			t.Errorf("a later host was told %s, want that the request was counted", told)
		}
	}
}

// listenWithFullQueue returns the address of a port at which new connections hang.
func listenWithFullQueue(t *testing.T) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := errors.Join(syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}), syscall.Listen(fd, 0)); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	address := net.JoinHostPort("127.0.0.1", strconv.Itoa(name.(*syscall.SockaddrInet4).Port))
	for range 3 {
		if c, err := net.DialTimeout("tcp", address, 100*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	return address
}

// Guards against a host that keeps unsent requests of others until their deadline after it has lost its own links.
func TestHostThatLosesItsLinksReturnsUnsentRequests(t *testing.T) {
	cut, hosts := newCutHosts(t, spec(), nil, []script{}, []script{respondOK("second")})
	for _, id := range []string{"a", "b", "c", "d"} {
		hosts[0].directory.Merge(endpoint.Info{
			ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "svc", Address: listenWithFullQueue(t), Slots: 4,
		})
	}
	first, all := cut.links.hosts[:1], cut.links.hosts
	cut.forwarder.UseDetours(forward.NewDetours(func() []string {
		if hosts[0].links.IsCut() {
			return all
		}
		return first
	}, upstream.New(time.Second), prometheus.NewRegistry()))
	time.AfterFunc(100*time.Millisecond, hosts[0].loseLinks)
	if got := cut.send("POST", "/once/x", "body"); got.body != "second" {
		t.Errorf("got %+v, want the answer of the host in touch", got)
	}
}

// newOtherRoutes returns a cut host, and one with a newer configuration in which all routes are of a kind that may be repeated.
func newOtherRoutes(t *testing.T) (cut, other *harness) {
	t.Helper()
	cut, _ = newCutHosts(t, attemptsSpec(2), nil)
	newer := attemptsSpec(2)
	newer.Version++
	for i := range newer.Routes {
		if newer.Routes[i].Prefix == "/safe/" {
			newer.Routes[i].Prefix = "/"
		}
	}
	newer.Routes = slices.DeleteFunc(newer.Routes, func(r routetable.Route) bool { return r.Prefix != "/" })
	return cut, newHarness(t, newer, true, closeWithoutResponse, closeWithoutResponse)
}

// Guards against requests that run twice at another host whose newer configuration has a route for them that may be repeated.
func TestForwardedRequestIsNotRepeatedByAnotherRoute(t *testing.T) {
	cut, other := newOtherRoutes(t)
	_, address := other.servePeers()
	cut.links.hosts = append(cut.links.hosts, address)
	got := cut.send("POST", "/once/x", "body")
	if runs := len(other.requests()); runs != 1 || got.status != http.StatusBadGateway {
		t.Errorf("got %d runs and status %d, want 1 and %d", runs, got.status, http.StatusBadGateway)
	}
}

// Guards against requests that run twice as the host that forwards them is of a release that does not say whether they may be repeated.
func TestRequestForwardedByAnEarlierReleaseIsNotRepeated(t *testing.T) {
	cut, other := newOtherRoutes(t)
	other.servePeers()
	member := regexp.MustCompile(`,"may_repeat":true`)
	earlier := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Header.Set("Ironhollow-Detour", member.ReplaceAllString(r.Header.Get("Ironhollow-Detour"), ""))
		other.forwarder.ServeDetour(w, r)
	}))
	earlier.Config.ConnContext = httpx.WithCallerConn
	earlier.Start()
	t.Cleanup(earlier.Close)
	cut.links.hosts = append(cut.links.hosts, earlier.Listener.Addr().String())
	got := cut.send("POST", "/once/x", "body")
	if runs := len(other.requests()); runs != 1 || got.status != http.StatusBadGateway {
		t.Errorf("got %d runs and status %d, want 1 and %d", runs, got.status, http.StatusBadGateway)
	}
}
