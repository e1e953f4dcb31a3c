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
	"ironhollow/pkg/limit"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// protocol is a way to mark requests made up for these tests.
type protocol struct{}

func (protocol) DecodeRequest(h http.Header) (forward.RequestMeta, error) {
	m := forward.RequestMeta{ID: h.Get("Id"), Key: h.Get("Key"), LastEventID: h.Get("Last-Event")}
	if ms, err := strconv.Atoi(h.Get("Wait-Ms")); err == nil {
		m.Timeout, m.HasTimeout = time.Duration(ms)*time.Millisecond, true
	}
	return m, nil
}

func (protocol) EncodeAttempt(h http.Header, hop forward.AttemptMeta) {
	h.Set("Meant", hop.EndpointID)
	h.Set("Team", hop.Team)
	h.Set("Left-Ms", strconv.FormatInt(hop.Remaining.Milliseconds(), 10))
	if hop.LastEventID != "" {
		h.Set("Last-Event", hop.LastEventID)
	}
}

func (protocol) DecodeResponse(status int, h http.Header) forward.ResponseMeta {
	rest, _ := time.ParseDuration(h.Get("Rest"))
	limit, _ := strconv.ParseFloat(h.Get("Limit"), 64)
	return forward.ResponseMeta{
		RequestID: h.Get("Id"), NotRun: h.Get("Not-Run") != "" || status == http.StatusMisdirectedRequest,
		Moved: status == http.StatusMisdirectedRequest, Signed: h.Get("Signed") != "",
		Notice: endpoint.Notice{Leaving: h.Get("Leaving") != "", Backoff: rest, Limit: endpoint.Limit(limit)},
	}
}

func (protocol) EncodeRefusal(h http.Header, id string) { h.Set("Id", id) }

// tables is a configuration in force.
type tables struct {
	table *routetable.Table
	fresh bool
}

func (t tables) Current() (*routetable.Table, bool) { return t.table, t.fresh }

// runs counts what began.
type runs struct {
	mu    sync.Mutex
	begun map[string]int
}

func (r *runs) RunStarted(team string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[team]++
}

// seen is one request as an endpoint saw it.
type seen struct {
	endpoint string
	target   string
	header   http.Header
	body     string
}

// site is a forwarder in front of scripted endpoints.
type site struct {
	t         *testing.T
	server    *httptest.Server
	router    *route.Router
	directory *endpoint.Directory
	runs      *runs
	rollouts  *rollout.Splitter
	watch     *quarantine.Watch
	phase     atomic.Int64
	lines     lineCounter
	mu        sync.Mutex
	seen      []seen
}

// lineCounter counts log lines and keeps the last.
type lineCounter struct {
	atomic.Int64
	last atomic.Value
}

func (l *lineCounter) Write(p []byte) (int, error) {
	l.Add(1)
	l.last.Store(string(p))
	return len(p), nil
}

// firstLine returns the latest line once there is any: a request's is written after its
// answer has gone out.
func (s *site) firstLine() string {
	s.t.Helper()
	for range 200 {
		if line, ok := s.lines.last.Load().(string); ok {
			return line
		}
		time.Sleep(5 * time.Millisecond)
	}
	s.t.Fatal("no line was written")
	return ""
}

// script answers one request at an endpoint and reports whether the connection
// stays open.
type script func(c net.Conn, r *http.Request) bool

// oneHost is a fleet of one.
type oneHost struct{}

func (oneHost) Advertised() int { return 1 }

func (oneHost) Share() float64 { return 1 }

func (oneHost) Sharing() int { return 1 }

// newSite starts a forwarder; scripts are endpoints e0, e1 and so on.
func newSite(t *testing.T, spec routetable.Spec, fresh bool, scripts ...script) *site {
	t.Helper()
	s := &site{t: t, directory: endpoint.NewDirectory(), rollouts: rollout.New(rollout.Bounds{Share: 0.1, Slack: 50}), runs: &runs{begun: map[string]int{}}}
	for i, answer := range scripts {
		s.addEndpoint("e"+strconv.Itoa(i), answer)
	}
	now := time.Now()
	figures := route.EngineSpeed{TokenGap: time.Millisecond, Prefill: time.Microsecond, MeanRequestTime: time.Millisecond}
	router := route.NewWithEngineSpeed(s.directory, hazard.New(), route.Location{}, 1, figures)
	s.router = router
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &s.lines}}
	registry := prometheus.NewRegistry()
	s.watch = quarantine.NewWatch(registry, logger)
	board := notice.New(s.directory, router, logger)
	forwarder := forward.New(protocol{}, tables{routetable.New(spec), fresh}, router, limit.NewCostLimiter(limit.Tolerance{}, now.Add(-time.Hour)),
		retry.NewWindowBudget(0.2, 58, 10*time.Second), upstream.New(time.Second), s.runs, oneHost{}, s.rollouts, s.watch, board,
		func() forward.Phase { return forward.Phase(s.phase.Load()) }, time.Now, forward.NewMetrics(registry), logger)
	s.server = httptest.NewServer(forwarder)
	t.Cleanup(s.server.Close)
	return s
}

func (s *site) addEndpoint(id string, answer script) { s.add(id, s.listen(), answer) }

func (s *site) listen() net.Listener {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		s.t.Fatal(err)
	}
	s.t.Cleanup(func() { _ = listener.Close() })
	return listener
}

// crashingBody is the body of a request that ends its endpoint, endSeen the time in
// which a host finds out that an endpoint has ended.
const (
	crashingBody = "crash"
	endSeen      = 100 * time.Millisecond
)

// addCrashing adds an endpoint that ends, with all its connections, when it runs a
// request with crashingBody, and answers all others.
func (s *site) addCrashing(id string) { s.addEnding(id, func() {}) }

// addLeaving adds one that says that it leaves, serves on for a while, and ends.
func (s *site) addLeaving(id string) {
	s.addEnding(id, func() {
		info := s.endpoint(id)
		info.State = endpoint.Leaving
		s.directory.Merge(info)
		time.Sleep(servesOn)
	})
}

// servesOn is how long an endpoint serves that has said that it leaves.
const servesOn = 1200 * time.Millisecond

func (s *site) endpoint(id string) endpoint.Info {
	info, _ := s.directory.Get(id)
	return info
}

// addEnding adds an endpoint that ends at a request with crashingBody, once before is
// done.
func (s *site) addEnding(id string, before func()) {
	listener := s.listen()
	var (
		mu    sync.Mutex
		conns []net.Conn
	)
	s.add(id, listener, func(c net.Conn, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		conns = append(conns, c)
		if body, _ := io.ReadAll(r.Body); string(body) != crashingBody {
			return whole("answer")(c, r)
		}
		before()
		_ = listener.Close()
		for _, open := range conns {
			_ = open.Close()
		}
		return false
	})
}

// crashes returns how many requests with crashingBody endpoints have run.
func (s *site) crashes() int {
	n := 0
	for _, r := range s.requests() {
		if r.body == crashingBody {
			n++
		}
	}
	return n
}

func (s *site) add(id string, listener net.Listener, answer script) {
	s.directory.Merge(endpoint.Info{
		ID: id, Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "svc",
		Address: listener.Addr().String(), Slots: 4,
	})
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go s.connection(id, c, answer)
		}
	}()
}

func (s *site) connection(id string, c net.Conn, answer script) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		s.mu.Lock()
		s.seen = append(s.seen, seen{id, r.RequestURI, r.Header, string(body)})
		s.mu.Unlock()
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !answer(c, r) {
			return
		}
	}
}

func (s *site) requests() []seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]seen(nil), s.seen...)
}

// answer is what a caller got; err is set where it broke off.
type answer struct {
	status int
	header http.Header
	body   string
	// closes says that the caller is asked to leave the connection.
	closes bool
	err    error
}

func (s *site) ask(method, path, body string, header ...string) answer {
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
		return answer{err: err}
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	return answer{response.StatusCode, response.Header, string(text), response.Close, err}
}

// spec has a route of each kind.
func spec() routetable.Spec {
	splits := []routetable.Split{{Service: "svc", Weight: 1}}
	made := func(prefix string, kind routetable.Kind, attempts int, resumable bool) routetable.Route {
		return routetable.Route{
			Name: prefix, Host: "h.example", Prefix: prefix, Kind: kind, Splits: splits, Timeout: 2 * time.Second,
			Objective: time.Second, Attempts: attempts, Resumable: resumable,
		}
	}
	return routetable.Spec{
		Version: 1,
		Routes: []routetable.Route{
			made("/safe/", routetable.Safe, 2, false),
			made("/once/", routetable.Once, 2, false),
			made("/stream/", routetable.Stream, 1, false),
			made("/resume/", routetable.Stream, 2, true),
		},
		Services: []routetable.Service{{Name: "svc"}},
		Teams:    []routetable.Team{{Name: "team", Keys: []string{"key"}}},
	}
}

// text makes a script that writes an answer; %id stands for the request's id.
func text(answer string, keep bool) script {
	return func(c net.Conn, r *http.Request) bool {
		_, _ = io.WriteString(c, strings.ReplaceAll(answer, "%id", r.Header.Get("Id")))
		return keep
	}
}

func whole(body string) script {
	return text("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body, true)
}

const turnedAway = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nContent-Length: 0\r\n\r\n"

// breaks reads a request and closes without an answer.
func breaks(net.Conn, *http.Request) bool { return false }

// askAndLeave sends a request, reads the first bytes of its answer and resets the
// connection.
func (s *site) askAndLeave(path string) {
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
