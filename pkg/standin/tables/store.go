// Package tables implements the platform's table service in memory, with injectable
// faults. It is used directly in tests and served over HTTP by ironhollow-standin.
package tables

import (
	"context"
	"errors"
	"sort"
	"strings"
	"sync"
	"time"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/table"
)

// Fault is the fault injected into one call.
type Fault interface{ fault() }

// NoFault lets a call through unchanged.
type NoFault struct{}

// Down fails a call before it takes effect. A commit's outcome is then unknown to the
// caller.
type Down struct{}

// Refuse rejects a commit before it takes effect, and the caller sees the rejection.
type Refuse struct{}

// LoseResponse applies a commit but loses the response.
type LoseResponse struct{}

// Delay makes the call wait before it takes effect.
type Delay struct{ Duration time.Duration }

// LateCommit returns an unknown outcome at once and applies the commit afterwards.
type LateCommit struct{ After time.Duration }

func (NoFault) fault()      {}
func (Down) fault()         {}
func (Refuse) fault()       {}
func (LoseResponse) fault() {}
func (Delay) fault()        {}
func (LateCommit) fault()   {}

// Operation is the kind of a call to the store.
type Operation string

// The kinds of calls.
const (
	OperationCommit Operation = "commit"
	OperationGet    Operation = "get"
	OperationList   Operation = "list"
)

// Call describes the call for which a fault is chosen.
type Call struct {
	// Number counts the store's calls from 1.
	Number    int64
	Operation Operation
	// Key is the first key of a commit, the key of a get, or the prefix of a list.
	Key string
}

// Errors caused by injected faults.
var (
	ErrDown         = errors.New("standin: store is down")
	ErrResponseLost = errors.New("standin: answer lost")
	ErrRefused      = errors.New("standin: commit refused")
)

// Store is an in-memory table store.
type Store struct {
	mu sync.Mutex
	// rows and sortedKeys hold the same keys.
	rows       map[string]table.Row
	sortedKeys []string
	version    int64
	calls      int64
	counts     map[Operation]int64
	faultFor   func(Call) Fault
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		rows:     map[string]table.Row{},
		counts:   map[Operation]int64{},
		faultFor: func(Call) Fault { return NoFault{} },
	}
}

// SetFaults makes the store call faultFor for every call; nil removes all faults.
func (s *Store) SetFaults(faultFor func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if faultFor == nil {
		faultFor = func(Call) Fault { return NoFault{} }
	}
	s.faultFor = faultFor
}

// Count returns the number of calls of a kind so far, failed ones included.
func (s *Store) Count(op Operation) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

func (s *Store) beginCall(op Operation, key string) Fault {
	s.mu.Lock()
	s.calls++
	s.counts[op]++
	call := Call{s.calls, op, key}
	faultFor := s.faultFor
	s.mu.Unlock()
	return faultFor(call)
}

// Commit applies c, subject to the injected fault.
func (s *Store) Commit(ctx context.Context, c table.Commit) table.Outcome {
	switch f := s.beginCall(OperationCommit, c.Writes[0].Key).(type) {
	case Down:
		return table.Unknown{Err: ErrDown}
	case Refuse:
		return table.Refused{Err: ErrRefused}
	case LoseResponse:
		s.apply(c)
		return table.Unknown{Err: ErrResponseLost}
	case LateCommit:
		time.AfterFunc(f.After, func() { s.apply(c) })
		return table.Unknown{Err: ErrResponseLost}
	case Delay:
		if !pause.For(ctx, f.Duration) {
			return table.Unknown{Err: ctx.Err()}
		}
	}
	return s.apply(c)
}

func (s *Store) apply(c table.Commit) table.Outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []table.Row
	for _, w := range c.Writes {
		row, ok := s.rows[w.Key]
		if !conditionMet(w.If, row, ok) {
			row.Key = w.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return table.Refused{Conflicts: conflicts}
	}
	s.version++
	for _, w := range c.Writes {
		switch {
		case w.CheckOnly:
		case w.Delete:
			s.remove(w.Key)
		default:
			s.put(table.Row{Key: w.Key, Value: w.Value, Version: s.version, Token: c.Token})
		}
	}
	return table.Committed{Version: s.version}
}

func conditionMet(c table.Condition, row table.Row, exists bool) bool {
	switch c := c.(type) {
	case table.Absent:
		return !exists
	case table.AtVersion:
		return exists && row.Version == c.Version
	default:
		return true
	}
}

func (s *Store) put(row table.Row) {
	if _, ok := s.rows[row.Key]; !ok {
		i := sort.SearchStrings(s.sortedKeys, row.Key)
		s.sortedKeys = append(s.sortedKeys, "")
		copy(s.sortedKeys[i+1:], s.sortedKeys[i:])
		s.sortedKeys[i] = row.Key
	}
	s.rows[row.Key] = row
}

func (s *Store) remove(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	delete(s.rows, key)
	i := sort.SearchStrings(s.sortedKeys, key)
	s.sortedKeys = append(s.sortedKeys[:i], s.sortedKeys[i+1:]...)
}

// Get reads a row, subject to the injected fault.
func (s *Store) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if err := s.applyReadFault(ctx, OperationGet, key); err != nil {
		return table.Row{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok, nil
}

// List reads rows in key order, subject to the injected fault.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := s.applyReadFault(ctx, OperationList, prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Row
	from := max(prefix, after)
	for i := sort.SearchStrings(s.sortedKeys, from); i < len(s.sortedKeys) && len(rows) < limit; i++ {
		key := s.sortedKeys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

func (s *Store) applyReadFault(ctx context.Context, op Operation, key string) error {
	switch f := s.beginCall(op, key).(type) {
	case Down, LoseResponse, Refuse, LateCommit:
		return ErrDown
	case Delay:
		if !pause.For(ctx, f.Duration) {
			return ctx.Err()
		}
	}
	return nil
}
