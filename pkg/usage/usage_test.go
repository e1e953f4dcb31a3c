package usage_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/table"
	"ironhollow/pkg/usage"
)

const window = 5 * time.Second

// rows is an in-memory table service.
type rows struct {
	mu      sync.Mutex
	version int64
	rows    map[string]table.Row
	down    bool
}

func (r *rows) Commit(_ context.Context, c table.Commit) table.Outcome {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.down {
		return table.Refused{Err: errors.New("down")}
	}
	for _, w := range c.Writes {
		if row, exists := r.rows[w.Key]; exists && w.If == (table.Absent{}) {
			return table.Refused{Conflicts: []table.Row{row}}
		}
	}
	r.version++
	for _, w := range c.Writes {
		if w.Delete {
			delete(r.rows, w.Key)
			continue
		}
		r.rows[w.Key] = table.Row{Key: w.Key, Value: w.Value, Version: r.version, Token: c.Token}
	}
	return table.Committed{Version: r.version}
}

func (r *rows) Get(_ context.Context, key string) (table.Row, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.rows[key]
	return row, ok, nil
}

func (r *rows) List(context.Context, string, string, int) ([]table.Row, error) { return nil, nil }

// sink records reports. It fails those of one window after recording them, as if the answer
// had been lost.
type sink struct {
	reports    []string
	failWindow int64
}

func (s *sink) Report(_ context.Context, g lease.Grant, r usage.Report) error {
	s.reports = append(s.reports, fmt.Sprintf("%d by %d: %v", r.Window, g.Epoch, r.Counts))
	if s.failWindow == r.Window {
		return errors.New("answer lost")
	}
	return nil
}

// holder is a process that may report.
type holder struct {
	reporter *usage.Reporter
	counter  *usage.Counter
	roster   *roster.Roster
	now      time.Time
}

func newHolder(name string, store table.Store, s usage.Sink) *holder {
	h := &holder{roster: roster.New(3*time.Second, func(int) time.Duration { return time.Second }), now: time.Unix(1000, 0)}
	h.counter = usage.NewCounter(window, func() time.Time { return h.now })
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	h.reporter = usage.NewReporter(h.counter, h.roster, table.NewWriter(store, name), s, func() int64 { return 0 }, logger)
	return h
}

// receiveCounts gives the holder a process's count in the window at 1000 s.
func (h *holder) receiveCounts(process string, started int) {
	h.roster.Merge(roster.Row{
		Host: roster.Host{Incarnation: process, Node: process}, Sequence: int64(started),
		Counts: []roster.RequestCount{{Window: 200, Team: "t", Started: started}},
	}, h.now)
}

func (h *holder) step(epoch int64) {
	h.reporter.Step(context.Background(), func() (lease.Grant, bool) { return lease.Grant{Epoch: epoch}, true })
}

// TestReportsAreRepeatedUnchanged checks that a new holder that has received other counts
// repeats the report that the previous holder may have sent.
func TestReportsAreRepeatedUnchanged(t *testing.T) {
	store := &rows{rows: map[string]table.Row{}}
	s := &sink{failWindow: 200}
	first := newHolder("first", store, s)
	first.receiveCounts("a", 3)
	first.receiveCounts("b", 4)
	first.now = time.Unix(1009, 0)
	first.step(1)
	second := newHolder("second", store, s)
	second.receiveCounts("a", 3)
	second.receiveCounts("b", 5)
	second.now = time.Unix(1009, 0)
	s.failWindow = 0
	second.step(2)
	sent := map[string]bool{}
	for _, line := range s.reports {
		if line[:3] == "200" {
			sent[line[len("200 by 1"):]] = true
		}
	}
	if len(sent) != 1 || !sent[": map[t:7]"] {
		t.Errorf("reports of window 200: got %v, want 7 from both", s.reports)
	}
}

func TestNothingIsReportedEarlyOrWithoutTheLease(t *testing.T) {
	store := &rows{rows: map[string]table.Row{}}
	s := &sink{}
	h := newHolder("h", store, s)
	h.receiveCounts("a", 3)
	h.now = time.Unix(1006, 0)
	h.step(1)
	for _, line := range s.reports {
		if line[:3] == "200" {
			t.Errorf("reported 1 s after the window's end: %s", line)
		}
	}
	h.now = time.Unix(1009, 0)
	before := len(s.reports)
	h.reporter.Step(context.Background(), func() (lease.Grant, bool) { return lease.Grant{}, false })
	if len(s.reports) != before {
		t.Errorf("reported without the lease: %v", s.reports[before:])
	}
}

// TestNothingIsSentThatIsNotWritten checks that nothing is sent while writes to the store
// fail, since another holder could not repeat it.
func TestNothingIsSentThatIsNotWritten(t *testing.T) {
	store := &rows{rows: map[string]table.Row{}, down: true}
	s := &sink{}
	h := newHolder("h", store, s)
	h.receiveCounts("a", 3)
	h.now = time.Unix(1009, 0)
	h.step(1)
	if len(s.reports) != 0 {
		t.Errorf("sent: got %v, want nothing", s.reports)
	}
	store.down = false
	h.step(1)
	if len(s.reports) == 0 {
		t.Error("sent after the store recovered: got nothing")
	}
}

func TestCounting(t *testing.T) {
	now := time.Unix(1000, 0)
	c := usage.NewCounter(window, func() time.Time { return now })
	c.RunStarted("t")
	c.RunStarted("")
	now = now.Add(window)
	c.RunStarted("t")
	c.RunStarted("u")
	want := []roster.RequestCount{{Window: 200, Team: "t", Started: 1}, {Window: 201, Team: "t", Started: 1}, {Window: 201, Team: "u", Started: 1}}
	if got := c.Recent(); fmt.Sprint(got) != fmt.Sprint(want) {
		t.Errorf("counts: got %v, want %v", got, want)
	}
	now = now.Add(10 * window)
	if got := c.Recent(); len(got) != 0 {
		t.Errorf("counts long after: got %v, want none", got)
	}
}
