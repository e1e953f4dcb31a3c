// Package accept gathers the jobs that a data centre's entries accept into few
// commits. At the planned size an entry accepts a job or two a second, so that
// batches of one entry would hold one job each and the store would see a
// commit for every job. One entry of each data centre, chosen by rendezvous
// hashing, therefore commits for the others. It decides nothing: whoever asked
// it commits alone where it does not answer, and the rows tell who was first.
package accept

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"ironhollow/pkg/job"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/table"
)

// Links is how other entries are reached.
type Links interface {
	// SendTo sends on the link to a node; false if there is none.
	SendTo(node string, message peer.Message) bool
	// Ensure begins to link to a node.
	Ensure(node membership.Node)
}

// Parameters of asking another entry.
const (
	// answerTime bounds the wait for the other entry; a commit takes some
	// milliseconds and its window ten.
	answerTime = 500 * time.Millisecond
	// gatherKey is hashed with a data centre's name to choose its entry.
	gatherKey = "accept/"
)

// Gatherer commits through the data centre's entry. It is safe for concurrent
// use.
type Gatherer struct {
	self  membership.Node
	nodes *membership.Table
	local *job.Batcher
	store table.Store
	links Links

	next    atomic.Int64
	mu      sync.Mutex
	waiting map[int64]chan peer.Accepted
	counts  Counts
}

// Counts count jobs by the way they went.
type Counts struct {
	// Local were committed here for callers of this entry, Sent through another
	// entry, Served for another one, and Fallback here after the other did not
	// answer.
	Local, Sent, Served, Fallback int64
}

// New returns a gatherer over this entry's own batcher.
func New(self membership.Node, nodes *membership.Table, local *job.Batcher, store table.Store, links Links) *Gatherer {
	return &Gatherer{self: self, nodes: nodes, local: local, store: store, links: links, waiting: map[int64]chan peer.Accepted{}}
}

// Counts returns the counters so far.
func (g *Gatherer) Counts() Counts {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.counts
}

func (g *Gatherer) count(change func(*Counts)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(&g.counts)
}

// gatherer returns the entry that commits for this data centre.
func (g *Gatherer) gatherer() (membership.Node, bool) {
	var centre []membership.Node
	for _, n := range g.nodes.ServingNodes() {
		if n.DataCenter == g.self.DataCenter {
			centre = append(centre, n)
		}
	}
	top := membership.TopByHash(gatherKey+g.self.DataCenter, centre, 1)
	if len(top) == 0 || top[0].ID == g.self.ID {
		return membership.Node{}, false
	}
	return top[0], true
}

// Commit inserts the rows of one job.
func (g *Gatherer) Commit(ctx context.Context, rows []table.Write) table.Outcome {
	node, remote := g.gatherer()
	if !remote {
		g.count(func(c *Counts) { c.Local++ })
		return g.local.Commit(ctx, rows)
	}
	if answer, ok := g.ask(ctx, node, rows); ok {
		switch answer.Outcome {
		case peer.AcceptDone:
			g.count(func(c *Counts) { c.Sent++ })
			return table.Committed{Version: answer.Version}
		case peer.AcceptConflict:
			return g.settle(ctx, rows)
		}
	}
	// It did not answer, or does not know: both may insert, the row decides.
	g.count(func(c *Counts) { c.Fallback++ })
	return g.settle(ctx, rows)
}

// settle commits here. A row that stands already and is the same is this job's
// own, inserted by the other entry: its owner and time are in it.
func (g *Gatherer) settle(ctx context.Context, rows []table.Write) table.Outcome {
	outcome := g.local.Commit(ctx, rows)
	refused, ok := outcome.(table.Refused)
	if !ok {
		return outcome
	}
	if len(refused.Conflicts) == 0 {
		// This try was turned away; the other entry's may stand all the same.
		return table.Unknown{Err: refused.Err}
	}
	for _, row := range refused.Conflicts {
		if row.Key == rows[0].Key && bytes.Equal(row.Value, rows[0].Value) {
			return table.Committed{Version: row.Version}
		}
	}
	return outcome
}

// ask sends the rows to another entry and waits for its answer.
func (g *Gatherer) ask(ctx context.Context, node membership.Node, rows []table.Write) (peer.Accepted, bool) {
	request := g.next.Add(1)
	answer := make(chan peer.Accepted, 1)
	g.mu.Lock()
	g.waiting[request] = answer
	g.mu.Unlock()
	defer func() {
		g.mu.Lock()
		delete(g.waiting, request)
		g.mu.Unlock()
	}()
	message := peer.Accept{Request: request}
	for _, row := range rows {
		message.Rows = append(message.Rows, peer.AcceptRow{Key: row.Key, Value: row.Value})
	}
	if !g.links.SendTo(node.ID, message) {
		g.links.Ensure(node)
		return peer.Accepted{}, false
	}
	timer := time.NewTimer(answerTime)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.Accepted{}, false
}

// serveTime bounds a commit made for another entry.
const serveTime = 5 * time.Second

// Handle takes what other entries send; it is a peer.Handler.
func (g *Gatherer) Handle(reply peer.Sender, message peer.Message) {
	switch m := message.(type) {
	case peer.Accept:
		go g.serve(reply, m)
	case peer.Accepted:
		g.mu.Lock()
		answer, ok := g.waiting[m.Request]
		g.mu.Unlock()
		if ok {
			answer <- m
		}
	}
}

// errEmpty says that an entry asked for nothing.
var errEmpty = errors.New("accept: no rows")

func (g *Gatherer) serve(reply peer.Sender, m peer.Accept) {
	ctx, cancel := context.WithTimeout(context.Background(), serveTime)
	defer cancel()
	rows, err := rowsOf(m)
	if err != nil {
		reply(peer.Accepted{Request: m.Request, Outcome: peer.AcceptRefused})
		return
	}
	g.count(func(c *Counts) { c.Served++ })
	answer := peer.Accepted{Request: m.Request, Outcome: peer.AcceptUnknown}
	switch outcome := g.local.Commit(ctx, rows).(type) {
	case table.Committed:
		answer.Outcome, answer.Version = peer.AcceptDone, outcome.Version
	case table.Refused:
		answer.Outcome = peer.AcceptRefused
		if len(outcome.Conflicts) > 0 {
			answer.Outcome = peer.AcceptConflict
		}
	}
	reply(answer)
}

// rowsOf gives the writes back their conditions: the job's row decides, the
// owner's index entry follows it.
func rowsOf(m peer.Accept) ([]table.Write, error) {
	if len(m.Rows) == 0 {
		return nil, errEmpty
	}
	rows := make([]table.Write, len(m.Rows))
	for i, r := range m.Rows {
		rows[i] = table.Write{Key: r.Key, Value: r.Value, If: table.Always{}}
	}
	rows[0].If = table.Absent{}
	return rows, nil
}
