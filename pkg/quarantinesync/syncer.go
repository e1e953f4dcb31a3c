// Package quarantinesync saves quarantined requests and prompt parts to the store, one row each, so that they
// remain quarantined when all hosts restart at once.
package quarantinesync

import (
	"context"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/table"
)

// Table is the store's table of quarantined requests.
const Table = "quarantine"

// Intervals and timeouts of a syncer.
const (
	// syncInterval is the time between two checks for cases to write. Hosts that die together
	// within it lose their latest cases.
	syncInterval = 200 * time.Millisecond
	// writeTimeout bounds a write, retryInterval is the time until the next one after a failure.
	writeTimeout  = 2 * time.Second
	retryInterval = time.Second
	// readTimeout bounds one read of all rows at the start.
	readTimeout = 2 * time.Second
)

// pageSize is the number of rows that one call reads, the store's maximum.
const pageSize = 500

// Syncer writes the cases of this process to the store and reads those of all hosts at the start.
type Syncer struct {
	watch  *quarantine.Watch
	writer *table.Writer
	clock  *storeclock.Clock
	log    *log.Logger

	storeEra func() int64
	// era is the highest store era that step has seen.
	era int64
}

// NewSyncer returns a syncer. storeEra returns the store's era as last read by this host.
func NewSyncer(watch *quarantine.Watch, writer *table.Writer, clock *storeclock.Clock, storeEra func() int64, logger *log.Logger) *Syncer {
	return &Syncer{watch: watch, writer: writer, clock: clock, storeEra: storeEra, log: logger}
}

// Load reads all rows, and retries until the store has answered or ctx ends. It matters only
// after a restart of all hosts: otherwise the other hosts report the quarantined requests.
func (s *Syncer) Load(ctx context.Context) {
	for ctx.Err() == nil {
		if s.load(ctx) {
			return
		}
		pause.For(ctx, retryInterval)
	}
}

func (s *Syncer) load(ctx context.Context) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	for after := ""; ; {
		rows, err := s.writer.Store().List(ctx, Table+"/", after, pageSize)
		if err != nil {
			s.log.Warn().Err(err).Msg("failed to read quarantined requests from the store")
			return false
		}
		s.apply(ctx, rows)
		if len(rows) < pageSize {
			return true
		}
		after = rows[len(rows)-1].Key
	}
}

// apply applies rows and deletes the expired ones.
func (s *Syncer) apply(ctx context.Context, rows []table.Row) {
	now := s.clock.Now()
	storeNow, known := s.clock.StoreTime()
	for _, row := range rows {
		if !known {
			return
		}
		decoded, err := decode(row.Key, row.Value)
		if err != nil {
			s.log.Error().Err(err).Str("row", row.Key).Msg("failed to decode the row of a quarantined request")
			continue
		}
		c := decoded.toCase(now, storeNow)
		if quarantine.Expired(c, now) {
			s.deleteExpired(ctx, row)
			continue
		}
		s.watch.ApplyReports([]quarantine.Case{c}, "store", now)
		s.watch.MarkSaved(c)
	}
}

func (s *Syncer) deleteExpired(ctx context.Context, row table.Row) {
	write := table.Write{Key: row.Key, Delete: true, If: table.AtVersion{Version: row.Version}}
	// Another starting host may have deleted it first; a row that remains is deleted at the
	// next start of a host.
	if refused, isRefused := s.writer.Commit(ctx, write).(table.Refused); isRefused {
		s.log.Debug().Err(refused.Err).Str("row", row.Key).Msg("failed to delete the row of an expired request")
	}
}

// Run writes the quarantined requests with a crash that this process saw, and deletes the rows
// of requests answered completely since, until ctx ends.
func (s *Syncer) Run(ctx context.Context) {
	for pause.For(ctx, syncInterval) {
		if !s.step(ctx) {
			pause.For(ctx, retryInterval)
		}
	}
}

// step writes and deletes the outstanding rows. It returns false at the first failure.
func (s *Syncer) step(ctx context.Context) (done bool) {
	if era := s.storeEra(); era > s.era {
		s.era = era
		s.watch.StoreRestored()
	}
	for _, c := range s.watch.Unsaved(s.clock.Now()) {
		if !s.write(ctx, c) {
			return false
		}
	}
	for _, f := range s.watch.StaleRows() {
		if !s.deleteStale(ctx, f) {
			return false
		}
	}
	for _, c := range s.watch.DueTrials(s.clock.Now()) {
		if !s.claimTrial(ctx, c) {
			return false
		}
	}
	return true
}

// claimTrial lets this host admit a request for a trial of a quarantined case, if it is the first to write
// that to the case's row: all hosts together make few trials, also if they cannot reach each other.
func (s *Syncer) claimTrial(ctx context.Context, c quarantine.Case) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, condition, ok := s.readRow(ctx, c.Fingerprint)
	if !ok {
		return false
	}
	if stored.Trials > c.Trials {
		return true
	}
	c.Trials++
	c.TrialAt = s.clock.Now()
	if done, committed := s.commit(ctx, c, condition); !committed {
		return done
	}
	s.watch.GrantTrial(c.Fingerprint, c.Trials, c.TrialAt)
	s.watch.MarkSaved(c)
	s.log.Info().Stringer("fingerprint", c.Fingerprint).Int("trial", c.Trials).Str("endpoints", c.EndpointList()).Msg("one quarantined request is admitted for a trial")
	return true
}

// readRow reads the stored case and returns the condition under which its row may be written. What it has
// about trials is applied. A row that cannot be decoded is overwritten.
func (s *Syncer) readRow(ctx context.Context, f quarantine.Fingerprint) (c quarantine.Case, condition table.Condition, ok bool) {
	row, exists, err := s.writer.Store().Get(ctx, key(f))
	if err != nil {
		s.log.Warn().Err(err).Stringer("fingerprint", f).Msg("failed to read the row of a quarantined request")
		return c, nil, false
	}
	storeNow, known := s.clock.StoreTime()
	if !known {
		return c, nil, false
	}
	if !exists {
		return c, table.Absent{}, true
	}
	decoded, err := decode(row.Key, row.Value)
	if err != nil {
		s.log.Error().Err(err).Str("row", row.Key).Msg("failed to decode the row of a quarantined request")
		return c, table.AtVersion{Version: row.Version}, true
	}
	c = decoded.toCase(s.clock.Now(), storeNow)
	s.watch.ApplyReports([]quarantine.Case{{Fingerprint: f, Trials: c.Trials, TrialAt: c.TrialAt}}, "store", s.clock.Now())
	return c, table.AtVersion{Version: row.Version}, true
}

// commit writes a case. done is set if the step may continue: a row that another host has written in the
// meantime is read again in the next step.
func (s *Syncer) commit(ctx context.Context, c quarantine.Case, condition table.Condition) (done, committed bool) {
	storeNow, known := s.clock.StoreTime()
	if !known {
		return false, false
	}
	value, err := encode(c, s.clock.Now(), storeNow)
	if err != nil {
		s.log.Error().Err(err).Msg("failed to encode a quarantined request")
		return false, false
	}
	switch outcome := s.writer.Commit(ctx, table.Write{Key: key(c.Fingerprint), Value: value, If: condition}).(type) {
	case table.Committed:
		return true, true
	case table.Refused:
		return len(outcome.Conflicts) > 0, false
	default:
		s.log.Warn().Stringer("fingerprint", c.Fingerprint).Msg("failed to write a quarantined request to the store")
		return false, false
	}
}

// deleteStale deletes the row of a request that was answered completely, also if another host
// has written it meanwhile: that host receives the report of the answer as well.
func (s *Syncer) deleteStale(ctx context.Context, f quarantine.Fingerprint) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	outcome := s.writer.Commit(ctx, table.Write{Key: key(f), Delete: true, If: table.Always{}})
	if _, isDone := outcome.(table.Committed); !isDone {
		s.log.Warn().Stringer("fingerprint", f).Msg("failed to delete the row of a request or prompt part that is no longer quarantined")
		return false
	}
	s.watch.MarkDeleted(f)
	return true
}

// write writes a case over the row of another host: any crashes that quarantine the request will do, but
// its trials must not be lost.
func (s *Syncer) write(ctx context.Context, c quarantine.Case) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, condition, ok := s.readRow(ctx, c.Fingerprint)
	if !ok {
		return false
	}
	if stored.Trials > c.Trials {
		c.Trials, c.TrialAt = stored.Trials, stored.TrialAt
	}
	done, committed := s.commit(ctx, c, condition)
	if committed {
		s.watch.MarkSaved(c)
	}
	return done
}
