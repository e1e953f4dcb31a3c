package usage

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/table"
)

// A restored store lacks the rows of windows reported after the backup. The holder rewrites the rows
// that it knows, and the first holder in an era records which windows may have been reported.

var (
	errMayBeReported = errors.New("an earlier holder may have reported the window before the store was restored")
	errRestored      = errors.New("the store was restored before the row was written")
)

// restoredKey is the key of the row that describes the latest restore seen by a holder.
const restoredKey = "usage/restored"

// restoreRecord is the value of the row at restoredKey.
type restoreRecord struct {
	Era int64 `json:"era"`
	// First is the first window that was not due when the row was written.
	First int64 `json:"first"`
}

// isPlausible reports whether the row may have been written when a window up to lastDue was the last due one.
// The clocks of hosts may differ by some windows. A later window would have no window reported until then.
func (r restoreRecord) isPlausible(lastDue int64) bool {
	return r.First >= 0 && r.First <= lastDue+1+retainedWindows
}

// updateEpochAndEra rewrites lost rows and updates rowsIntactFrom when the lease's epoch or the store's
// era has changed. It does nothing but store both if the store was never restored.
func (r *Reporter) updateEpochAndEra(ctx context.Context, grant lease.Grant) error {
	era := max(r.storeEra(), storeversion.Era(grant.Epoch))
	if grant.Epoch == r.epoch && era == r.era {
		return nil
	}
	if !storeversion.IsRestored(era) {
		r.setEpochAndEra(grant.Epoch, era)
		return nil
	}
	if err := r.rewriteRows(ctx); err != nil {
		return err
	}
	first, err := r.recordRestore(ctx, era)
	if err != nil {
		return err
	}
	if grant.Epoch != r.epoch || !r.caughtUp {
		r.rowsIntactFrom = first
	}
	r.setEpochAndEra(grant.Epoch, era)
	return nil
}

// setEpochAndEra stores both values and clears caughtUp if the epoch has changed.
func (r *Reporter) setEpochAndEra(epoch, era int64) {
	r.caughtUp = r.caughtUp && epoch == r.epoch
	r.epoch, r.era = epoch, era
}

// rewriteRows writes the rows of recent windows that may have been lost in a restore.
func (r *Reporter) rewriteRows(ctx context.Context) error {
	for window, counts := range r.committed {
		if window <= r.lastDue()-retainedWindows {
			continue
		}
		switch o := r.commitCounts(ctx, window, counts, table.Absent{}).(type) {
		case table.Committed:
		case table.Refused:
			if len(o.Conflicts) == 0 {
				return fmt.Errorf("usage of window %d: %w", window, errors.Join(o.Err, errNotWritten))
			}
		default:
			return errNotWritten
		}
	}
	return nil
}

// recordRestore returns the first window that was not due when the restore that began an era was
// recorded. It records the restore if no holder has done so or the row is malformed.
func (r *Reporter) recordRestore(ctx context.Context, era int64) (first int64, err error) {
	row, ok, err := r.writer.Store().Get(ctx, restoredKey)
	if err != nil {
		return 0, err
	}
	condition := table.Condition(table.Absent{})
	if ok {
		var record restoreRecord
		if err := json.Unmarshal(row.Value, &record); err != nil {
			r.log.Error().Err(err).Str("row", restoredKey).Msg("replacing malformed usage row")
			record = restoreRecord{}
		}
		if record.Era == era && record.isPlausible(r.lastDue()) {
			return record.First, nil
		}
		condition = table.AtVersion{Version: row.Version}
	}
	first = r.lastDue() + 1
	value, err := json.Marshal(restoreRecord{Era: era, First: first})
	if err != nil {
		return 0, err
	}
	if _, isDone := r.writer.Commit(ctx, table.Write{Key: restoredKey, Value: value, If: condition}).(table.Committed); !isDone {
		return 0, errNotWritten
	}
	return first, nil
}

// deleteRow deletes the row of a window that was written in another era than r.era, as an earlier
// holder may have reported the window with different counts. It returns errRestored.
func (r *Reporter) deleteRow(ctx context.Context, window, version int64) error {
	outcome := r.writer.Commit(ctx, table.Write{Key: rowKey(window), Delete: true, If: table.AtVersion{Version: version}})
	if _, isDone := outcome.(table.Committed); !isDone {
		r.log.Warn().Int64("window", window).Msg("failed to delete usage row written after a store restore")
	}
	return errRestored
}
