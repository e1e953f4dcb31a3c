package job

import (
	"context"
	"sync"
	"time"

	"ironhollow/pkg/table"
)

// maxBatchJobs is the maximum number of jobs in one commit.
const maxBatchJobs = 100

// Batcher collects jobs over a short window and commits them together, as the store handles
// several hundred commits per second and callers submit more jobs than that.
type Batcher struct {
	writer *table.Writer
	window time.Duration

	mu    sync.Mutex
	queue []pendingJob
	timer *time.Timer
	// commits and jobs count the commits started and the jobs in them, for reports.
	commits, jobs int
}

// pendingJob is a job that waits to be committed.
type pendingJob struct {
	rows []table.Write
	done chan table.Outcome
}

// NewBatcher returns a batcher. With a window of 0, each job is committed separately.
func NewBatcher(writer *table.Writer, window time.Duration) *Batcher {
	return &Batcher{writer: writer, window: window}
}

// commitTimeout limits the time for a commit, including the time to resolve an unknown outcome.
const commitTimeout = 5 * time.Second

// Commit inserts the rows of one job. The first row is the job's own, with the condition
// Absent. The outcome is that of this job: a conflict of another job in the same batch does
// not affect it.
func (b *Batcher) Commit(ctx context.Context, rows []table.Write) table.Outcome {
	p := pendingJob{rows, make(chan table.Outcome, 1)}
	b.add(p)
	select {
	case outcome := <-p.done:
		return outcome
	case <-ctx.Done():
		return table.Unknown{Err: ctx.Err()}
	}
}

func (b *Batcher) add(p pendingJob) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, p)
	switch {
	case b.window == 0 || len(b.queue) >= maxBatchJobs:
		b.startCommit()
	case len(b.queue) == 1:
		b.timer = time.AfterFunc(b.window, b.flush)
	}
}

func (b *Batcher) flush() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.startCommit()
}

// startCommit commits the queued jobs in a new goroutine. The caller holds mu.
func (b *Batcher) startCommit() {
	if b.timer != nil {
		b.timer.Stop()
	}
	batch := b.queue
	b.queue = nil
	if len(batch) == 0 {
		return
	}
	b.commits++
	b.jobs += len(batch)
	go b.commit(batch)
}

// commit commits a batch. If rows conflict, their jobs are refused and the other jobs are
// committed again. Each round refuses at least one job, so the loop terminates.
func (b *Batcher) commit(batch []pendingJob) {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	batch, duplicates := splitDuplicates(batch)
	for len(batch) > 0 {
		outcome := b.writer.Commit(ctx, rowsOf(batch)...)
		refused, ok := outcome.(table.Refused)
		if !ok || len(refused.Conflicts) == 0 {
			deliver(batch, outcome)
			break
		}
		batch = rejectConflicting(batch, refused)
	}
	if len(duplicates) > 0 {
		b.commit(duplicates)
	}
}

// splitDuplicates separates jobs whose key occurs earlier in the batch. A commit must not
// write a row twice, and the later job has to conflict with the row of the earlier one.
func splitDuplicates(batch []pendingJob) (unique, duplicates []pendingJob) {
	seen := map[string]bool{}
	for _, p := range batch {
		if key := p.rows[0].Key; !seen[key] {
			seen[key] = true
			unique = append(unique, p)
			continue
		}
		duplicates = append(duplicates, p)
	}
	return unique, duplicates
}

func rowsOf(batch []pendingJob) []table.Write {
	var rows []table.Write
	for _, p := range batch {
		rows = append(rows, p.rows...)
	}
	return rows
}

func deliver(batch []pendingJob, outcome table.Outcome) {
	for _, p := range batch {
		p.done <- outcome
	}
}

// rejectConflicting refuses the jobs whose rows conflict and returns the other jobs.
func rejectConflicting(batch []pendingJob, refused table.Refused) []pendingJob {
	conflicts := map[string]table.Row{}
	for _, row := range refused.Conflicts {
		conflicts[row.Key] = row
	}
	var remaining []pendingJob
	for _, p := range batch {
		row, ok := conflicts[p.rows[0].Key]
		if !ok {
			remaining = append(remaining, p)
			continue
		}
		p.done <- table.Refused{Conflicts: []table.Row{row}}
	}
	if len(remaining) == len(batch) {
		// The conflict is in no job's first row, so another commit would conflict again.
		deliver(batch, refused)
		return nil
	}
	return remaining
}

// Counts returns the number of commits started and the number of jobs in them.
func (b *Batcher) Counts() (commits, jobs int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.commits, b.jobs
}
