// Package accept batches the inserts of accepted jobs across the entries of a data centre. At the
// planned size an entry accepts one or two jobs per second, so that a batch of one entry would
// contain a single job and the store would receive one commit per job. Therefore one entry per data
// centre, chosen by rendezvous hashing, commits for the others. It has no authority over the
// outcome: an entry that gets no answer from it commits the rows itself, and the rows in the store
// determine which insert was first.
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

// Links sends messages to other entries.
type Links interface {
	// SendTo sends a message over the link to a node and reports whether there is a link.
	SendTo(node string, message peer.Message) bool
	// EnsureLink starts to open a link to a node if there is none.
	EnsureLink(node membership.Node)
}

// Parameters of commits through another entry.
const (
	// answerTimeout bounds the wait for the answer of the other entry. A commit takes a few
	// milliseconds and its batch window ten.
	answerTimeout = 500 * time.Millisecond
	// committerHashPrefix is hashed with the name of a data centre to choose the entry that commits
	// for it.
	committerHashPrefix = "accept/"
)

// Committer commits accepted jobs through the entry that is chosen for the data centre. It is safe
// for concurrent use.
type Committer struct {
	self  membership.Node
	nodes *membership.Table
	local *job.Batcher
	store table.Store
	links Links

	lastRequest atomic.Int64
	mu          sync.Mutex
	pending     map[int64]chan peer.Accepted
	counts      Counts
}

// Counts counts jobs by where they were committed.
type Counts struct {
	// Local jobs are from callers of this entry and were committed here, Forwarded jobs by another
	// entry. Served jobs were committed here for another entry. Fallback jobs were committed here
	// because the other entry did not answer, or reported neither success nor a conflict.
	Local, Forwarded, Served, Fallback int64
}

// New returns a committer that uses local, the batcher of this entry, for the commits that it makes
// itself.
func New(self membership.Node, nodes *membership.Table, local *job.Batcher, store table.Store, links Links) *Committer {
	return &Committer{self: self, nodes: nodes, local: local, store: store, links: links, pending: map[int64]chan peer.Accepted{}}
}

// Counts returns the current counts.
func (c *Committer) Counts() Counts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts
}

func (c *Committer) updateCounts(update func(*Counts)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	update(&c.counts)
}

// remoteCommitter returns the entry that commits for this data centre, or false if that is this
// entry or there is none.
func (c *Committer) remoteCommitter() (membership.Node, bool) {
	var candidates []membership.Node
	for _, n := range c.nodes.ServingNodes() {
		if n.DataCenter == c.self.DataCenter {
			candidates = append(candidates, n)
		}
	}
	top := membership.TopByHash(committerHashPrefix+c.self.DataCenter, candidates, 1)
	if len(top) == 0 || top[0].ID == c.self.ID {
		return membership.Node{}, false
	}
	return top[0], true
}

// Commit inserts the rows of one job.
func (c *Committer) Commit(ctx context.Context, rows []table.Write) table.Outcome {
	committer, remote := c.remoteCommitter()
	if !remote {
		c.updateCounts(func(counts *Counts) { counts.Local++ })
		return c.local.Commit(ctx, rows)
	}
	if answer, ok := c.commitRemotely(ctx, committer, rows); ok {
		switch answer.Outcome {
		case peer.AcceptCommitted:
			c.updateCounts(func(counts *Counts) { counts.Forwarded++ })
			return table.Committed{Version: answer.Version}
		case peer.AcceptConflict:
			return c.commitLocally(ctx, rows)
		}
	}
	// There was no answer, or the other entry refused the rows or does not know the outcome. Both
	// entries may insert the rows; the row in the store decides.
	c.updateCounts(func(counts *Counts) { counts.Fallback++ })
	return c.commitLocally(ctx, rows)
}

// commitLocally commits the rows here. If the job's row exists already with the same value, the
// other entry inserted it for this job, as the value contains the job's owner and time.
func (c *Committer) commitLocally(ctx context.Context, rows []table.Write) table.Outcome {
	outcome := c.local.Commit(ctx, rows)
	refused, ok := outcome.(table.Refused)
	if !ok {
		return outcome
	}
	if len(refused.Conflicts) == 0 {
		// This attempt was refused, but the attempt of the other entry may still have taken effect.
		return table.Unknown{Err: refused.Err}
	}
	for _, row := range refused.Conflicts {
		if row.Key == rows[0].Key && bytes.Equal(row.Value, rows[0].Value) {
			return table.Committed{Version: row.Version}
		}
	}
	return outcome
}

// commitRemotely sends the rows to another entry and waits for its answer.
func (c *Committer) commitRemotely(ctx context.Context, node membership.Node, rows []table.Write) (peer.Accepted, bool) {
	request := c.lastRequest.Add(1)
	answer := make(chan peer.Accepted, 1)
	c.mu.Lock()
	c.pending[request] = answer
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.pending, request)
		c.mu.Unlock()
	}()
	message := peer.Accept{Request: request}
	for _, row := range rows {
		message.Rows = append(message.Rows, peer.AcceptRow{Key: row.Key, Value: row.Value})
	}
	if !c.links.SendTo(node.ID, message) {
		c.links.EnsureLink(node)
		return peer.Accepted{}, false
	}
	timer := time.NewTimer(answerTimeout)
	defer timer.Stop()
	select {
	case a := <-answer:
		return a, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return peer.Accepted{}, false
}

// serveTimeout bounds a commit for another entry.
const serveTimeout = 5 * time.Second

// Handle processes a message from another entry. It is a peer.Handler.
func (c *Committer) Handle(reply peer.Sender, message peer.Message) {
	switch m := message.(type) {
	case peer.Accept:
		go c.serve(reply, m)
	case peer.Accepted:
		c.mu.Lock()
		answer, ok := c.pending[m.Request]
		c.mu.Unlock()
		if !ok {
			return
		}
		// Only the first answer counts. Waiting for the receiver would block the messages of all
		// links, as it takes one answer at most.
		select {
		case answer <- m:
		default:
		}
	}
}

// errNoRows is the error for a message without rows.
var errNoRows = errors.New("accept: no rows")

func (c *Committer) serve(reply peer.Sender, m peer.Accept) {
	ctx, cancel := context.WithTimeout(context.Background(), serveTimeout)
	defer cancel()
	rows, err := decodeWrites(m)
	if err != nil {
		reply(peer.Accepted{Request: m.Request, Outcome: peer.AcceptRefused})
		return
	}
	c.updateCounts(func(counts *Counts) { counts.Served++ })
	answer := peer.Accepted{Request: m.Request, Outcome: peer.AcceptUnknown}
	switch outcome := c.local.Commit(ctx, rows).(type) {
	case table.Committed:
		answer.Outcome, answer.Version = peer.AcceptCommitted, outcome.Version
	case table.Refused:
		answer.Outcome = peer.AcceptRefused
		if len(outcome.Conflicts) > 0 {
			answer.Outcome = peer.AcceptConflict
		}
	}
	reply(answer)
}

// decodeWrites returns the rows of a message as writes with their conditions, which the message
// does not contain: the first row, that of the job, must be absent; the owner's index entry has no
// condition of its own.
func decodeWrites(m peer.Accept) ([]table.Write, error) {
	if len(m.Rows) == 0 {
		return nil, errNoRows
	}
	rows := make([]table.Write, len(m.Rows))
	for i, r := range m.Rows {
		rows[i] = table.Write{Key: r.Key, Value: r.Value, If: table.Always{}}
	}
	rows[0].If = table.Absent{}
	return rows, nil
}
