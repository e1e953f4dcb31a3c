package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// Sink takes reports; it sends each once.
type Sink interface {
	Report(ctx context.Context, grant lease.Grant, report Report) error
}

// settle is how long after a window's end its counts are complete: a heartbeat,
// its way through the store, and a margin for late ones.
const settle = 3300 * time.Millisecond

// reportedKept is how many windows a report stays in the store.
const reportedKept = 24

// Reporter reports windows while this process holds the lease.
type Reporter struct {
	counter  *Counter
	roster   *roster.Roster
	writer   *table.Writer
	sink     Sink
	log      *log.Logger
	storeEra func() int64
	// done holds the windows whose report the sink has acknowledged to this process or that were skipped.
	done map[int64]bool
	// agreed holds the counts of recent windows that this process read from or wrote to the store.
	// They stay valid when a restore loses the row.
	agreed map[int64]map[string]int
	// epoch and era are the lease's epoch and the store's era that updateEpochAndEra last handled.
	epoch, era int64
	// rowsIntactFrom is the first window for which a missing row means that no earlier holder has
	// reported it. Rows of windows before it may have been lost in a restore.
	rowsIntactFrom int64
	// caughtUp is set once all due windows have been reported or skipped in the current epoch. Until
	// then, an earlier holder may have reported a window that is in neither done nor agreed.
	caughtUp bool
}

// NewReporter returns a reporter; storeEra returns the highest store era that this host has received.
func NewReporter(counter *Counter, members *roster.Roster, writer *table.Writer, sink Sink, storeEra func() int64, logger *log.Logger) *Reporter {
	return &Reporter{
		counter: counter, roster: members, writer: writer, sink: sink, storeEra: storeEra, log: logger,
		done: map[int64]bool{}, agreed: map[int64]map[string]int{},
	}
}

// Step reports the windows that are due. held is asked right before each call.
func (r *Reporter) Step(ctx context.Context, held func() (lease.Grant, bool)) {
	grant, ok := held()
	if !ok {
		return
	}
	if err := r.updateEpochAndEra(ctx, grant); err != nil {
		r.log.Warn().Err(err).Msg("usage not reported yet")
		return
	}
	last := r.lastDue()
	for window := last - keptWindows + 2; window <= last; window++ {
		if r.done[window] {
			continue
		}
		err := r.report(ctx, window, held)
		if errors.Is(err, errMayBeReported) {
			r.log.Warn().Int64("window", window).Err(err).Msg("usage report skipped")
		} else if err != nil {
			r.log.Warn().Int64("window", window).Err(err).Msg("usage not reported yet")
			return
		}
		r.done[window] = true
		delete(r.done, window-reportedKept)
		delete(r.agreed, window-reportedKept)
	}
	r.caughtUp = true
}

// lastDue returns the last window whose counts are complete.
func (r *Reporter) lastDue() int64 { return r.counter.Window(r.counter.now().Add(-settle)) - 1 }

var errNotHeld = errors.New("the lease is not held any more")

// report writes the counts to the store first and sends what stands there, so
// that another holder repeats it to the letter.
func (r *Reporter) report(ctx context.Context, window int64, held func() (lease.Grant, bool)) error {
	counts, err := r.agreedCounts(ctx, window)
	if err != nil {
		return err
	}
	grant, ok := held()
	if !ok {
		return errNotHeld
	}
	if err := r.sink.Report(ctx, grant, Report{window, counts}); err != nil {
		return err
	}
	r.log.Info().Int64("window", window).Int64("epoch", grant.Epoch).Int("teams", len(counts)).Int("requests", sum(counts)).Msg("usage reported")
	return nil
}

func sum(counts map[string]int) int {
	total := 0
	for _, n := range counts {
		total += n
	}
	return total
}

func rowKey(window int64) string { return "usage/" + strconv.FormatInt(window, 10) }

// agreedCounts returns the counts to report for a window: those already read or written, those in the
// store, or else this process's own, which it writes to the store.
func (r *Reporter) agreedCounts(ctx context.Context, window int64) (map[string]int, error) {
	if counts, ok := r.agreed[window]; ok {
		return counts, nil
	}
	counts, err := r.earlierCounts(ctx, window)
	if err == nil && counts == nil {
		counts, err = r.writeCounts(ctx, window)
	}
	if err == nil {
		r.agreed[window] = counts
	}
	return counts, err
}

// earlierCounts returns the stored counts of a window that an earlier holder may have reported before
// a restore, or errMayBeReported if the row is missing. It returns nil for windows from rowsIntactFrom.
func (r *Reporter) earlierCounts(ctx context.Context, window int64) (map[string]int, error) {
	if window >= r.rowsIntactFrom {
		return nil, nil
	}
	counts, ok, err := r.readCounts(ctx, window)
	if err == nil && !ok {
		err = errMayBeReported
	}
	return counts, err
}

func (r *Reporter) readCounts(ctx context.Context, window int64) (counts map[string]int, ok bool, err error) {
	row, ok, err := r.writer.Store().Get(ctx, rowKey(window))
	if err != nil || !ok {
		return nil, false, err
	}
	counts = map[string]int{}
	return counts, true, json.Unmarshal(row.Value, &counts)
}

// writeCounts writes this process's counts of a window and returns them. If the row already exists, it
// returns the counts in the row.
func (r *Reporter) writeCounts(ctx context.Context, window int64) (map[string]int, error) {
	counts := r.roster.StartedRequests(window)
	switch o := r.commitCounts(ctx, window, counts).(type) {
	case table.Done:
		if storeversion.Era(o.Version) != r.era {
			return nil, r.deleteRow(ctx, window, o.Version)
		}
		r.forget(ctx, window-reportedKept)
		return counts, nil
	case table.Refused:
		found, ok, err := r.readCounts(ctx, window)
		if err == nil && !ok {
			err = fmt.Errorf("usage of window %d was not written: %w", window, errors.Join(o.Err, errNotWritten))
		}
		return found, err
	default:
		return nil, errNotWritten
	}
}

// commitCounts writes the row of a window unless it exists.
func (r *Reporter) commitCounts(ctx context.Context, window int64, counts map[string]int) table.Outcome {
	value, err := json.Marshal(counts)
	if err != nil {
		return table.Refused{Err: err}
	}
	return r.writer.Commit(ctx, table.Write{Key: rowKey(window), Value: value, If: table.Absent{}})
}

var errNotWritten = errors.New("the store did not take it")

// forget removes an old report's row; one that stays is harmless.
func (r *Reporter) forget(ctx context.Context, window int64) {
	outcome := r.writer.Store().Commit(ctx, table.Commit{Writes: []table.Write{{Key: rowKey(window), Delete: true, If: table.Always{}}}})
	if _, ok := outcome.(table.Done); !ok {
		r.log.Debug().Int64("window", window).Msg("old usage row not removed")
	}
}
