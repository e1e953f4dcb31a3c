package job

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// recoverPage is how many jobs of a lost owner are looked at in one go.
const recoverPage = 200

// Shard is one survivor's part of a lost owner's jobs: those whose id falls on
// Rank among Of. Survivors that differ on their ranks do no harm: the row
// decides who has a job.
type Shard struct {
	Index, Count int
}

// takes reports whether a job falls on this part.
func (p Shard) takes(id string) bool {
	return p.Count <= 1 || int(xxhash.Sum64String(id)%uint64(p.Count)) == p.Index
}

// Recover takes over a page of a lost owner's jobs, earliest deadline first,
// and adds them to the worker. It returns how many it took and how many are
// left for others or for another call.
func (w *Worker) Recover(ctx context.Context, lost string, part Shard) (taken, left int, err error) {
	ids, err := w.store.OwnedBy(ctx, lost, recoverPage)
	if err != nil {
		return 0, 0, err
	}
	for _, id := range ids {
		if !part.takes(id) {
			left++
			continue
		}
		j, err := w.store.TakeOver(ctx, id, lost, w.owner)
		switch {
		case err == nil:
			w.Add(j)
			taken++
		case errors.Is(err, ErrTakenOver):
		default:
			return taken, left + len(ids) - taken, err
		}
	}
	return taken, left, nil
}

// Reconcile adds jobs that the store says are this entry's own but that it does
// not have: their acceptance was not known to have taken effect.
func (w *Worker) Reconcile(ctx context.Context) (int, error) {
	ids, err := w.store.OwnedBy(ctx, w.owner, recoverPage)
	if err != nil {
		return 0, err
	}
	rescued := 0
	missed := map[string]bool{}
	for _, id := range ids {
		if w.Has(id) {
			continue
		}
		missed[id] = true
		// A job seen for the first time may be on its way from the store's
		// answer to the worker: it is taken up if it is missing again.
		if !w.wasMissed(id) {
			continue
		}
		j, err := w.store.TakeOver(ctx, id, w.owner, w.owner)
		if errors.Is(err, ErrTakenOver) {
			continue
		}
		if err != nil {
			return rescued, err
		}
		w.Add(j)
		rescued++
	}
	w.setMissed(missed)
	return rescued, nil
}

// RequestReconcile notes that a job may have been accepted without this entry knowing.
func (w *Worker) RequestReconcile() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unsure = unsureRounds
}

// unsureRounds is how many clean looks end the doubt: an accept may take effect
// some time after its answer was given up.
const unsureRounds = 20

// ReconcileIfRequested rescues while there is doubt, and costs the store nothing
// otherwise.
func (w *Worker) ReconcileIfRequested(ctx context.Context) (int, error) {
	w.mu.Lock()
	doubt := w.unsure > 0
	w.mu.Unlock()
	if !doubt {
		return 0, nil
	}
	rescued, err := w.Reconcile(ctx)
	if err == nil {
		w.mu.Lock()
		w.unsure--
		w.mu.Unlock()
	}
	return rescued, err
}

func (w *Worker) wasMissed(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.missed[id]
}

func (w *Worker) setMissed(missed map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missed = missed
}
