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

const backoffTime = 3 * time.Second

var now = time.UnixMilli(1_800_000_000_000)

// host is one host's view of some endpoints, with incarnations of its own.
type host struct {
	*notice.Tracker
	directory *endpoint.Directory
	router    *route.Router
}

func newHost(incarnation int64, startedMS int64, endpoints int) host {
	directory := endpoint.NewDirectory()
	for i := range endpoints {
		directory.Merge(endpoint.Info{ID: id(i), Incarnation: incarnation, StartedMS: startedMS, State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: 8})
	}
	router := route.New(directory, hazard.New(), route.Location{Node: "n"}, 1)
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	return host{notice.New(directory, router, logger), directory, router}
}

// newNamedHost returns a host with one endpoint that is not in backoff at the times of the tests.
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

// chooses reports whether the host chooses an endpoint within 32 attempts.
func (h host) chooses(i int, at time.Time) bool {
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

// Checks that the other hosts apply a notice that one host receives, both at once and if the
// datagrams of two rounds are lost.
func TestNoticesReachOtherHost(t *testing.T) {
	for name, n := range map[string]endpoint.Notice{"leaves": {Leaving: true}, "backoff": {Backoff: backoffTime}, "not there": {Moved: true}} {
		for _, how := range []string{"at once", "third round"} {
			a, b := newHost(1, 5, 2), newHost(7, 5, 2)
			a.ApplyResponse(a.info(0), n, now, now)
			if a.chooses(0, now) {
				t.Errorf("%s: the host that received the notice chooses the endpoint", name)
			}
			reports := a.ReportsFor([]string{id(0), id(1)}, now)
			if how == "third round" {
				for range 3 {
					reports = a.Reports(now)
				}
			}
			if len(reports) != 1 {
				t.Fatalf("%s, %s: got %d reports, want 1", name, how, len(reports))
			}
			b.ApplyReports(reports, now)
			if b.chooses(0, now) {
				t.Errorf("%s, %s: the other host chooses the endpoint", name, how)
			}
			if got := a.Reports(now.Add(backoffTime)); how == "third round" && len(got) != 0 {
				t.Errorf("%s: got %d reports in the fourth round, want 0", name, len(got))
			}
			if got, want := b.chooses(0, now.Add(backoffTime)), n.Backoff > 0; got != want {
				t.Errorf("%s, %s: chosen after the backoff: got %v, want %v", name, how, got, want)
			}
		}
	}
}

// Checks that a notice of one run of an endpoint has no effect on a later run, at any host.
func TestNoticesApplyToOneRun(t *testing.T) {
	a, b := newHost(1, 5, 1), newHost(1, 6, 1)
	before := a.info(0)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true}, now, now)
	b.ApplyReports(a.Reports(now), now)
	if !b.chooses(0, now) {
		t.Error("another host: the later run is not chosen")
	}
	again := before
	again.Incarnation = 2
	a.directory.Merge(again)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true}, now, now)
	if a.chooses(0, now) {
		t.Error("the host that received the notice chooses the same run after its row expired and was written again")
	}
	later := before
	later.Incarnation, later.StartedMS = 3, 6
	a.directory.Merge(later)
	a.ApplyResponse(before, endpoint.Notice{Leaving: true, Backoff: backoffTime}, now, now)
	if !a.chooses(0, now) {
		t.Error("the host that received the notice: the later run is not chosen")
	}
}

// Checks that a notice is reported when it is new and not with each response, that a round has no
// more reports than fit into a datagram, and that no report is lost because of that bound.
func TestReportsAreBounded(t *testing.T) {
	const endpoints = 100
	h := newHost(1, 0, endpoints)
	h.ApplyResponse(h.info(0), endpoint.Notice{}, now, now)
	if got := len(h.Reports(now)); got != 0 {
		t.Fatalf("no notice: got %d reports, want 0", got)
	}
	for range 5 {
		for i := range endpoints {
			h.ApplyResponse(h.info(i), endpoint.Notice{Leaving: i%2 == 0, Backoff: backoffTime}, now, now)
		}
	}
	counts := map[string]int{}
	rounds := 0
	for list := h.Reports(now); len(list) > 0; list = h.Reports(now) {
		rounds++
		if len(list) > 30 {
			t.Errorf("round %d: got %d reports, want 30 at most", rounds, len(list))
		}
		for _, report := range list {
			counts[report.Endpoint]++
		}
	}
	for i := range endpoints {
		if got, want := counts[id(i)], 3; got != want {
			t.Errorf("%s: got %d reports, want %d", id(i), got, want)
		}
	}
}

// A holder of the duties that cannot read the rows ordered no endpoints until its lease expired.
// Reports of another run of an endpoint must have no effect, and none may be repeated without end.
func TestHostWithoutRowsLearnsOfLeavingEndpoints(t *testing.T) {
	holder, rows := newHost(1, 5, 3), notice.NewLeavingRows()
	left := make(chan string, 8)
	holder.directory.SubscribeLeaving(func(info endpoint.Info) { left <- info.ID })
	for i, startedMS := range []int64{5, 6, 0} {
		rows.Observe(endpoint.Info{ID: id(i), StartedMS: startedMS, State: endpoint.Leaving}, now)
	}
	for round, want := range []int{2, 2, 2, 0} {
		reports := rows.Reports("holder", now)
		if len(reports) != want {
			t.Errorf("round %d: got %+v, want %d reports", round, reports, want)
		}
		holder.ApplyReports(reports, now)
	}
	for i, want := range []endpoint.State{endpoint.Leaving, endpoint.Live, endpoint.Live} {
		if got := holder.info(i).State; got != want {
			t.Errorf("endpoint %d at the holder: got %v, want %v", i, got, want)
		}
	}
	if got := <-left; got != id(0) {
		t.Errorf("subscriber was told of %s, want %s", got, id(0))
	}
	if got, later := len(rows.Reports("next", now)), len(rows.Reports("third", now.Add(5*time.Second))); got != 2 || later != 0 {
		t.Errorf("to the next holder and to another one 5 s later: got %d and %d reports, want 2 and 0", got, later)
	}
}
