package job

import (
	"context"
	"sync"
	"time"

	"ironhollow/pkg/table"
)

// mostInBatch bounds the jobs of one commit.
const mostInBatch = 100

// Batcher gathers accepted jobs over a short window and commits them together:
// the store takes several hundred commits a second, callers ask for more.
type Batcher struct {
	writer *table.Writer
	window time.Duration

	mu      sync.Mutex
	waiting []pending
	timer   *time.Timer
	// commits and jobs count what was committed, for reports.
	commits, jobs int
}

// pending is one job that waits for its commit.
type pending struct {
	rows []table.Write
	done chan table.Outcome
}

// NewBatcher returns a batcher; a window of 0 commits each job on its own.
func NewBatcher(writer *table.Writer, window time.Duration) *Batcher {
	return &Batcher{writer: writer, window: window}
}

// commitTime bounds one commit, its unknown outcomes included.
const commitTime = 5 * time.Second

// Commit inserts the rows of one job, all Absent. The outcome is the job's
// own: another job's conflict in the same batch does not touch it.
func (b *Batcher) Commit(ctx context.Context, rows []table.Write) table.Outcome {
	p := pending{rows, make(chan table.Outcome, 1)}
	b.add(p)
	select {
	case outcome := <-p.done:
		return outcome
	case <-ctx.Done():
		return table.Unknown{Err: ctx.Err()}
	}
}

func (b *Batcher) add(p pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, p)
	switch {
	case b.window == 0 || len(b.waiting) >= mostInBatch:
		b.send()
	case len(b.waiting) == 1:
		b.timer = time.AfterFunc(b.window, b.flush)
	}
}

func (b *Batcher) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.send()
}

// send commits what waits, on a goroutine of its own. The lock is held.
func (b *Batcher) send() {
	if b.timer != nil {
		b.timer.Stop()
	}
	batch := b.waiting
	b.waiting = nil
	if len(batch) == 0 {
		return
	}
	b.commits++
	b.jobs += len(batch)
	go b.commit(batch)
}

// commit commits a batch. Jobs that conflict are told so and the rest is tried
// again: each round settles one job at least, so it ends.
func (b *Batcher) commit(batch []pending) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTime)
	defer cancel()
	batch, repeats := splitRepeats(batch)
	for len(batch) > 0 {
		outcome := b.writer.Commit(ctx, rowsOf(batch)...)
		refused, ok := outcome.(table.Refused)
		if !ok || len(refused.Conflicts) == 0 {
			tell(batch, outcome)
			break
		}
		batch = settleConflicts(batch, refused)
	}
	if len(repeats) > 0 {
		b.commit(repeats)
	}
}

// splitRepeats sets aside jobs whose key is in the batch already: one commit
// must not write a row twice, and the later job has to find the earlier one's.
func splitRepeats(batch []pending) (first, repeats []pending) {
	seen := map[string]bool{}
	for _, p := range batch {
		if key := p.rows[0].Key; !seen[key] {
			seen[key] = true
			first = append(first, p)
			continue
		}
		repeats = append(repeats, p)
	}
	return first, repeats
}

func rowsOf(batch []pending) []table.Write {
	var rows []table.Write
	for _, p := range batch {
		rows = append(rows, p.rows...)
	}
	return rows
}

func tell(batch []pending, outcome table.Outcome) {
	for _, p := range batch {
		p.done <- outcome
	}
}

// settleConflicts tells the jobs whose rows stood in conflict and returns the
// others.
func settleConflicts(batch []pending, refused table.Refused) []pending {
	conflicts := map[string]table.Row{}
	for _, row := range refused.Conflicts {
		conflicts[row.Key] = row
	}
	var rest []pending
	for _, p := range batch {
		row, ok := conflicts[p.rows[0].Key]
		if !ok {
			rest = append(rest, p)
			continue
		}
		p.done <- table.Refused{Conflicts: []table.Row{row}}
	}
	if len(rest) == len(batch) {
		// A conflict that belongs to none of them can't be settled by trying.
		tell(batch, refused)
		return nil
	}
	return rest
}

// Counts returns commits and jobs so far.
func (b *Batcher) Counts() (commits, jobs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.commits, b.jobs
}
