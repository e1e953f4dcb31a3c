package forward_test

import (
	"context"
	"encoding/hex"
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

	"ironhollow/pkg/forward"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/upstream"
)

// Guards against streams that are continued although it is not known, or not possible, to continue them
// at the release that began them.
func TestTakeUpWithoutItsReleaseIsRefused(t *testing.T) {
	begun := func(s *harness, source origin.Source) {
		s.origins.Record(origin.KeyOf("team", "first"), source, 0, minuteLife)
	}
	v0 := origin.Source{Service: "svc", Release: "v0"}
	for _, c := range []struct {
		name    string
		prepare func(*harness)
		header  []string
		want    string
	}{
		{"known", func(s *harness) { begun(s, v0) }, []string{"Resumes", "first"}, ""},
		{"not known", func(*harness) {}, []string{"Resumes", "first"}, "origin-unknown"},
		{"malformed", func(s *harness) { begun(s, v0) }, []string{"Resumes", "first, \"" + strings.Repeat("x", 4<<10)}, "origin-unknown"},
		{"another team's", func(s *harness) { s.origins.Record(origin.KeyOf("other", "first"), v0, 0, minuteLife) }, []string{"Resumes", "first"}, "origin-unknown"},
		{"release gone", func(s *harness) { begun(s, origin.Source{Service: "svc", Release: "v9"}) }, []string{"Resumes", "first"}, "release-unavailable"},
		{"no release", func(s *harness) { begun(s, origin.Source{Service: "svc"}) }, []string{"Resumes", "first"}, "release-unavailable"},
		{"another service", func(s *harness) { begun(s, origin.Source{Service: "old", Release: "v0"}) }, []string{"Resumes", "first"}, "release-unavailable"},
		{"repeated ID", func(s *harness) { begun(s, v0); begun(s, origin.Source{Service: "svc", Release: "v1"}) }, []string{"Resumes", "first"}, "origin-unknown"},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, spec(), true)
			for i, release := range []string{"v0", "v1", "v1", "v1"} {
				s.setRelease(s.addNumberedEndpoint(i, breakAfterTwoEvents(release)), release)
			}
			c.prepare(s)
			got := s.send("POST", "/resume/x", "body", append([]string{"Id", "second", "Last-Event", "2"}, c.header...)...)
			if c.want == "" {
				if found := releasesIn(got.body); got.err != nil || len(found) != 1 || found["v0;"] == 0 {
					t.Errorf("got status %d, error %v, events by release %v, want v0 alone", got.status, got.err, found)
				}
				return
			}
			if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, c.want) || got.header.Get("Retry-After") == "" {
				t.Errorf("got status %d, body %s, Retry-After %q, want 503 %s with Retry-After", got.status, got.body, got.header.Get("Retry-After"), c.want)
			}
			if n := len(s.requests()); n != 0 {
				t.Errorf("requests received by endpoints: got %d, want none", n)
			}
		})
	}
}

// Guards against callers that cannot take up a stream twice, as they name its first attempt again.
func TestStreamIsTakenUpTwice(t *testing.T) {
	s := newHarness(t, spec(), true)
	for i := range 6 {
		release := "v" + string(rune('0'+i%3))
		s.setRelease(s.addNumberedEndpoint(i, breakAfterTwoEvents(release)), release)
	}
	body := s.send("POST", "/stream/x", "body", "Id", "first").body
	for _, again := range [][]string{{"second", "2"}, {"third", "5"}} {
		body += s.send("POST", "/resume/x", "body", "Id", again[0], "Resumes", "first", "Last-Event", again[1]).body
	}
	if found := releasesIn(body); len(found) != 1 || len(strings.Split(body, "id: ")) != 9 {
		t.Errorf("got %q, want eight events of one release", body)
	}
}

// Guards against streams that cannot be taken up because their caller's key has passed to another team, or its team has another key.
func TestStreamIsTakenUpAfterItsKeyHasPassed(t *testing.T) {
	for _, c := range []struct {
		name, team, key string
		wantRefused     bool
	}{
		{"the key has passed to another team", "office", "key", false},
		{"the team has another key", "team", "key-2", false},
		{"another team and another key", "office", "key-2", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newHarness(t, spec(), true)
			for i := range 6 {
				release := "v" + string(rune('0'+i%3))
				s.setRelease(s.addNumberedEndpoint(i, breakAfterTwoEvents(release)), release)
			}
			first := s.send("POST", "/stream/x", "body", "Id", "first")
			next := spec()
			next.Version, next.Teams = 2, []routetable.Team{{Name: c.team, Keys: []string{c.key}}}
			s.tables.apply(next)
			got := s.send("POST", "/resume/x", "body", "Id", "second", "Key", c.key, "Resumes", "first", "Last-Event", "2")
			if c.wantRefused {
				if got.status != http.StatusServiceUnavailable || !strings.Contains(got.body, "origin-unknown") {
					t.Errorf("got status %d, %s, want 503 origin-unknown", got.status, got.body)
				}
				return
			}
			if found := releasesIn(first.body + got.body); got.status != http.StatusOK || len(found) != 1 {
				t.Errorf("got status %d and events by release %v, want 200 and one release", got.status, found)
			}
		})
	}
}

// Guards against streams that wait behind requests for slots that they may not use, or are refused because of
// them.
func TestTakeUpDoesNotWaitForSlotsOfOtherReleases(t *testing.T) {
	const callers = 12
	slow := respond("HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nMax-Rejections: 20\r\nContent-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 9\ndata: x\n\n", true)
	patient := patientSpec()
	for i := range patient.Routes {
		patient.Routes[i].LatencyObjective = patient.Routes[i].Timeout
	}
	s := newHarness(t, patient, true)
	for i, release := range []string{"v0", "v1"} {
		s.setRelease(s.addNumberedEndpoint(i, func(c net.Conn, r *http.Request) bool {
			if release == "v1" {
				time.Sleep(800 * time.Millisecond)
			}
			return slow(c, r)
		}), release)
	}
	for _, release := range []string{"v0", "v1"} {
		s.origins.Record(origin.KeyOf("team", release), origin.Source{Service: "svc", Release: release}, 0, minuteLife)
		s.send("POST", "/resume/x", "body", "Id", "first", "Resumes", release, "Last-Event", "2")
	}
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			s.send("POST", "/resume/x", "body", "Id", "busy-"+strconv.Itoa(i), "Resumes", "v1", "Last-Event", "2")
		})
	}
	time.Sleep(50 * time.Millisecond)
	startedAt := time.Now()
	got := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "v0", "Last-Event", "2")
	if took := time.Since(startedAt); got.status != http.StatusOK || took > 400*time.Millisecond {
		t.Errorf("got status %d after %v, want 200 at once: its release has free slots", got.status, took)
	}
	group.Wait()
}

// Guards against streams that are continued at the release of an endpoint's row while the endpoint has started
// again as another one.
func TestStreamOfRestartedEndpointIsNotContinued(t *testing.T) {
	s := newHarness(t, spec(), true)
	restarted := breakAfterTwoEvents("v1")
	s.setRelease(s.addNumberedEndpoint(0, func(c net.Conn, r *http.Request) bool {
		// The row of the endpoint arrives while it runs the request.
		info := s.endpoint("e0")
		info.Release, info.Incarnation = "v1", 2
		s.directory.Merge(info)
		return restarted(c, r)
	}), "v0")
	got := s.send("POST", "/resume/x", "body", "Id", "first")
	s.setRelease(s.addNumberedEndpoint(1, breakAfterTwoEvents("v0")), "v0")
	again := s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	if got.err == nil || again.status != http.StatusServiceUnavailable || !strings.Contains(again.body, "origin-unknown") {
		t.Errorf("got error %v, then status %d, %s, want a broken stream and 503 origin-unknown", got.err, again.status, again.body)
	}
}

// Guards against a take-up that its caller abandons for another host while it waits for the end of the attempt before, and that begins all the same.
func TestAbandonedTakeUpDoesNotBegin(t *testing.T) {
	s := newHarness(t, spec(), true)
	s.setRelease(s.addNumberedEndpoint(0, breakAfterTwoEvents("v0")), "v0")
	s.servePeers()
	// The host that relays the first attempt accepts connections and does not answer.
	silent := s.listen()
	key := origin.KeyOf("team", "first")
	s.origins.Apply([]origin.Record{{Key: key, Source: origin.Source{Service: "svc", Release: "v0"}, Life: minuteLife, Host: silent.Addr().String()}}, nil, "other")
	abandoned := make(chan callerResponse, 1)
	go func() {
		abandoned <- s.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	}()
	time.Sleep(100 * time.Millisecond)
	asked, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	request := httptest.NewRequestWithContext(asked, http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil)
	s.forwarder.ServeStreamEnd(httptest.NewRecorder(), request)
	if got, n := <-abandoned, len(s.requests()); n != 0 || got.status == http.StatusOK {
		t.Errorf("got status %d and %d requests at endpoints, want none", got.status, n)
	}
}

// Guards against a take-up that begins while the host that relays the attempt before still waits for the end of its run.
func TestTakeUpWaitsForTheHostThatEndsTheRun(t *testing.T) {
	const endsAfter = 600 * time.Millisecond
	p := &movePlatform{stopped: make(chan struct{})}
	calls := &endingCalls{accepts: true, freed: make(chan string, 9), stop: func(context.Context) migrate.CopyAnswer {
		time.Sleep(endsAfter)
		return migrate.CopyAnswer{Result: migrate.NoRun}
	}}
	relaying := newHarness(t, moveSpec(), true)
	relaying.forwarder.MoveStreams(forward.NewMover(calls, upstream.New(time.Second), relaying.directory, relaying.router, relaying.tables, time.Now, prometheus.NewRegistry(), &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}))
	for _, id := range []string{"e0", "e1"} {
		relaying.addEndpoint(id, func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, 0) })
	}
	ends := httptest.NewServer(http.HandlerFunc(relaying.forwarder.ServeStreamEnd))
	t.Cleanup(ends.Close)
	go relaying.send("POST", "/resume/x", "body", "Id", "first")
	time.Sleep(moveEvents / 4 * moveEventGap)

	next := newHarness(t, spec(), true)
	next.setRelease(next.addNumberedEndpoint(0, breakAfterTwoEvents("v0")), "v0")
	next.servePeers()
	next.origins.Apply([]origin.Record{{Key: origin.KeyOf("team", "first"), Source: origin.Source{Service: "svc", Release: "v0"}, Life: minuteLife, Host: ends.Listener.Addr().String()}}, nil, "other")
	startedAt := time.Now()
	got := next.send("POST", "/resume/x", "body", "Id", "second", "Resumes", "first", "Last-Event", "2")
	if took := time.Since(startedAt); got.status != http.StatusOK || took < endsAfter {
		t.Errorf("got status %d after %v, want 200 after the run has ended, %v", got.status, took, endsAfter)
	}
}

// Guards against two attempts at a stream that run at once: its caller resumes it at two hosts one after the other, before the first is ended.
func TestLatestTakeUpEndsTheOthers(t *testing.T) {
	for name, ages := range map[string][2]time.Duration{"in order": {80 * time.Millisecond, 40 * time.Millisecond}, "the later one first": {40 * time.Millisecond, 80 * time.Millisecond}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			relaying := newHarness(t, moveSpec(), true)
			relaying.servePeers()
			p := &movePlatform{stopped: make(chan struct{})}
			relaying.addEndpoint("e0", func(conn net.Conn, r *http.Request) bool { return p.run(conn, r, nil, 0) })
			go relaying.send("POST", "/resume/x", "body", "Id", "first")
			time.Sleep(moveEvents / 2 * moveEventGap)
			var asked [2]atomic.Int32
			var statuses [2]int
			for i, age := range ages {
				host := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					asked[i].Add(1)
					w.WriteHeader(http.StatusNoContent)
				}))
				t.Cleanup(host.Close)
				key, w := origin.KeyOf("team", "first"), httptest.NewRecorder()
				r := httptest.NewRequestWithContext(t.Context(), http.MethodDelete, forward.StreamsPath+hex.EncodeToString(key[:]), nil)
				r.Header.Set("Ironhollow-Taken-Up-By", host.Listener.Addr().String())
				r.Header.Set("Ironhollow-Taken-Up-Age", strconv.FormatInt(age.Milliseconds(), 10))
				relaying.forwarder.ServeStreamEnd(w, r)
				statuses[i] = w.Code
			}
			isInOrder := ages[0] > ages[1]
			if got := asked[0].Load() == 1; got != isInOrder || asked[1].Load() != 0 {
				t.Errorf("ends of the first and the second take-up: got %d, %d, want the earlier one's if it came first", asked[0].Load(), asked[1].Load())
			}
			if got := statuses[1] != http.StatusConflict; got != isInOrder || statuses[0] != http.StatusNoContent {
				t.Errorf("got statuses %v, want 204 and 409 for an earlier one that came second", statuses)
			}
		})
	}
}
