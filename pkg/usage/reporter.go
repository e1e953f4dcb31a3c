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

// Sink sends reports, each once per call of Report.
type Sink interface {
	Report(ctx context.Context, grant lease.Grant, report Report) error
}

// settleDelay is the time from a window's end until its counts are complete: a heartbeat
// interval, the delay through the store, and a margin for late heartbeats.
const settleDelay = 3300 * time.Millisecond

// retainedReports is the number of windows for which a report's row is kept in the store.
const retainedReports = 24

// Reporter reports the windows while this process holds the lease.
type Reporter struct {
	counter  *Counter
	roster   *roster.Roster
	writer   *table.Writer
	sink     Sink
	log      *log.Logger
	storeEra func() int64
	// done holds the windows whose report the sink has acknowledged to this process or that were skipped.
	done map[int64]bool
	// committed has the counts of recent windows that this process read from or wrote to the store.
	// They stay valid if a restore loses the row.
	committed map[int64]map[string]int
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
		done: map[int64]bool{}, committed: map[int64]map[string]int{},
	}
}

// Step reports the windows that are due. It calls held right before each report is sent.
func (r *Reporter) Step(ctx context.Context, held func() (lease.Grant, bool)) {
	grant, ok := held()
	if !ok {
		return
	}
	if err := r.updateEpochAndEra(ctx, grant); err != nil {
		r.log.Warn().Err(err).Msg("failed to prepare usage reports, will retry")
		return
	}
	last := r.lastDue()
	for window := last - retainedWindows + 2; window <= last; window++ {
		if r.done[window] {
			continue
		}
		err := r.report(ctx, window, held)
		if errors.Is(err, errMayBeReported) || errors.Is(err, errMalformedRow) {
			r.log.Warn().Int64("window", window).Err(err).Msg("usage report skipped")
		} else if err != nil {
			r.log.Warn().Int64("window", window).Err(err).Msg("failed to report usage, will retry")
			return
		}
		r.done[window] = true
		delete(r.done, window-retainedReports)
		delete(r.committed, window-retainedReports)
	}
	r.caughtUp = true
}

// lastDue returns the last window whose counts are complete.
func (r *Reporter) lastDue() int64 { return r.counter.Window(r.counter.now().Add(-settleDelay)) - 1 }

var errNotHeld = errors.New("lease is no longer held")

// report writes the counts of a window to the store before it sends them, so that another
// holder repeats the report unchanged.
func (r *Reporter) report(ctx context.Context, window int64, held func() (lease.Grant, bool)) error {
	counts, err := r.committedCounts(ctx, window)
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

// committedCounts returns the counts to report for a window: those already read or written, those in
// the store, or else those known to this process, which it writes to the store.
func (r *Reporter) committedCounts(ctx context.Context, window int64) (map[string]int, error) {
	if counts, ok := r.committed[window]; ok {
		return counts, nil
	}
	counts, err := r.earlierCounts(ctx, window)
	if err == nil && counts == nil {
		counts, err = r.writeCounts(ctx, window)
	}
	if err == nil {
		r.committed[window] = counts
	}
	return counts, err
}

// earlierCounts returns the stored counts of a window that an earlier holder may have reported before
// a restore, or errMayBeReported if the row is missing. It returns nil for windows from rowsIntactFrom.
func (r *Reporter) earlierCounts(ctx context.Context, window int64) (map[string]int, error) {
	if window >= r.rowsIntactFrom {
		return nil, nil
	}
	counts, version, err := r.readCounts(ctx, window)
	if err == nil && version == 0 {
		err = errMayBeReported
	}
	return counts, err
}

// readCounts returns the stored counts of a window and the version of their row, 0 if there is none. The
// version is also set if the row cannot be used; the error is then errMalformedRow.
func (r *Reporter) readCounts(ctx context.Context, window int64) (counts map[string]int, version int64, err error) {
	row, ok, err := r.writer.Store().Get(ctx, rowKey(window))
	if err != nil || !ok {
		return nil, 0, err
	}
	counts, err = decodeCounts(row.Value)
	return counts, row.Version, err
}

// maxCount bounds the requests of a team in a window.
const maxCount = 1_000_000_000_000

// errMalformedRow means that the row of a window is not one that a holder writes.
var errMalformedRow = errors.New("the row is not one of usage")

func decodeCounts(value []byte) (map[string]int, error) {
	var counts map[string]int
	if err := json.Unmarshal(value, &counts); err != nil {
		return nil, errors.Join(errMalformedRow, err)
	}
	if counts == nil {
		return nil, errMalformedRow
	}
	for team, count := range counts {
		if count < 0 || count > maxCount {
			return nil, fmt.Errorf("%w: %d requests of team %q", errMalformedRow, count, team)
		}
	}
	return counts, nil
}

// writeCounts writes the counts of a window that are known to this process and returns them. If the
// row already exists, it returns the counts in the row.
func (r *Reporter) writeCounts(ctx context.Context, window int64) (map[string]int, error) {
	counts, version, err := r.writeCountsIf(ctx, window, table.Absent{})
	if !errors.Is(err, errMalformedRow) || !r.caughtUp {
		return counts, err
	}
	// No earlier holder has reported the window, so the row may be replaced.
	r.log.Error().Int64("window", window).Err(err).Msg("replacing a usage row")
	counts, _, err = r.writeCountsIf(ctx, window, table.AtVersion{Version: version})
	return counts, err
}

// writeCountsIf writes the row of a window on a condition. If that does not hold, it returns what the row has,
// like readCounts.
func (r *Reporter) writeCountsIf(ctx context.Context, window int64, condition table.Condition) (map[string]int, int64, error) {
	counts := r.roster.StartedRequests(window)
	switch o := r.commitCounts(ctx, window, counts, condition).(type) {
	case table.Committed:
		if storeversion.Era(o.Version) != r.era {
			return nil, 0, r.deleteRow(ctx, window, o.Version)
		}
		r.deleteOldRow(ctx, window-retainedReports)
		return counts, o.Version, nil
	case table.Refused:
		stored, version, err := r.readCounts(ctx, window)
		if err == nil && version == 0 {
			err = fmt.Errorf("usage of window %d was not written: %w", window, errors.Join(o.Err, errNotWritten))
		}
		return stored, version, err
	default:
		return nil, 0, errNotWritten
	}
}

// commitCounts writes the row of a window on a condition.
func (r *Reporter) commitCounts(ctx context.Context, window int64, counts map[string]int, condition table.Condition) table.Outcome {
	value, err := json.Marshal(counts)
	if err != nil {
		return table.Refused{Err: err}
	}
	return r.writer.Commit(ctx, table.Write{Key: rowKey(window), Value: value, If: condition})
}

var errNotWritten = errors.New("the store did not confirm the write")

// deleteOldRow deletes the row of an old report. A row that remains is harmless.
func (r *Reporter) deleteOldRow(ctx context.Context, window int64) {
	outcome := r.writer.Store().Commit(ctx, table.Commit{Writes: []table.Write{{Key: rowKey(window), Delete: true, If: table.Always{}}}})
	if _, ok := outcome.(table.Committed); !ok {
		r.log.Debug().Int64("window", window).Msg("failed to delete old usage row")
	}
}
