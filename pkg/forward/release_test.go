package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"ironhollow/pkg/endpoint"
)

// setRelease sets the release of an endpoint.
func (s *harness) setRelease(id, release string) {
	info := s.endpoint(id)
	info.Release, info.Counter = release, info.Counter+1
	s.directory.Merge(info)
}

// breakAfterTwoEvents sends events that name a release. It breaks off after two, unless the request takes
// a stream up.
func breakAfterTwoEvents(release string) script {
	return func(c net.Conn, r *http.Request) bool {
		first, last := 1, 2
		if id, err := strconv.Atoi(r.Header.Get("Last-Event")); err == nil {
			first, last = id+1, id+3
		}
		answer := "HTTP/1.1 200 OK\r\nId: " + r.Header.Get("Id") + "\r\nSigned: yes\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
		for id := first; id <= last; id++ {
			event := fmt.Sprintf("id: %d\ndata: %s;\n\n", id, release)
			answer += fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		if first > 1 {
			answer += "0\r\n\r\n"
		}
		_, _ = io.WriteString(c, answer)
		return first > 1
	}
}

// releasesIn returns the releases named in the events of a body.
func releasesIn(body string) map[string]int {
	found := map[string]int{}
	for _, line := range strings.Split(body, "\n") {
		if name, ok := strings.CutPrefix(line, "data: "); ok {
			found[name]++
		}
	}
	return found
}

// Guards against streams that break off and are resumed at another release, inside one answer.
func TestBrokenStreamIsResumedAtItsRelease(t *testing.T) {
	s := newHarness(t, spec(), true)
	for i := range 6 {
		release := "v" + strconv.Itoa(i%3)
		id := s.addNumberedEndpoint(i, breakAfterTwoEvents(release))
		s.setRelease(id, release)
	}
	for i := range 30 {
		got := s.send("POST", "/resume/x", "body", "Id", "request-"+strconv.Itoa(i))
		if found := releasesIn(got.body); got.err != nil || len(found) != 1 {
			t.Errorf("request %d: got status %d, error %v, events by release %v, want one release and no error", i, got.status, got.err, found)
		}
	}
}

// Guards against streams that are resumed at another release because no endpoint of theirs is left.
func TestStreamWithoutItsReleaseIsNotResumedElsewhere(t *testing.T) {
	s := newHarness(t, spec(), true)
	for i, release := range []string{"v0", "v1"} {
		s.setRelease(s.addNumberedEndpoint(i, breakAfterTwoEvents(release)), release)
	}
	got := s.send("POST", "/resume/x", "body")
	if found := releasesIn(got.body); got.err == nil || len(found) != 1 {
		t.Errorf("got error %v, events by release %v, want a broken response with one release", got.err, found)
	}
	if n := len(s.requests()); n != 1 {
		t.Errorf("requests received by endpoints: got %d, want 1", n)
	}
}

// Guards against streams that another host forwards and resumes at another release, and whose caller cannot
// take them up.
func TestForwardedStreamIsResumedAtItsRelease(t *testing.T) {
	cut, _, others := newCutHost(t, nil)
	for i := range 6 {
		release := "v" + strconv.Itoa(i%3)
		others[0].setRelease(others[0].addNumberedEndpoint(i, breakAfterTwoEvents(release)), release)
	}
	others[0].directory.Merge(endpoint.Info{ID: "endpoint-0", Incarnation: 1, State: endpoint.Gone})
	for i := range 12 {
		id := "request-" + strconv.Itoa(i)
		got := cut.send("POST", "/resume/x", "body", "Id", id)
		if found := releasesIn(got.body); got.err != nil || len(found) != 1 {
			t.Errorf("%s: got status %d, error %v, events by release %v, want one release and no error", id, got.status, got.err, found)
		}
		again := cut.send("POST", "/resume/x", "body", "Id", id+"-again", "Resumes", id, "Last-Event", "5")
		if found := releasesIn(got.body + again.body); again.status != http.StatusOK || len(found) != 1 {
			t.Errorf("%s: taken up: got status %d, events by release %v, want one release", id, again.status, found)
		}
	}
}
