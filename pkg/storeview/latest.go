package storeview

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/storeversion"
)

const (
	// restoreTime is how long after a restore of the store rows may be missing that their owners write again.
	restoreTime = 5 * time.Second
	// longBatchRows is the number of rows from which a response may not have all changes.
	longBatchRows = 500
)

// Errors of LatestEndpoints.
var (
	errEndpointsNotRead = errors.New("storeview: the store has not yet answered about the endpoints")
	errRestored         = errors.New("storeview: the store has just been restored")
	errEndpointMissed   = errors.New("storeview: an endpoint has come and gone since the rows were last read")
)

// appliedRows is how far the rows of a table have been applied. It is safe for concurrent use.
type appliedRows struct {
	mu      sync.Mutex
	isRead  bool
	version int64
	// restoredAt is when a restore of the store was noticed last.
	restoredAt time.Time
}

func (a *appliedRows) record(version int64, now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.isRead && storeversion.Era(version) > storeversion.Era(a.version) {
		a.restoredAt = now
	}
	a.isRead, a.version = true, version
}

// last returns the version up to which the rows have been applied.
func (a *appliedRows) last(now time.Time) (version int64, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case !a.isRead:
		return 0, errEndpointsNotRead
	case !a.restoredAt.IsZero() && now.Sub(a.restoredAt) < restoreTime:
		return 0, errRestored
	}
	return a.version, nil
}

// LatestEndpoints returns the known endpoints and, as further elements, the states that the store has and that have not
// been applied yet. It returns an error if endpoints may be missing.
func (v *View) LatestEndpoints(ctx context.Context, source feed.Source) ([]endpoint.Info, error) {
	version, err := v.endpointRows.last(v.clock.Now())
	if err != nil {
		return nil, err
	}
	latest := slices.Clone(v.directory.View().Infos())
	table := v.decoder.Tables().Endpoints
	for {
		batch, err := source.Changes(ctx, table, version, 0)
		if err != nil {
			return nil, fmt.Errorf("endpoints after version %d: %w", version, err)
		}
		for _, row := range batch.Rows {
			if row.Deleted {
				if _, known := v.directory.Get(row.Key); !known {
					return nil, errEndpointMissed
				}
				continue
			}
			// No host uses an endpoint whose row cannot be decoded; the feed logs it.
			if info, err := v.decoder.DecodeEndpoint(row.Key, row.Value); err == nil {
				latest = append(latest, info)
			}
		}
		if len(batch.Rows) < longBatchRows {
			return latest, nil
		}
		version = batch.Version
	}
}
