package accept_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/accept"
	"ironhollow/pkg/job"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// site is the entries of one data centre, with messages passed by hand.
type site struct {
	rows      *tables.Store
	gatherers map[string]*accept.Gatherer
	batchers  map[string]*job.Batcher
	// lose drops messages; it is asked for each.
	lose func(m peer.Message) bool
}

// links is one entry's view of the others.
type links struct {
	site *site
	self string
}

func (l links) SendTo(node string, m peer.Message) bool {
	if l.site.lose(m) {
		return true
	}
	reply := func(answer peer.Message) {
		if !l.site.lose(answer) {
			l.site.gatherers[l.self].Handle(nil, answer)
		}
	}
	go func() {
		time.Sleep(time.Millisecond)
		l.site.gatherers[node].Handle(reply, m)
	}()
	return true
}

func (l links) Ensure(membership.Node) {}

func newSite(entries int, window time.Duration) *site {
	s := &site{rows: tables.New(), gatherers: map[string]*accept.Gatherer{}, batchers: map[string]*job.Batcher{}, lose: func(peer.Message) bool { return false }}
	nodes := membership.NewTable()
	for i := range entries {
		nodes.Merge(membership.Node{ID: fmt.Sprintf("n%d", i), Incarnation: 1, Status: membership.Alive, Ready: true, DataCenter: "dc"})
	}
	for _, n := range nodes.Nodes() {
		writer := table.NewWriter(s.rows, n.ID)
		s.batchers[n.ID] = job.NewBatcher(writer, window)
		s.gatherers[n.ID] = accept.New(n, nodes, s.batchers[n.ID], s.rows, links{s, n.ID})
	}
	return s
}

func rows(entry, key string) []table.Write {
	return []table.Write{
		{Key: "job/" + key, Value: []byte(entry + key), If: table.Absent{}},
		{Key: "owned/" + entry + "/" + key, Value: []byte(key), If: table.Always{}},
	}
}

// TestJobsOfADataCentreShareCommits accepts two jobs a second at each of 22
// entries, as at the planned size, and compares commits and waits with each
// entry committing alone.
func TestJobsOfADataCentreShareCommits(t *testing.T) {
	run := func(gather bool, window time.Duration) (commits int64, mean time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(22, window)
			s.rows.SetFaults(func(tables.Call) tables.Fault { return tables.Delay{For: 3 * time.Millisecond} })
			var mu sync.Mutex
			var total time.Duration
			jobs := 0
			var wait sync.WaitGroup
			for i := range 22 {
				id := fmt.Sprintf("n%d", i)
				wait.Go(func() {
					time.Sleep(time.Duration(i*37%500) * time.Millisecond)
					for n := range 20 {
						begun := time.Now()
						var outcome table.Outcome
						if gather {
							outcome = s.gatherers[id].Commit(context.Background(), rows(id, fmt.Sprintf("%s-%d", id, n)))
						} else {
							outcome = s.batchers[id].Commit(context.Background(), rows(id, fmt.Sprintf("%s-%d", id, n)))
						}
						if _, ok := outcome.(table.Committed); !ok {
							t.Errorf("got %#v, want Committed", outcome)
						}
						mu.Lock()
						total += time.Since(begun)
						jobs++
						mu.Unlock()
						time.Sleep(time.Duration(400+(i*53+n*97)%200) * time.Millisecond)
					}
				})
			}
			wait.Wait()
			commits, mean = s.rows.Count(tables.OperationCommit), total/time.Duration(jobs)
		})
		return commits, mean
	}
	const window = 100 * time.Millisecond
	for _, w := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, window} {
		alone, aloneWait := run(false, w)
		together, wait := run(true, w)
		t.Logf("window %v, 440 jobs at 44 a second: %d commits and %v alone, %d commits and %v together", w, alone, aloneWait, together, wait)
		if w == window && together*4 > alone {
			t.Errorf("commits: got %d, want at most a quarter of the %d of each alone", together, alone)
		}
		if wait > w+20*time.Millisecond {
			t.Errorf("wait: got %v, want little over the window of %v", wait, w)
		}
	}
}

// TestFailuresOnTheWay loses the question, or the answer, or has the store fail
// at any call: the job is accepted once, and each caller is told the truth.
func TestFailuresOnTheWay(t *testing.T) {
	isAnswer := func(m peer.Message) bool { _, ok := m.(peer.Accepted); return ok }
	cases := []struct {
		name string
		lose func(peer.Message) bool
	}{
		{"the question is lost", func(m peer.Message) bool { return !isAnswer(m) }},
		{"the answer is lost", isAnswer},
		{"nothing is lost", func(peer.Message) bool { return false }},
	}
	faults := []tables.Fault{tables.None{}, tables.LoseAnswer{}, tables.Down{}, tables.Refuse{}, tables.Late{For: 700 * time.Millisecond}}
	for _, c := range cases {
		for _, fault := range faults {
			for n := int64(1); n <= 3; n++ {
				t.Run(fmt.Sprintf("%s, %T at call %d", c.name, fault, n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						s := newSite(3, 10*time.Millisecond)
						s.lose = c.lose
						s.rows.SetFaults(func(call tables.Call) tables.Fault {
							if call.Number == n {
								return fault
							}
							return tables.None{}
						})
						told := map[string]string{}
						for id, g := range s.gatherers {
							outcome := g.Commit(context.Background(), rows(id, "k"))
							told[id] = fmt.Sprintf("%T", outcome)
						}
						time.Sleep(10 * time.Second)
						s.rows.SetFaults(nil)
						row, ok, _ := s.rows.Get(context.Background(), "job/k")
						done := 0
						for id, kind := range told {
							owns := ok && string(row.Value) == id+"k"
							if kind == "table.Committed" {
								done++
								if !owns {
									t.Errorf("%s was told Committed, but the row is %q", id, row.Value)
								}
							}
							if kind == "table.Refused" && owns {
								t.Errorf("%s was told Refused, but the row is its own", id)
							}
						}
						if done > 1 {
							t.Errorf("told Committed: got %d entries, want 1 at most", done)
						}
					})
				})
			}
		}
	}
}
