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

// dataCenter holds the entries of one data centre and delivers their messages without a network.
type dataCenter struct {
	rows       *tables.Store
	committers map[string]*accept.Committer
	batchers   map[string]*job.Batcher
	// drop is called for each message and reports whether the message is lost.
	drop func(m peer.Message) bool
}

// links implements accept.Links for one entry.
type links struct {
	dataCenter *dataCenter
	self       string
}

func (l links) SendTo(node string, m peer.Message) bool {
	if l.dataCenter.drop(m) {
		return true
	}
	reply := func(answer peer.Message) {
		if !l.dataCenter.drop(answer) {
			l.dataCenter.committers[l.self].Handle(nil, answer)
		}
	}
	go func() {
		time.Sleep(time.Millisecond)
		l.dataCenter.committers[node].Handle(reply, m)
	}()
	return true
}

func (l links) EnsureLink(membership.Node) {}

func newDataCenter(entries int, window time.Duration) *dataCenter {
	d := &dataCenter{rows: tables.New(), committers: map[string]*accept.Committer{}, batchers: map[string]*job.Batcher{}, drop: func(peer.Message) bool { return false }}
	nodes := membership.NewTable()
	for i := range entries {
		nodes.Merge(membership.Node{ID: fmt.Sprintf("n%d", i), Incarnation: 1, Status: membership.Alive, Ready: true, DataCenter: "dc"})
	}
	for _, n := range nodes.Nodes() {
		writer := table.NewWriter(d.rows, n.ID)
		d.batchers[n.ID] = job.NewBatcher(writer, window)
		d.committers[n.ID] = accept.New(n, nodes, d.batchers[n.ID], d.rows, links{d, n.ID})
	}
	return d
}

func rows(entry, key string) []table.Write {
	return []table.Write{
		{Key: "job/" + key, Value: []byte(entry + key), If: table.Absent{}},
		{Key: "owned/" + entry + "/" + key, Value: []byte(key), If: table.Always{}},
	}
}

// Checks that the entries of a data centre share commits. 22 entries, as at the planned size,
// accept two jobs per second each; the commits and the mean wait are compared with those of entries
// that commit on their own.
func TestEntriesOfADataCentreShareCommits(t *testing.T) {
	run := func(share bool, window time.Duration) (commits int64, mean time.Duration) {
		synctest.Test(t, func(t *testing.T) {
			d := newDataCenter(22, window)
			d.rows.SetFaults(func(tables.Call) tables.Fault { return tables.Delay{Duration: 3 * time.Millisecond} })
			var mu sync.Mutex
			var total time.Duration
			jobs := 0
			var wait sync.WaitGroup
			for i := range 22 {
				id := fmt.Sprintf("n%d", i)
				wait.Go(func() {
					time.Sleep(time.Duration(i*37%500) * time.Millisecond)
					for n := range 20 {
						start := time.Now()
						var outcome table.Outcome
						if share {
							outcome = d.committers[id].Commit(context.Background(), rows(id, fmt.Sprintf("%s-%d", id, n)))
						} else {
							outcome = d.batchers[id].Commit(context.Background(), rows(id, fmt.Sprintf("%s-%d", id, n)))
						}
						if _, ok := outcome.(table.Committed); !ok {
							t.Errorf("got %#v, want Committed", outcome)
						}
						mu.Lock()
						total += time.Since(start)
						jobs++
						mu.Unlock()
						time.Sleep(time.Duration(400+(i*53+n*97)%200) * time.Millisecond)
					}
				})
			}
			wait.Wait()
			commits, mean = d.rows.Count(tables.OperationCommit), total/time.Duration(jobs)
		})
		return commits, mean
	}
	const window = 100 * time.Millisecond
	for _, w := range []time.Duration{10 * time.Millisecond, 50 * time.Millisecond, window} {
		separate, separateWait := run(false, w)
		shared, sharedWait := run(true, w)
		t.Logf("window %v, 440 jobs at 44 per second: %d commits and mean wait %v separate, %d commits and mean wait %v shared", w, separate, separateWait, shared, sharedWait)
		if w == window && shared*4 > separate {
			t.Errorf("shared commits: got %d, want at most a quarter of the %d separate ones", shared, separate)
		}
		if sharedWait > w+20*time.Millisecond {
			t.Errorf("mean wait: got %v, want at most 20 ms over the window of %v", sharedWait, w)
		}
	}
}

// Checks that a job is accepted once, and that each entry gets a correct outcome, if the request or
// the answer is lost or the store fails at any call.
func TestLostMessagesAndStoreFaults(t *testing.T) {
	isAnswer := func(m peer.Message) bool { _, ok := m.(peer.Accepted); return ok }
	cases := []struct {
		name string
		drop func(peer.Message) bool
	}{
		{"request lost", func(m peer.Message) bool { return !isAnswer(m) }},
		{"answer lost", isAnswer},
		{"nothing lost", func(peer.Message) bool { return false }},
	}
	faults := []tables.Fault{tables.NoFault{}, tables.LoseResponse{}, tables.Down{}, tables.Refuse{}, tables.LateCommit{After: 700 * time.Millisecond}}
	for _, c := range cases {
		for _, fault := range faults {
			for n := int64(1); n <= 3; n++ {
				t.Run(fmt.Sprintf("%s, %T at call %d", c.name, fault, n), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						d := newDataCenter(3, 10*time.Millisecond)
						d.drop = c.drop
						d.rows.SetFaults(func(call tables.Call) tables.Fault {
							if call.Number == n {
								return fault
							}
							return tables.NoFault{}
						})
						outcomes := map[string]string{}
						for id, committer := range d.committers {
							outcome := committer.Commit(context.Background(), rows(id, "k"))
							outcomes[id] = fmt.Sprintf("%T", outcome)
						}
						time.Sleep(10 * time.Second)
						d.rows.SetFaults(nil)
						row, ok, _ := d.rows.Get(context.Background(), "job/k")
						done := 0
						for id, outcomeType := range outcomes {
							owns := ok && string(row.Value) == id+"k"
							if outcomeType == "table.Committed" {
								done++
								if !owns {
									t.Errorf("outcome at %s: got Committed, but the row is %q", id, row.Value)
								}
							}
							if outcomeType == "table.Refused" && owns {
								t.Errorf("outcome at %s: got Refused, but the row is its own", id)
							}
						}
						if done > 1 {
							t.Errorf("entries with the outcome Committed: got %d, want at most 1", done)
						}
					})
				})
			}
		}
	}
}

// repeatingLinks answers each request several times at once, before SendTo returns.
type repeatingLinks struct {
	committer *accept.Committer
	handled   chan struct{}
}

func (l *repeatingLinks) SendTo(_ string, m peer.Message) bool {
	var handlers sync.WaitGroup
	for range 4 {
		handlers.Go(func() {
			l.committer.Handle(nil, peer.Accepted{Request: m.(peer.Accept).Request, Outcome: peer.AcceptCommitted, Version: 7})
		})
	}
	go func() {
		handlers.Wait()
		close(l.handled)
	}()
	time.Sleep(time.Millisecond)
	return true
}

func (l *repeatingLinks) EnsureLink(membership.Node) {}

// Guards against the handler of peer messages blocking for good after repeated answers to a request.
func TestRepeatedAnswersDoNotBlockHandler(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		nodes := membership.NewTable()
		for i := range 2 {
			nodes.Merge(membership.Node{ID: fmt.Sprintf("n%d", i), Incarnation: 1, Status: membership.Alive, Ready: true, DataCenter: "dc"})
		}
		for _, self := range nodes.Nodes() {
			store := tables.New()
			l := &repeatingLinks{handled: make(chan struct{})}
			l.committer = accept.New(self, nodes, job.NewBatcher(table.NewWriter(store, self.ID), 0), store, l)
			outcome := l.committer.Commit(context.Background(), rows(self.ID, "k"))
			if l.committer.Counts().Forwarded == 0 {
				continue // This entry commits for the data centre.
			}
			if got, ok := outcome.(table.Committed); !ok || got.Version != 7 {
				t.Errorf("got %#v, want version 7", outcome)
			}
			select {
			case <-l.handled:
			case <-time.After(time.Minute):
				t.Fatal("a handler is still blocked a minute later")
			}
		}
	})
}
