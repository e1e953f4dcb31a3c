package originlog

import (
	"context"
	"slices"
	"time"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/table"
)

// snapshot is what the rows of all hosts say.
type snapshot struct {
	rows []row
	// isPartial is set if a row could not be decoded, isFailed if the store did not answer.
	isPartial, isFailed bool
}

// Find finds in the store where a stream of a route began that may be saved under any of the keys. It returns false if
// that is not certain.
func (l *Log) Find(ctx context.Context, keys []origin.Key, route string) (source origin.Source, ok bool) {
	source, r := l.find(ctx, keys, route)
	l.metrics.searches.WithLabelValues(r.String()).Inc()
	return source, r == named || r == onlySource
}

// result is the result of a search.
type result int

// The results.
const (
	// named means that a row names the stream, onlySource that its route had one source.
	named result = iota
	onlySource
	// ambiguous means that the rows give several sources, noRow that none gives any, badRow that one could not be
	// decoded, and noAnswer that the store did not answer.
	ambiguous
	noRow
	badRow
	noAnswer
)

// String returns the label of the result in counters.
func (r result) String() string {
	return [...]string{"named", "only-source", "ambiguous", "no-row", "bad-row", "no-answer"}[r]
}

func (l *Log) find(ctx context.Context, keys []origin.Key, route string) (origin.Source, result) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	read := l.readRows(ctx)
	storeNow, known := l.clock.StoreTime()
	if read.isFailed || !known {
		return origin.Source{}, noAnswer
	}
	var begun, possible []origin.Source
	for _, r := range read.rows {
		for _, s := range r.Streams {
			if slices.Contains(keys, origin.Key(s.Key)) && storeNow < fromMS(s.UntilMS) {
				begun = append(begun, r.Sources[s.Source].source())
			}
		}
		for _, p := range r.Sources {
			if p.Route == route && storeNow-fromMS(p.LastMS) <= retention {
				possible = append(possible, p.source())
			}
		}
	}
	switch {
	case len(begun) > 0:
		return only(begun, named)
	case read.isPartial:
		return origin.Source{}, badRow
	case len(possible) == 0:
		return origin.Source{}, noRow
	}
	// Hosts may have ended, or may be cut from the store, before they wrote their latest sources.
	if _, r := only(append(possible, l.sources.Known()[route]...), onlySource); r == ambiguous {
		return origin.Source{}, ambiguous
	}
	latest, err := l.latestSources(ctx)
	if err != nil {
		l.log.Warn().Err(err).Msg("failed to read where streams may begin")
		return origin.Source{}, noAnswer
	}
	return only(append(possible, latest[route]...), onlySource)
}

// latestSources returns where streams may begin by what the store lists during the call. Concurrent searches share a
// call to the store.
func (l *Log) latestSources(ctx context.Context) (map[string][]origin.Source, error) {
	calledAt := l.clock.Now()
	l.latestMu.Lock()
	defer l.latestMu.Unlock()
	if l.latest != nil && !l.latestAt.Before(calledAt) {
		return l.latest, nil
	}
	startedAt := l.clock.Now()
	latest, err := l.sources.Latest(ctx)
	if err == nil {
		l.latest, l.latestAt = latest, startedAt
	}
	return latest, err
}

// only returns the element of a list whose elements are all equal, with the given result.
func only(sources []origin.Source, r result) (origin.Source, result) {
	for _, s := range sources[1:] {
		if s != sources[0] {
			return origin.Source{}, ambiguous
		}
	}
	return sources[0], r
}

// readRows returns the rows of all hosts, which may have been read by another search.
func (l *Log) readRows(ctx context.Context) snapshot {
	l.readMu.Lock()
	defer l.readMu.Unlock()
	if l.readAt.IsZero() || l.clock.Now().Sub(l.readAt) >= readInterval {
		l.readAt = l.clock.Now()
		if l.read = l.readAll(ctx); l.read.isFailed {
			l.readAt = l.clock.Now()
		}
	}
	return l.read
}

func (l *Log) readAll(ctx context.Context) (read snapshot) {
	storeNow, known := l.clock.StoreTime()
	deleted, malformed := 0, map[string]malformedRow{}
	for after := ""; ; {
		page, err := l.writer.Store().List(ctx, Table+"/", after, pageSize)
		if err != nil {
			l.log.Warn().Err(err).Msg("failed to read the rows of stream origins")
			return snapshot{isFailed: true}
		}
		for _, stored := range page {
			r, err := decode(stored.Value)
			if err != nil {
				l.metrics.badRows.Inc()
				malformed[stored.Key] = l.noteMalformedRow(stored, err)
				if malformed[stored.Key].mayCount(l.clock.Now()) {
					read.isPartial = true
				} else if deleted < maxDeleted {
					deleted++
					go l.deleteExpired(stored)
				}
				continue
			}
			if known && storeNow-fromMS(r.WrittenMS) > expiredRows && deleted < maxDeleted {
				deleted++
				go l.deleteExpired(stored)
			}
			read.rows = append(read.rows, r)
		}
		if len(page) < pageSize {
			l.malformedRows = malformed
			return read
		}
		after = page[len(page)-1].Key
	}
}

// malformedRow is a row that cannot be decoded, as first read at a version.
type malformedRow struct {
	version int64
	since   time.Time
}

// noteMalformedRow returns what is known of a row that cannot be decoded. The caller must hold l.readMu.
func (l *Log) noteMalformedRow(stored table.Row, err error) malformedRow {
	known, ok := l.malformedRows[stored.Key]
	if !ok || known.version != stored.Version {
		l.log.Error().Err(err).Str("row", stored.Key).Int64("version", stored.Version).Msg("failed to decode a row of stream origins")
		known = malformedRow{stored.Version, l.clock.Now()}
	}
	return known
}

// mayCount reports whether the row may be that of a host that has written it within retention. Hosts write their
// rows more often while they relay streams.
func (o malformedRow) mayCount(now time.Time) bool { return now.Sub(o.since) <= retention }

// deleteExpired deletes the row of a host that has not written for long. Another host may do so too.
func (l *Log) deleteExpired(stored table.Row) {
	ctx, cancel := context.WithTimeout(context.Background(), writeTimeout)
	defer cancel()
	write := table.Write{Key: stored.Key, Delete: true, If: table.AtVersion{Version: stored.Version}}
	if refused, isRefused := l.writer.Commit(ctx, write).(table.Refused); isRefused {
		l.log.Debug().Err(refused.Err).Str("row", stored.Key).Msg("failed to delete an expired row of origins")
	}
}
