package originlog

import (
	"context"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/table"
)

// snapshot is what the rows of all hosts say.
type snapshot struct {
	rows []row
	// isPartial is set if a row could not be decoded, isFailed if the store did not answer.
	isPartial, isFailed bool
}

// Find finds in the store where a stream of a route began. It returns false if that is not certain.
func (l *Log) Find(ctx context.Context, key origin.Key, route string) (source origin.Source, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := l.readRows(ctx)
	storeNow, known := l.clock.StoreTime()
	if read.isFailed || !known {
		return origin.Source{}, false
	}
	var named, possible []origin.Source
	for _, r := range read.rows {
		for _, s := range r.Streams {
			if origin.Key(s.Key) == key && storeNow < fromMS(s.UntilMS) {
				named = append(named, r.Places[s.Place].source())
			}
		}
		for _, p := range r.Places {
			if p.Route == route && storeNow-fromMS(p.LastMS) <= retention {
				possible = append(possible, p.source())
			}
		}
	}
	switch {
	case len(named) > 0:
		return only(named)
	case len(possible) == 0 || read.isPartial:
		return origin.Source{}, false
	default:
		// Hosts may have ended before they wrote of their latest places.
		return only(append(possible, l.places()[route]...))
	}
}

// only returns the element of a list whose elements are all equal.
func only(sources []origin.Source) (origin.Source, bool) {
	for _, s := range sources[1:] {
		if s != sources[0] {
			return origin.Source{}, false
		}
	}
	return sources[0], true
}

// readRows returns the rows of all hosts, which may have been read by another search.
func (l *Log) readRows(ctx context.Context) snapshot {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if l.readAt.IsZero() || l.clock.Now().Sub(l.readAt) >= readInterval {
		l.read = l.readAll(ctx)
		l.readAt = l.clock.Now()
	}
	return l.read
}

func (l *Log) readAll(ctx context.Context) (read snapshot) {
	storeNow, known := l.clock.StoreTime()
	deleted := 0
	for after := ""; ; {
		page, err := l.writer.Store().List(ctx, Table+"/", after, pageSize)
		if err != nil {
			l.log.Warn().Err(err).Msg("failed to read where streams began from the store")
			return snapshot{isFailed: true}
		}
		for _, stored := range page {
			r, err := decode(stored.Value)
			if err != nil {
				l.log.Error().Err(err).Str("row", stored.Key).Msg("failed to decode where streams began")
				read.isPartial = true
				continue
			}
			if known && storeNow-fromMS(r.WrittenMS) > expiredRows && deleted < maxDeleted {
				deleted++
				go l.deleteExpired(stored)
			}
			read.rows = append(read.rows, r)
		}
		if len(page) < pageSize {
			return read
		}
		after = page[len(page)-1].Key
	}
}

// deleteExpired deletes the row of a host that has not written for long. Another host may do so too.
func (l *Log) deleteExpired(stored table.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	write := table.Write{Key: stored.Key, Delete: true, If: table.AtVersion{Version: stored.Version}}
	if refused, isRefused := l.writer.Commit(ctx, write).(table.Refused); isRefused {
		l.log.Debug().Err(refused.Err).Str("row", stored.Key).Msg("failed to delete an expired row of origins")
	}
}
