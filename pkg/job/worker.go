package job

import (
	"container/heap"
	"context"
	"errors"
	"sync"
	"time"

	"ironhollow/pkg/code"
	"ironhollow/pkg/entropy"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/retry"
)

// Progress is the tokens of a job so far, for checkpoints.
type Progress interface {
	// Tokens returns the tokens so far and the version that gave them.
	Tokens() (version string, tokens []string)
}

// Generator gives a job's answer. It calls started with the progress once it
// has begun; received are tokens of a checkpoint, of the version given.
type Generator interface {
	Generate(ctx context.Context, j Job, version string, received []string, started func(Progress)) (Result, error)
}

// Worker runs the jobs this entry owns, earliest deadline first.
type Worker struct {
	store     *Store
	generator Generator
	owner     string
	most      int
	// interval is the time between checkpoints of one job.
	interval func() time.Duration
	counters *Counters

	mu    sync.Mutex
	queue jobQueue
	known map[string]bool
	// missed are own jobs that the last rescue found in the store but not here.
	missed map[string]bool
	// unsure is how many more rescues are due.
	unsure  int
	running int
	stopped bool
	idle    chan struct{}
	ctx     context.Context
}

// NewWorker returns a worker that runs at most so many jobs at once, until ctx
// ends. owner is this entry's incarnation.
func NewWorker(ctx context.Context, store *Store, generator Generator, owner string, most int, interval func() time.Duration, counters *Counters) *Worker {
	return &Worker{
		store: store, generator: generator, owner: owner, most: most, interval: interval, counters: counters,
		known: map[string]bool{}, idle: make(chan struct{}), ctx: ctx,
	}
}

// Add takes in a job this entry owns; one that it has already is ignored.
func (w *Worker) Add(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.known[j.ID] || w.stopped {
		return
	}
	w.known[j.ID] = true
	heap.Push(&w.queue, j)
	w.dispatch()
}

// Has reports whether a job waits or runs here.
func (w *Worker) Has(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.known[id]
}

// Depth returns how many jobs wait and run.
func (w *Worker) Depth() (waiting, running int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.queue.Len(), w.running
}

// dispatch starts jobs while there is room. The lock is held.
func (w *Worker) dispatch() {
	for w.running < w.most && w.queue.Len() > 0 && !w.stopped {
		j := heap.Pop(&w.queue).(Job)
		w.running++
		go func() {
			w.run(j)
			w.ended(j)
		}()
	}
}

func (w *Worker) ended(j Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.known, j.ID)
	w.running--
	if w.stopped && w.running == 0 {
		close(w.idle)
		return
	}
	w.dispatch()
}

// Drain starts no more jobs and returns once those running have ended, or with
// ctx. Jobs that wait stay owned by this entry's incarnation, and the others
// take them over once it has left.
func (w *Worker) Drain(ctx context.Context) {
	w.mu.Lock()
	if !w.stopped {
		w.stopped = true
		if w.running == 0 {
			close(w.idle)
		}
	}
	idle := w.idle
	w.mu.Unlock()
	select {
	case <-idle:
	case <-ctx.Done():
	}
}

// run runs one job until its result is written or it belongs to another.
func (w *Worker) run(j Job) {
	version, received := "", []string(nil)
	if j.Takeovers > 0 {
		version, received = w.store.Checkpoint(w.ctx, j.ID)
		w.counters.TakenOver.Inc()
	}
	ctx, cancel := context.WithCancel(w.ctx)
	defer cancel()
	result, err := w.generator.Generate(ctx, j, version, received, func(p Progress) { go w.checkpoint(ctx, j, p) })
	if w.ctx.Err() != nil {
		return
	}
	state := Done
	if err != nil {
		if !isFinal(err) && time.Now().Before(j.Deadline) {
			w.again(j, pauseAfter(err))
			return
		}
		state = Failed
		result = Result{Code: code.Of(err).Number(), Message: err.Error()}
	}
	w.finish(j, state, result)
}

// isFinal reports whether running a job again would change nothing.
func isFinal(err error) bool {
	number := code.Of(err).Number()
	return number == code.BadBody.Number() || number == code.UnknownService.Number()
}

const (
	// pauseBeforeRerun keeps a job that failed from taking its place at once.
	pauseBeforeRerun = 2 * time.Second
	// pauseHeldBack is between two looks whether a job is still held back, under which
	// endpoints ended: it is for an hour, and each look may read a checkpoint.
	pauseHeldBack = time.Minute
)

func pauseAfter(err error) time.Duration {
	if code.Of(err).Number() == code.Quarantined.Number() {
		return pauseHeldBack
	}
	return pauseBeforeRerun
}

// again puts a job back that has time left: accepted work is not given up.
func (w *Worker) again(j Job, pause time.Duration) {
	w.counters.Rerun.Inc()
	time.AfterFunc(pause, func() { w.Add(j) })
}

// finish writes the result, through outages of the store, until it stands or
// the job turns out to be another's.
func (w *Worker) finish(j Job, state State, result Result) {
	for try := 1; ; try++ {
		ctx, cancel := context.WithTimeout(w.ctx, commitTime)
		err := w.store.Finish(ctx, &j, state, result)
		cancel()
		switch {
		case err == nil:
			w.counters.Finished.Inc()
			return
		case errors.Is(err, ErrTakenOver):
			w.counters.Lost.Inc()
			return
		case w.ctx.Err() != nil:
			return
		}
		if w.superseded(j) {
			return
		}
		pause.For(w.ctx, retry.Delay(try, entropy.Rand))
	}
}

// superseded reports whether the row shows that there is nothing left to write:
// after an unknown outcome, our own result or another owner's may stand.
func (w *Worker) superseded(j Job) bool {
	row, ok, err := w.store.get(w.ctx, j.ID)
	if err != nil || !ok {
		return false
	}
	_, held, err := decodeRow(row)
	return err == nil && (held.State != Accepted || held.Owner != w.owner)
}

// checkpoint writes a long job's tokens now and then.
func (w *Worker) checkpoint(ctx context.Context, j Job, p Progress) {
	written := 0
	for {
		if !pause.For(ctx, w.interval()) {
			return
		}
		version, tokens := p.Tokens()
		if len(tokens) == written {
			continue
		}
		if w.store.SaveCheckpoint(ctx, j.ID, version, tokens) == nil {
			written = len(tokens)
			w.counters.Checkpoints.Inc()
		}
	}
}

// jobQueue is a heap by deadline.
type jobQueue []Job

func (q jobQueue) Len() int           { return len(q) }
func (q jobQueue) Less(i, j int) bool { return q[i].Deadline.Before(q[j].Deadline) }
func (q jobQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push is called by the heap only.
func (q *jobQueue) Push(x any) { *q = append(*q, x.(Job)) }

// Pop is called by the heap only.
func (q *jobQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
