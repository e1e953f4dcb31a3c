package notice_test

import (
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/route"
)

const restTime = 3 * time.Second

var now = time.UnixMilli(1_800_000_000_000)

// host is one host's knowledge of some endpoints, by incarnations of its own.
type host struct {
	*notice.Tracker
	directory *endpoint.Directory
	router    *route.Router
}

func newHost(incarnation int64, born int64, endpoints int) host {
	directory := endpoint.NewDirectory()
	for i := range endpoints {
		directory.Merge(endpoint.Info{ID: id(i), Incarnation: incarnation, StartedMS: born, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: 8})
	}
	router := route.New(directory, hazard.New(), route.Location{Node: "n"}, 1)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return host{notice.New(directory, router, logger), directory, router}
}

// newNamedHost returns a host with one endpoint that does not rest at the tests' times.
func newNamedHost(name string) host {
	directory := endpoint.NewDirectory()
	directory.Merge(endpoint.Info{ID: id(0), Incarnation: 1, StartedMS: 5, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: 1 << 20})
	router := route.New(directory, hazard.New(), route.Location{Node: name}, 1)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return host{notice.New(directory, router, logger), directory, router}
}

func id(i int) string { return fmt.Sprintf("e%03d", i) }

func (h host) info(i int) endpoint.Info {
	info, _ := h.directory.Get(id(i))
	return info
}

// takes reports whether the host's choice falls on an endpoint.
func (h host) takes(i int, at time.Time) bool {
	for range 32 {
		c, ok := h.router.Choose(route.Query{Target: route.Target{Service: "s"}, AnswerTokens: 1}, route.Expected, at)
		if !ok {
			return false
		}
		h.router.Done(c, route.Result{}, at)
		if c.Endpoint.ID == id(i) {
			return true
		}
	}
	return false
}

// A notice to one host is applied by the others, at once and also where two rounds of datagrams
// are lost.
func TestNoticesReachTheOtherHost(t *testing.T) {
	for name, n := range map[string]endpoint.Notice{"leaves": {Leaving: true}, "rests": {Backoff: restTime}, "not there": {Moved: true}} {
		for _, how := range []string{"at once", "third round"} {
			a, b := newHost(1, 5, 2), newHost(7, 5, 2)
			a.ApplyResponse(a.info(0), n, now, now)
			if a.takes(0, now) {
				t.Errorf("%s: the host that was told chooses it", name)
			}
			told := a.ReportsFor([]string{id(0), id(1)}, now)
			if how == "third round" {
				for range 3 {
					told = a.Reports(now)
				}
			}
			if len(told) != 1 {
				t.Fatalf("%s, %s: got %d told, want 1", name, how, len(told))
			}
			b.ApplyReports(told, now)
			if b.takes(0, now) {
				t.Errorf("%s, %s: the other host chooses it", name, how)
			}
			if got := a.Reports(now.Add(restTime)); how == "third round" && len(got) != 0 {
				t.Errorf("%s: got %d told in the fourth round, want 0", name, len(got))
			}
			if got, want := b.takes(0, now.Add(restTime)), n.Backoff > 0; got != want {
				t.Errorf("%s, %s: chosen after a time of rest: got %v, want %v", name, how, got, want)
			}
		}
	}
}

// A notice of an earlier life of an endpoint does not count for a later one, at any host.
func TestNoticesAreOfOneLife(t *testing.T) {
	a, b := newHost(1, 5, 1), newHost(1, 6, 1)
	before := a.info(0)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true}, now, now)
	b.ApplyReports(a.Reports(now), now)
	if !b.takes(0, now) {
		t.Error("another host: the later life is not chosen")
	}
	again := before
	again.Incarnation = 2
	a.directory.Merge(again)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true}, now, now)
	if a.takes(0, now) {
		t.Error("the host that was told chooses the same life, whose row had lapsed meanwhile")
	}
	later := before
	later.Incarnation, later.StartedMS = 3, 6
	a.directory.Merge(later)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true, Backoff: restTime}, now, now)
	if !a.takes(0, now) {
		t.Error("the host that was told: the later life is not chosen")
	}
}

// A notice is reported once it is new, not with each answer; a round has no more reports than
// fit a datagram, and none is lost for that.
func TestReportsAreBounded(t *testing.T) {
	const endpoints = 100
	h := newHost(1, 0, endpoints)
	h.ApplyResponse(h.info(0), endpoint.Notice{}, now, now)
	if got := len(h.Reports(now)); got != 0 {
		t.Fatalf("nothing said: got %d told, want 0", got)
	}
	for range 5 {
		for i := range endpoints {
			h.ApplyResponse(h.info(i), endpoint.Notice{Leaving: i%2 == 0, Backoff: restTime}, now, now)
		}
	}
	counts := map[string]int{}
	rounds := 0
	for list := h.Reports(now); len(list) > 0; list = h.Reports(now) {
		rounds++
		if len(list) > 30 {
			t.Errorf("round %d: got %d told, want 30 at most", rounds, len(list))
		}
		for _, told := range list {
			counts[told.Endpoint]++
		}
	}
	for i := range endpoints {
		if got, want := counts[id(i)], 3; got != want {
			t.Errorf("%s: got told %d times, want %d", id(i), got, want)
		}
	}
}
