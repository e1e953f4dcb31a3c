// Package scalesync keeps the state of the ordered endpoints in the platform's store, one row
// for each service, so that the next holder of the duties lease neither orders endpoints twice
// nor gives them up, and knows the losses.
package scalesync

import (
	"context"
	"sync"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/table"
)

// Table is the store's table of the states.
const Table = "autoscale"

// Timing of the calls.
const (
	// readTimeout bounds the read of a state, which delays the first orders of a new holder. The
	// store usually answers within 4 ms.
	readTimeout = 400 * time.Millisecond
	// writeInterval is the least time between two writes, writeTimeout bounds one.
	writeInterval = time.Second
	writeTimeout  = time.Second
)

// Clock relates this process's clock to that of the store.
type Clock interface {
	Now() time.Time
	// StoreTime returns the present time of the store's clock; ok is false if it is not known.
	StoreTime() (storeTime time.Duration, ok bool)
}

// Syncer reads and writes the states of services. It is safe for concurrent use.
type Syncer struct {
	writer *table.Writer
	clock  Clock
	log    *log.Logger
	// wake is set when a state is to be written.
	wake pause.Signal

	mu sync.Mutex
	// epoch is the epoch of the lease under which states are written.
	epoch int64
	// entries has the states under the present lease, by service.
	entries map[string]*entry
}

// entry is what is known of the row of a service.
type entry struct {
	// condition is the condition of the next write.
	condition table.Condition
	// current is the state to be written, saved the one last written; dirty is set if they
	// differ.
	current, saved autoscale.State
	dirty          bool
	// superseded is set if the row is of a later holder.
	superseded bool
	// failing is set while writes fail.
	failing bool
}

// New returns a Syncer without states.
func New(writer *table.Writer, clock Clock, logger *log.Logger) *Syncer {
	return &Syncer{writer: writer, clock: clock, log: logger, wake: pause.NewSignal(), entries: map[string]*entry{}}
}

func rowKey(service string) string { return Table + "/" + service }

func (s *Syncer) converter() (converter, bool) {
	storeNow, ok := s.clock.StoreTime()
	return converter{s.clock.Now(), storeNow}, ok
}

// Reset drops all states, because another holder of the lease may have written since.
func (s *Syncer) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.entries)
}

// Load returns the state that an earlier holder wrote. The result is false if this holder has
// loaded it before, if there is none, or if it cannot be used. In the last two cases the
// caller counts the endpoints that serve as ordered.
func (s *Syncer) Load(ctx context.Context, service string, grant lease.Grant) (autoscale.State, bool) {
	e := &entry{condition: table.Absent{}}
	if !s.addEntry(service, grant, e) || grant.First {
		return autoscale.State{}, false
	}
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	stored, exists, err := s.writer.Store().Get(ctx, rowKey(service))
	if err != nil {
		s.log.Warn().Err(err).Str("service", service).Msg("failed to read the state of ordered endpoints")
		return autoscale.State{}, false
	}
	if !exists {
		return autoscale.State{}, false
	}
	if !s.adopt(service, e, stored, grant.Epoch) {
		return autoscale.State{}, false
	}
	converter, known := s.converter()
	if !known {
		return autoscale.State{}, false
	}
	state, err := decode(service, stored.Value, converter)
	if err != nil {
		s.log.Warn().Err(err).Str("service", service).Int64("row", stored.Version).Msg("failed to decode the state of ordered endpoints")
		return autoscale.State{}, false
	}
	s.log.Info().Str("service", service).Int64("epoch", grant.Epoch).Int("pools", len(state.Pools)).Int("losses", len(state.Losses.LostAt)).
		Bool("wave", state.Losses.Pending).Msg("state of ordered endpoints taken over")
	return state, true
}

// addEntry adds the entry of a service under a lease, and drops those of an earlier lease. The
// result is false if the service has one.
func (s *Syncer) addEntry(service string, grant lease.Grant, e *entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.epoch != grant.Epoch {
		s.epoch = grant.Epoch
		clear(s.entries)
	}
	if _, known := s.entries[service]; known {
		return false
	}
	s.entries[service] = e
	return true
}

// adopt makes the next write of an entry replace a row, also one of another format. The result is
// false if a later holder wrote the row, which is then left unchanged.
func (s *Syncer) adopt(service string, e *entry, stored table.Row, epoch int64) bool {
	rowEpoch, err := decodeEpoch(stored.Value)
	s.mu.Lock()
	defer s.mu.Unlock()
	e.condition = table.AtVersion{Version: stored.Version}
	// An epoch is the version of an earlier row, so a higher one is not of a holder.
	if err == nil && rowEpoch > epoch && rowEpoch <= stored.Version {
		e.superseded = true
		s.log.Warn().Str("service", service).Int64("epoch", epoch).Int64("row-epoch", rowEpoch).Msg("state of ordered endpoints is of a later holder")
		return false
	}
	return true
}

// Save writes a service's state soon if its orders, refusals or losses have changed. It makes no
// call to the store.
func (s *Syncer) Save(service string, grant lease.Grant, state autoscale.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, known := s.entries[service]
	if !known || s.epoch != grant.Epoch || e.superseded {
		return
	}
	e.current = state
	if !e.dirty && state.EqualOrders(e.saved) {
		return
	}
	e.dirty = true
	s.wake.Set()
}

// Run writes changed states until ctx ends, each at most once per writeInterval.
func (s *Syncer) Run(ctx context.Context) {
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		for _, service := range s.dirtyServices() {
			s.write(ctx, service)
		}
		pause.For(ctx, writeInterval)
	}
}

func (s *Syncer) dirtyServices() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for service, e := range s.entries {
		if e.dirty && !e.superseded {
			list = append(list, service)
		}
	}
	return list
}

func (s *Syncer) write(ctx context.Context, service string) {
	converter, known := s.converter()
	s.mu.Lock()
	e, exists := s.entries[service]
	if !known || !exists {
		s.mu.Unlock()
		return
	}
	state, epoch, condition := e.current, s.epoch, e.condition
	s.mu.Unlock()
	value, err := encode(state, epoch, converter)
	if err != nil {
		s.log.Error().Err(err).Str("service", service).Msg("failed to encode the state of ordered endpoints")
		return
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	outcome := s.writer.Commit(ctx, table.Write{Key: rowKey(service), Value: value, If: condition})
	s.applyOutcome(service, e, state, epoch, outcome)
}

// applyOutcome records the outcome of a write. After a failure the state is written again.
func (s *Syncer) applyOutcome(service string, e *entry, written autoscale.State, epoch int64, outcome table.Outcome) {
	var failure error
	switch o := outcome.(type) {
	case table.Committed:
		s.mu.Lock()
		e.condition, e.saved, e.failing = table.AtVersion{Version: o.Version}, written, false
		e.dirty = !e.current.EqualOrders(written)
		again := e.dirty
		s.mu.Unlock()
		if again {
			s.wake.Set()
		}
		return
	case table.Refused:
		failure = o.Err
		for _, conflict := range o.Conflicts {
			s.adoptConflict(service, e, conflict, epoch)
		}
	case table.Unknown:
		failure = o.Err
	}
	s.mu.Lock()
	wasFailing := e.failing
	e.failing = true
	s.mu.Unlock()
	if !wasFailing {
		s.log.Warn().Err(failure).Str("service", service).Msg("failed to write the state of ordered endpoints")
	}
	s.wake.Set()
}

// adoptConflict prepares the next write after a conflict with a row.
func (s *Syncer) adoptConflict(service string, e *entry, conflict table.Row, epoch int64) {
	if conflict.Version == 0 {
		s.mu.Lock()
		e.condition = table.Absent{}
		s.mu.Unlock()
		return
	}
	s.adopt(service, e, conflict, epoch)
}
