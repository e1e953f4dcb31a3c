package forward_test

import (
	"encoding/hex"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/forward"
	"ironhollow/pkg/origin"
)

// stuckWriter is a response whose reader has stopped, on a connection without deadlines.
type stuckWriter struct {
	http.ResponseWriter
	released chan struct{}
}

func (w stuckWriter) Write(p []byte) (int, error) {
	<-w.released
	return len(p), nil
}

// end asks the host to end a stream and returns its answer.
func (s *harness) end(attempt string) int {
	key, w := origin.KeyOf("team", attempt), httptest.NewRecorder()
	s.forwarder.ServeStreamEnd(w, httptest.NewRequest(http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil))
	return w.Code
}

// Guards against a host that reports the end of a stream while its request is still in progress.
func TestStreamInProgressIsNotReportedAsEnded(t *testing.T) {
	s := newHarness(t, spec(), true, breakAfterTwoEvents("v0"))
	w := stuckWriter{httptest.NewRecorder(), make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = recover() }()
		r := httptest.NewRequest(http.MethodPost, "http://h.example/resume/x", nil)
		r.RequestURI = "/resume/x"
		r.Header.Set("Id", "first")
		r.Header.Set("Key", "key")
		s.forwarder.ServeHTTP(w, r)
	}()
	s.awaitRequest()
	time.Sleep(100 * time.Millisecond)
	for until := time.Now().Add(2500 * time.Millisecond); time.Now().Before(until); {
		if got := s.end("first"); got != http.StatusAccepted {
			t.Fatalf("while the request is in progress: got %d, want 202", got)
		}
	}
	close(w.released)
	<-done
	if got := s.end("first"); got != http.StatusNoContent {
		t.Errorf("once the request has ended: got %d, want 204", got)
	}
}

// Guards against hosts that call each other in a tight loop.
func TestHostThatHasNotEndedAStreamIsAskedAgainAfterAPause(t *testing.T) {
	var asked atomic.Int32
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		w.WriteHeader(http.StatusAccepted)
	}))
	t.Cleanup(host.Close)
	s := newHarness(t, spec(), true)
	s.setRelease(s.addNumberedEndpoint(0, breakAfterTwoEvents("v0")), "v0")
	s.servePeers()
	s.origins.Apply([]origin.Record{{Key: origin.KeyOf("team", "first"), Source: origin.Source{Service: "svc", Release: "v0"}, Life: minuteLife, Host: host.Listener.Addr().String()}}, nil, "other")
	s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	if got := asked.Load(); got < 2 || got > 60 {
		t.Errorf("got %d calls within the time that a take-up waits, want 2 to 60", got)
	}
}

// Guards against a take-up that a later one has replaced and that is reported as one of an unknown origin.
func TestReplacedTakeUpIsReportedAsSuch(t *testing.T) {
	host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusConflict) }))
	t.Cleanup(host.Close)
	s := newHarness(t, spec(), true)
	s.setRelease(s.addNumberedEndpoint(0, breakAfterTwoEvents("v0")), "v0")
	s.servePeers()
	s.origins.Apply([]origin.Record{{Key: origin.KeyOf("team", "first"), Source: origin.Source{Service: "svc", Release: "v0"}, Life: minuteLife, Host: host.Listener.Addr().String()}}, nil, "other")
	got := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "stream-taken-up") || len(s.requests()) != 0 {
		t.Errorf("got %d %s and %d requests at endpoints, want 503 stream-taken-up and none", got.status, got.body, len(s.requests()))
	}
}
