package forward_test

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
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
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// testProtocol encodes metadata in headers that exist only in these tests.
type testProtocol struct{}

func (testProtocol) DecodeRequest(h http.Header) (forward.RequestMeta, error) {
	m := forward.RequestMeta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event"), Resumes: h.Get("Resumes")}
	if ms, err := strconv.Atoi(h.Get("Wait-Ms")); err == nil {
		m.Timeout, m.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	m.PromptTokens, _ = strconv.Atoi(h.Get("Prompt-Tokens"))
	m.ExpectedTokens, _ = strconv.Atoi(h.Get("Expected-Tokens"))
	for field := range strings.FieldsSeq(h.Get("Parts")) {
		hash, err := strconv.ParseUint(field, 16, 64)
		if err != nil {
			return m, err
		}
		m.Prefix = append(m.Prefix, forward.PromptPart{Hash: hash, Tokens: 100})
	}
	return m, nil
}

func (testProtocol) EncodeAttempt(h http.Header, attempt forward.AttemptMeta) {
	h.Set("Meant", attempt.EndpointID)
	h.Set("Team", attempt.Team)
	h.Set("Left-Ms", strconv.FormatInt(attempt.Remaining.Milliseconds(), 10))
	if attempt.LastEventID != "" {
		h.Set("Last-Event", attempt.LastEventID)
	}
	if attempt.CopyHandle != "" {
		h.Set("Copy", attempt.CopyAddress+"/"+attempt.CopyHandle)
	}
}

func (testProtocol) DecodeResponse(status int, h http.Header) forward.ResponseMeta {
	if h.Get("Panic") != "" {
		panic("a fault of the protocol")
	}
	rest, _ := time.ParseDuration(h.Get("Rest"))
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	maxRejections, _ := strconv.Atoi(h.Get("Max-Rejections"))
	return forward.ResponseMeta{
		RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Moved: status == http.StatusMisdirectedRequest, Signed: h.Get("Signed") != "",
		Notice: endpoint.Notice{Leaving: h.Get("Leaving") != "", Backoff: rest, Limit: endpoint.Limit(limit), MaxRejections: maxRejections},
	}
}

func (testProtocol) EncodeRefusal(h http.Header, id string) { h.Set("Id", id) }

// testTables is a route table that a test may replace.
type testTables struct {
	table *atomic.Pointer[routetable.Table]
	fresh bool
}

func newTestTables(spec routetable.Spec, fresh bool) testTables {
	t := testTables{&atomic.Pointer[routetable.Table]{}, fresh}
	t.apply(spec)
	return t
}

func (t testTables) apply(spec routetable.Spec) { t.table.Store(routetable.New(spec)) }

func (t testTables) Current() (*routetable.Table, bool) { return t.table.Load(), t.fresh }

// startedRuns counts started runs by team.
type startedRuns struct {
	mu      sync.Mutex
	started map[string]int
}

func (r *startedRuns) RunStarted(team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.started[team]++
}

// receivedRequest is one request as an endpoint received it.
type receivedRequest struct {
	endpoint string
	target   string
	header   http.Header
	body     string
}

// harness is a forwarder in front of scripted endpoints.
type harness struct {
	t         *testing.T
	server    *httptest.Server
	forwarder *forward.Forwarder
	// tables are the forwarder's.
	tables    testTables
	router    *route.Router
	directory *endpoint.Directory
	runs      *startedRuns
	rollouts  *rollout.Splitter
	watch     *quarantine.Watch
	phase     atomic.Int64
	// timeLeft is the time until the end of the process, 0 if it is not known.
	timeLeft atomic.Int64
	logLines logCapture
	// links and detours are set by servePeers, and closePeers closes the connections of other hosts.
	links      *testLinks
	origins    *origin.Directory
	detours    *forward.Detours
	closePeers func()
	mu         sync.Mutex
	received   []receivedRequest
}

// logCapture counts log lines and keeps the last.
type logCapture struct {
	atomic.Int64
	last atomic.Value
}

func (l *logCapture) Write(p []byte) (int, error) {
	l.Add(1)
	l.last.Store(string(p))
	return len(p), nil
}

// waitForLogLine waits for a log line and returns the latest: a request's line is written
// after its response has been sent.
func (s *harness) waitForLogLine() string {
	s.t.Helper()
	for range 200 {
		if line, ok := s.logLines.last.Load().(string); ok {
			return line
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("no log line was written")
	return ""
}

// script answers one request at an endpoint and reports whether the connection stays open.
type script func(c net.Conn, r *http.Request) bool

// minuteLife is the life of an origin in tests.
const minuteLife = time.Minute

// singleHost is a fleet in which this host uses all of each limit.
type singleHost struct{}

func (singleHost) Advertised() int { return 2 }

func (singleHost) Share() float64 { return 1 }

func (singleHost) Sharing() int { return 1 }

// newHarness starts a forwarder; scripts are endpoints e0, e1 and so on.
func newHarness(t *testing.T, spec routetable.Spec, fresh bool, scripts ...script) *harness {
	t.Helper()
	s := &harness{t: t, directory: endpoint.NewDirectory(), rollouts: rollout.New(rollout.Bounds{Share: 0.1, Slack: 50}), runs: &startedRuns{started: map[string]int{}}}
	for i, answer := range scripts {
		s.addEndpoint("e"+strconv.Itoa(i), answer)
	}
	now := time.Now()
	figures := route.EngineSpeed{TokenGap: time.Millisecond, Prefill: time.Microsecond, MeanRequestTime: time.Millisecond}
	router := route.NewWithEngineSpeed(s.directory, hazard.New(), route.Location{}, 1, figures)
	s.router = router
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &s.logLines}}
	registry := prometheus.NewRegistry()
	s.watch = quarantine.NewWatch(registry, logger)
	board := notice.New(s.directory, router, logger)
	s.tables = newTestTables(spec, fresh)
	forwarder := forward.New(testProtocol{}, s.tables, router, limit.NewCostLimiter(limit.Tolerance{}, now.Add(-time.Hour)),
		retry.NewWindowBudget(0.2, 58, 10*time.Second), upstream.New(time.Second), s.runs, singleHost{}, s.rollouts, s.watch, board,
		(*testLifecycle)(s), time.Now, forward.NewMetrics(registry), logger)
	s.origins = origin.New("", func() []origin.Peer { return nil }, nil, time.Now)
	forwarder.UseOrigins(s.origins)
	s.forwarder = forwarder
	s.server = httptest.NewUnstartedServer(forwarder)
	s.server.Config.ConnContext = httpx.WithCallerConn
	s.server.Start()
	t.Cleanup(s.server.Close)
	return s
}

// testLifecycle is the lifecycle that a test sets.
type testLifecycle harness

func (l *testLifecycle) Phase() forward.Phase { return forward.Phase(l.phase.Load()) }

func (l *testLifecycle) TimeLeft() (time.Duration, bool) {
	left := time.Duration(l.timeLeft.Load())
	return left, left > 0
}

// addNumberedEndpoint adds endpoint e<number> and returns its ID.
func (s *harness) addNumberedEndpoint(number int, answer script) string {
	id := "e" + strconv.Itoa(number)
	s.addEndpoint(id, answer)
	return id
}

func (s *harness) addEndpoint(id string, answer script) { s.serve(id, s.listen(), answer) }

func (s *harness) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// crashingBody is the body of a request that crashes its endpoint; exitDetection is the
// time in which a host detects that an endpoint has exited.
const (
	crashingBody  = "crash"
	exitDetection = 100 * time.Millisecond
)

// addCrashingEndpoint adds an endpoint that exits, with all its connections, when it runs a
// request with crashingBody, and answers all others.
func (s *harness) addCrashingEndpoint(id string) { s.addExitingEndpoint(id, func() {}) }

// addLeavingEndpoint adds an endpoint that announces that it leaves, serves on for a while,
// and exits.
func (s *harness) addLeavingEndpoint(id string) {
	s.addExitingEndpoint(id, func() {
		info := s.endpoint(id)
		info.State = endpoint.Leaving
		s.directory.Merge(info)
		time.Sleep(drainTime)
	})
}

// drainTime is how long an endpoint serves on after it has announced that it leaves.
const drainTime = 1200 * time.Millisecond

func (s *harness) endpoint(id string) endpoint.Info {
	info, _ := s.directory.Get(id)
	return info
}

// addExitingEndpoint adds an endpoint that exits at a request with crashingBody after calling
// beforeExit.
func (s *harness) addExitingEndpoint(id string, beforeExit func()) {
	listener := s.listen()
	var (
		mu    sync.Mutex
		conns []net.Conn
	)
	s.serve(id, listener, func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
		if body, _ := io.ReadAll(r.Body); string(body) != crashingBody {
			return respondOK("answer")(c, r)
		}
		beforeExit()
		_ = listener.Close()
		for _, open := range conns {
			_ = open.Close()
		}
		return false
	})
}

// crashingRuns returns how many requests with crashingBody endpoints have received.
func (s *harness) crashingRuns() int {
	n := 0
	for _, r := range s.requests() {
		if r.body == crashingBody {
			n++
		}
	}
	return n
}

func (s *harness) serve(id string, listener net.Listener, answer script) {
	s.serveConnections(id, listener, func(c net.Conn) { s.serveConnection(id, c, answer) })
}

// serveConnections adds an endpoint each of whose connections is served by a function.
func (s *harness) serveConnections(id string, listener net.Listener, serve func(net.Conn)) {
	s.directory.Merge(endpoint.Info{
		ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "svc",
		Address: listener.Addr().String(), Slots: 4, WrittenAfter: time.Now().Add(time.Hour),
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
}

func (s *harness) serveConnection(id string, c net.Conn, answer script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.received = append(s.received, receivedRequest{id, r.RequestURI, r.Header, string(body)})
		s.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !answer(c, r) {
			return
		}
	}
}

func (s *harness) requests() []receivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]receivedRequest(nil), s.received...)
}

// callerResponse is what a caller received; err is set if the response broke off.
type callerResponse struct {
	status int
	header http.Header
	body   string
	// closesConnection is set if the caller is asked to close the connection.
	closesConnection bool
	err              error
}

func (s *harness) send(method, path, body string, header ...string) callerResponse {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, s.server.URL+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	r.Host = "h.example"
	r.Header.Set("Id", "request-1")
	r.Header.Set("Key", "key")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return callerResponse{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return callerResponse{response.StatusCode, response.Header, string(text), response.Close, err}
}

// spec has a route of each kind.
func spec() routetable.Spec {
	splits := []routetable.Split{{Service: "svc", Weight: 1}}
	newRoute := func(prefix string, kind routetable.Kind, attempts int, resumable bool) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Splits: splits, Timeout: 2 * time.Second,
			LatencyObjective: time.Second, MaxAttempts: attempts, Resumable: resumable,
		}
	}
	return routetable.Spec{
		Version: 1,
		Routes: []routetable.Route{
			newRoute("/safe/", routetable.Safe, 2, false),
			newRoute("/once/", routetable.Once, 2, false),
			newRoute("/stream/", routetable.Stream, 1, false),
			newRoute("/resume/", routetable.Stream, 2, true),
		},
		Services: []routetable.Service{{Name: "svc"}},
		Teams:    []routetable.Team{{Name: "team", Keys: []string{"key"}}},
	}
}

// respond returns a script that writes a response; %id is replaced by the request's id.
func respond(answer string, keep bool) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%id", r.Header.Get("Id")))
		return keep
	}
}

func respondOK(body string) script {
	return respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body, true)
}

const notRunResponse = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n"

// closeWithoutResponse reads a request and closes the connection without a response.
func closeWithoutResponse(net.Conn, *http.Request) bool { return false }

// sendAndDisconnect sends a request, reads the first bytes of its response and resets the
// connection.
func (s *harness) sendAndDisconnect(path string) {
	s.t.Helper()
	c, err := net.Dial("tcp", s.server.Listener.Addr().String())
	if err != nil {
		s.t.Fatal(err)
	}
	_, err = io.WriteString(c, "POST "+path+" HTTP/1.1\r\nHost: h.example\r\nId: request-1\r\nKey: key\r\nContent-Length: 4\r\n\r\nbody")
	if err != nil {
		s.t.Fatal(err)
	}
	if _, err := io.ReadFull(c, make([]byte, 100)); err != nil {
		s.t.Fatal(err)
	}
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}
