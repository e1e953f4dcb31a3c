package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
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
	"go.opentelemetry.io/otel/sdk/trace"

	"ironhollow/pkg/code"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/standin/objects"
	"ironhollow/pkg/standin/tables"
)

const (
	drainSettings = `[node]
id = n1
data-center = dc1
caller-address = %s
peer-address = %s
admin-address = %s
[platform]
table = %s
objects = %s
[drain]
notice = 0s
most = 2s
`
	drainConfig = `[service talk]
kind = model
model = m
[service ledger]
kind = plain
not-repeated = POST /confirmations
[team agents]
keys = %s
rate = 1000
burst = 1000
[policy]
entries-kept = 1s
`
	drainChat = `{"model":"talk","max_tokens":2,"messages":[{"role":"user","content":"hello"}]}`
)

// drainSite is an entry whose endpoints receive requests and never answer.
type drainSite struct {
	app      *App
	address  string
	received atomic.Int64
	logged   lockedBuffer
}

// lockedBuffer is a buffer that several goroutines use.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(data)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func newDrainSite(t *testing.T) *drainSite {
	t.Helper()
	s := &drainSite{address: freeAddress(t)}
	mux := http.NewServeMux()
	tables.New().Register(mux)
	objects.New().Register(mux)
	platform := httptest.NewServer(mux)
	t.Cleanup(platform.Close)
	silent := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if r.Method == http.MethodPost {
			s.received.Add(1)
		}
		<-t.Context().Done()
	}))
	t.Cleanup(silent.Close)
	store := platform.Listener.Addr().String()
	settings, err := ParseSettings("test.ini", fmt.Appendf(nil, drainSettings, s.address, freeAddress(t), freeAddress(t), store, store))
	if err != nil {
		t.Fatal(err)
	}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: &s.logged}}
	s.app, err = build(t.Context(), settings, NewIncarnation(), logger, prometheus.NewRegistry(), trace.NewTracerProvider())
	if err != nil {
		t.Fatal(err)
	}
	sections, err := fleet.Parse("test.ini", fmt.Appendf(nil, drainConfig, fleet.HashKey("secret")))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := s.app.config.Apply(config.Change{Revision: 1, Snapshot: true, Sections: sections}); err != nil {
		t.Fatal(err)
	}
	address := silent.Listener.Addr().String()
	s.app.endpoints.Merge(endpoint.Info{ID: "e0", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, Model: "m", Version: "1", Address: address, Counter: 1})
	s.app.endpoints.Merge(endpoint.Info{ID: "p0", Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "ledger", Address: address})
	return s
}

// drainAnswer is a response as its caller receives it; err is nil if it is complete.
type drainAnswer struct {
	name      string
	status    int
	header    http.Header
	willClose bool
	body      string
	err       error
}

// send sends a request on a connection of its own.
func (s *drainSite) send(name, method, path, key, body string) drainAnswer {
	request, _ := http.NewRequest(method, "http://"+s.address+path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer secret")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	client := &http.Client{Transport: &http.Transport{}, Timeout: 10 * time.Second}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return drainAnswer{name: name, err: err}
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return drainAnswer{name, response.StatusCode, response.Header, response.Close, string(data), err}
}

func awaitThat(t *testing.T, what string, is func() bool) {
	t.Helper()
	for range 1000 {
		if is() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("%s: not so after 5 s", what)
}

// Guards against requests that are accepted by their own time limit and cut by the end of a drain.
func TestDrainAnswersTheRequestsThatItAccepted(t *testing.T) {
	s := newDrainSite(t)
	stop, stopNow := context.WithCancel(t.Context())
	served := make(chan error, 1)
	go func() { served <- s.app.Serve(stop, t.Context()) }()
	awaitThat(t, "entry serves", func() bool { return s.send("", http.MethodGet, "/v1/entries", "", "").status == http.StatusOK })
	var accepted struct {
		ID string `json:"id"`
	}
	if posted := s.send("job", http.MethodPost, "/v1/jobs", "j", drainChat); json.Unmarshal([]byte(posted.body), &accepted) != nil || posted.status != http.StatusAccepted {
		t.Fatalf("job: got %+v, want 202", posted)
	}
	requests := []struct {
		method, path, key, body string
		status                  int
		code                    code.Code
	}{
		{http.MethodPost, "/v1/services/ledger/confirmations", "k", "x", http.StatusBadGateway, code.CallUnknown},
		{http.MethodPost, "/v1/services/ledger/confirmations", "", "x", http.StatusBadGateway, code.CallUnknown},
		{http.MethodPost, "/v1/services/ledger/notes", "", "x", http.StatusBadGateway, code.CallUnknown},
		{http.MethodPost, "/v1/chat/completions", "", drainChat, http.StatusBadGateway, code.StreamLost},
		{http.MethodGet, "/v1/jobs/" + accepted.ID + "?wait=60s", "", "", http.StatusOK, code.Code{}},
	}
	answers := make(chan drainAnswer, len(requests))
	for i, r := range requests {
		go func() { answers <- s.send(strconv.Itoa(i), r.method, r.path, r.key, r.body) }()
	}
	awaitThat(t, "requests in progress", func() bool {
		return s.received.Load() == int64(len(requests)) && s.app.api.InFlight() == int64(len(requests))
	})
	stopNow()
	time.Sleep(200 * time.Millisecond)
	if got := s.send("", http.MethodGet, "/v1/entries", "", ""); got.status != http.StatusOK || !got.willClose {
		t.Errorf("at the start of the drain: got status %d, asked to close %v; want 200 and true", got.status, got.willClose)
	}
	time.Sleep(time.Second)
	for _, path := range []string{"/v1/services/ledger/confirmations", "/v1/services/ledger/notes", "/v1/chat/completions"} {
		// An accepted request gets another code at the end of the drain.
		got := s.send("", http.MethodPost, path, "late", drainChat)
		if got.header.Get("Ironhollow-Code") != strconv.Itoa(code.Stopping.Number()) || got.header.Get("Retry-After") == "" || !got.willClose {
			t.Errorf("%s late in the drain: got %+v, want it rejected as stopping", path, got)
		}
	}
	if err := <-served; err != nil {
		t.Fatal(err)
	}
	ended := time.Now()
	answered := 0
	for range requests {
		select {
		case got := <-answers:
			i, _ := strconv.Atoi(got.name)
			want := requests[i]
			if got.err != nil || got.status != want.status || want.status != http.StatusOK && got.header.Get("Ironhollow-Code") != strconv.Itoa(want.code.Number()) {
				t.Errorf("%s: got %+v, want status %d and code %s", want.path, got, want.status, want.code.Name())
			}
			answered++
		case <-time.After(time.Until(ended.Add(time.Second))):
		}
	}
	if answered < len(requests) {
		t.Errorf("%d of %d requests were not answered before the end of the process", len(requests)-answered, len(requests))
	}
	if logged := s.logged.String(); !strings.Contains(logged, "/v1/services/ledger/confirmations") {
		t.Errorf("log: got %s, want the requests that the drain ended", logged)
	}
}
