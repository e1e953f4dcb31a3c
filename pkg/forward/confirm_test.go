package forward_test

import (
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/origin"
)

// restartable is an endpoint that resets a connection, and has started again as another release since.
type restartable struct {
	*harness
	id string
	// release is that of the events that it sends.
	release atomic.Value
}

// addRestartable adds endpoint e<number> whose row says v0. The row was read before any connection to it was lost.
func (s *harness) addRestartable(number int) *restartable {
	e := &restartable{harness: s}
	e.release.Store("v0")
	e.id = s.addNumberedEndpoint(number, func(c net.Conn, r *http.Request) bool {
		if r.RequestURI == "/stream/reset" {
			return false
		}
		return breakAfterTwoEvents(e.release.Load().(string))(c, r)
	})
	s.setRelease(e.id, "v0")
	e.writeRow("v0", 1, time.Now())
	return e
}

// reset sends requests until the endpoint has reset a connection.
func (e *restartable) reset() {
	e.t.Helper()
	for i := range 50 {
		before := e.countRequests(e.id)
		e.send("POST", "/stream/reset", "body", "Id", "reset-"+strconv.Itoa(i))
		if e.countRequests(e.id) > before {
			return
		}
	}
	e.t.Fatal("no request has reached the endpoint")
}

func (s *harness) countRequests(id string) int {
	n := 0
	for _, r := range s.requests() {
		if r.endpoint == id {
			n++
		}
	}
	return n
}

// recordOrigin records the release at which a stream of an earlier request began.
func (s *harness) recordOrigin(id, release string) {
	s.origins.Record(origin.KeyOf("team", id), origin.Source{Service: "svc", Release: release}, 0, minuteLife)
}

// writeRow lets the host read a row that the endpoint wrote after a time.
func (e *restartable) writeRow(release string, incarnation int64, after time.Time) {
	info := e.endpoint(e.id)
	info.Release, info.Incarnation, info.WrittenAfter, info.Counter = release, incarnation, after, info.Counter+1
	e.directory.Merge(info)
}

// Guards against streams that are resumed at an endpoint which has started again as another release, by its earlier row.
func TestStreamIsNotResumedAtRestartedEndpoint(t *testing.T) {
	s := newHarness(t, spec(), true)
	e := s.addRestartable(0)
	e.reset()
	e.release.Store("v1")
	s.setRelease(s.addNumberedEndpoint(1, breakAfterTwoEvents("v0")), "v0")
	time.AfterFunc(400*time.Millisecond, func() { e.writeRow("v1", 2, time.Now()) })
	var streams sync.WaitGroup
	for i := range 12 {
		streams.Go(func() {
			got := s.send("POST", "/resume/x", "body", "Id", "request-"+strconv.Itoa(i))
			if found := releasesIn(got.body); len(found) != 1 {
				t.Errorf("stream %d: got status %d, events by release %v, want one release", i, got.status, found)
			}
		})
	}
	streams.Wait()
}

// Guards against streams that callers take up and that continue at such an endpoint.
func TestStreamIsNotTakenUpAtRestartedEndpoint(t *testing.T) {
	s := newHarness(t, spec(), true)
	e := s.addRestartable(0)
	e.reset()
	e.release.Store("v1")
	s.recordOrigin("first", "v0")
	time.AfterFunc(400*time.Millisecond, func() { e.writeRow("v1", 2, time.Now()) })
	got := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "release-unavailable") {
		t.Errorf("got status %d, %s, want 503 release-unavailable", got.status, got.body)
	}
}

// Guards against streams that are lost because connections to the endpoints of their release were reset, while the endpoints still serve.
func TestStreamContinuesOnceTheRowOfAnEndpointIsConfirmed(t *testing.T) {
	s := newHarness(t, spec(), true)
	e := s.addRestartable(0)
	e.reset()
	s.recordOrigin("first", "v0")
	const writtenAfter = 400 * time.Millisecond
	time.AfterFunc(writtenAfter, func() { e.writeRow("v0", 1, time.Now()) })
	startedAt := time.Now()
	got := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	took := time.Since(startedAt)
	if found := releasesIn(got.body); got.err != nil || found["v0;"] != 3 || took < writtenAfter || took > 2*writtenAfter {
		t.Errorf("got status %d, events by release %v, error %v after %v, want three of v0 once the row was written", got.status, found, got.err, took)
	}
	startedAt = time.Now()
	s.send("POST", "/resume/x", "body", "Id", "third", "Resumes", "first", "Last-Event", "5")
	if took := time.Since(startedAt); took > writtenAfter/2 {
		t.Errorf("next stream: got %v, want no wait", took)
	}
}

// Guards against a first event that is recorded with the release of a row from before the endpoint started again.
func TestStreamOfUnconfirmedEndpointHasNoOriginYet(t *testing.T) {
	for _, c := range []struct {
		name, release string
		incarnation   int64
		want          int
	}{
		{"goes on", "v0", 1, http.StatusOK},
		{"started again as the same release", "v0", 2, http.StatusOK},
		{"started again as another release", "v1", 2, http.StatusServiceUnavailable},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newHarness(t, spec(), true)
			e := s.addRestartable(0)
			e.reset()
			e.release.Store(c.release)
			time.AfterFunc(300*time.Millisecond, func() { e.writeRow(c.release, c.incarnation, time.Now()) })
			first := s.send("POST", "/stream/x", "body", "Id", "first")
			resumed := s.send("POST", "/resume/x", "body", "Id", "resumed")
			s.setRelease(s.addNumberedEndpoint(1, breakAfterTwoEvents("v0")), "v0")
			again := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "resumed", "Last-Event", "2")
			if found := releasesIn(first.body); found[c.release+";"] != 2 {
				t.Errorf("first stream: got events by release %v, want two of %s", found, c.release)
			}
			if again.status != c.want || c.want != http.StatusOK && !strings.Contains(again.body, "origin-unknown") {
				t.Errorf("got %d, %s after %q, want %d", again.status, again.body, resumed.body, c.want)
			}
		})
	}
}
