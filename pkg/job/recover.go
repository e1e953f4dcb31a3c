package job

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
)

// recoverPageSize is the maximum number of an owner's jobs that one call of Recover examines, and that
// one list call to the store returns.
const recoverPageSize = 200

// Shard is the part of a lost owner's jobs that one surviving entry takes over: those whose
// hash of the ID modulo Count is Index. Survivors need not agree on their indexes, as the
// job's row decides which of them owns the job.
type Shard struct {
	Index, Count int
}

// contains reports whether a job is in the shard.
func (s Shard) contains(id string) bool {
	return s.Count <= 1 || int(xxhash.Sum64String(id)%uint64(s.Count)) == s.Index
}

// Recover examines up to recoverPageSize jobs of a lost owner, earliest deadline first, takes
// over those in the shard and adds them to the worker. It returns how many it took over and
// how many of the examined ones remain for other entries or another call. Jobs that cannot be used
// remain and are named in the error.
func (w *Worker) Recover(ctx context.Context, lost string, shard Shard) (taken, remaining int, err error) {
	var unusable error
	ids, err := w.store.OwnedBy(ctx, lost, recoverPageSize)
	if err != nil {
		return 0, 0, err
	}
	for i, id := range ids {
		if !shard.contains(id) {
			remaining++
			continue
		}
		j, err := w.store.TakeOver(ctx, id, lost, w.owner)
		switch {
		case err == nil:
			w.Add(j)
			taken++
		case errors.Is(err, ErrTakenOver):
		case IsUnusable(err):
			unusable = errors.Join(unusable, err)
			remaining++
		default:
			// The take-over may have been applied, so that the job is no longer listed for the lost owner.
			w.RequestReconcile()
			return taken, remaining + len(ids) - i, errors.Join(unusable, err)
		}
	}
	return taken, remaining, unusable
}

// IsUnusable reports whether an error concerns only jobs that cannot be used, or names some of them.
func IsUnusable(err error) bool {
	var unusable *UnusableError
	return errors.As(err, &unusable)
}

// RecoverAll takes over all jobs of a lost owner and returns how many.
func (w *Worker) RecoverAll(ctx context.Context, lost string) (int, error) {
	total := 0
	for {
		taken, _, err := w.Recover(ctx, lost, Shard{Count: 1})
		total += taken
		if err != nil && !IsUnusable(err) || taken == 0 {
			return total, err
		}
	}
}

// Reconcile adds jobs that this entry owns in the store but that the worker does not have,
// as the commit that accepted them or took them over had an unknown outcome.
func (w *Worker) Reconcile(ctx context.Context) (int, error) {
	ids, err := w.store.AllOwnedBy(ctx, w.owner, recoverPageSize)
	if err != nil {
		return 0, err
	}
	var unusable error
	added := 0
	missing := map[string]bool{}
	for _, id := range ids {
		if w.Has(id) {
			continue
		}
		missing[id] = true
		// A job that has just been committed may not have been added to the worker yet. It
		// is added here only if the last call found it missing too.
		if !w.wasMissing(id) {
			continue
		}
		j, err := w.store.TakeOver(ctx, id, w.owner, w.owner)
		if IsUnusable(err) {
			unusable = errors.Join(unusable, err)
			continue
		}
		if errors.Is(err, ErrTakenOver) {
			continue
		}
		if err != nil {
			return added, errors.Join(unusable, err)
		}
		w.Add(j)
		added++
	}
	w.setMissing(missing)
	return added, unusable
}

// RequestReconcile makes ReconcileIfRequested call Reconcile for the next rounds. It is called
// when a commit with an unknown outcome may have accepted a job or taken one over.
func (w *Worker) RequestReconcile() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reconcileRounds = reconcileRoundsPerRequest
}

// reconcileRoundsPerRequest is the number of successful calls of Reconcile after which no
// further job is expected: a commit may take effect some time after its caller gave up waiting.
const reconcileRoundsPerRequest = 20

// ReconcileIfRequested calls Reconcile if rounds are left from a call of RequestReconcile, and
// does not access the store otherwise.
func (w *Worker) ReconcileIfRequested(ctx context.Context) (int, error) {
	w.mu.Lock()
	requested := w.reconcileRounds > 0
	w.mu.Unlock()
	if !requested {
		return 0, nil
	}
	added, err := w.Reconcile(ctx)
	if err == nil {
		w.mu.Lock()
		w.reconcileRounds--
		w.mu.Unlock()
	}
	return added, err
}

func (w *Worker) wasMissing(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.missing[id]
}

func (w *Worker) setMissing(missing map[string]bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.missing = missing
}
