// Package tables is the stand-in of the platform's table service: a store in
// memory with faults on demand, usable as a fake in tests and over HTTP.
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

// Fault is what befalls one call.
type Fault interface{ fault() }

// None lets a call pass.
type None struct{}

// Down turns a call away before it takes effect; the caller can't tell.
type Down struct{}

// Refuse turns a call away in a way the caller can tell.
type Refuse struct{}

// LoseAnswer lets a commit take effect and loses the answer.
type LoseAnswer struct{}

// Delay makes the call wait before it takes effect.
type Delay struct{ For time.Duration }

// Late answers "unknown" at once and lets the commit take effect afterwards.
type Late struct{ For time.Duration }

func (None) fault()       {}
func (Down) fault()       {}
func (Refuse) fault()     {}
func (LoseAnswer) fault() {}
func (Delay) fault()      {}
func (Late) fault()       {}

// Operation names the kind of call a fault is asked for.
type Operation string

// The kinds of call.
const (
	OperationCommit Operation = "commit"
	OperationGet    Operation = "get"
	OperationList   Operation = "list"
)

// Call tells the fault function what is called.
type Call struct {
	// Number counts the store's calls from 1.
	Number    int64
	Operation Operation
	// Key is the first key or the prefix.
	Key string
}

// Errors that callers of a faulty store see.
var (
	ErrDown    = errors.New("standin: store is down")
	ErrLost    = errors.New("standin: answer lost")
	ErrRefused = errors.New("standin: turned away")
)

// Store is the store in memory.
type Store struct {
	mu sync.Mutex
	// rows and keys hold the same keys; keys are sorted.
	rows    map[string]table.Row
	keys    []string
	version int64
	calls   int64
	counts  map[Operation]int64
	decide  func(Call) Fault
}

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		rows:   map[string]table.Row{},
		counts: map[Operation]int64{},
		decide: func(Call) Fault { return None{} },
	}
}

// SetFaults makes the store ask decide about every call; nil ends all faults.
func (s *Store) SetFaults(decide func(Call) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if decide == nil {
		decide = func(Call) Fault { return None{} }
	}
	s.decide = decide
}

// Count returns how many calls of a kind have been made.
func (s *Store) Count(op Operation) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts[op]
}

func (s *Store) enter(op Operation, key string) Fault {
	s.mu.Lock()
	s.calls++
	s.counts[op]++
	call := Call{s.calls, op, key}
	decide := s.decide
	s.mu.Unlock()
	return decide(call)
}

// Commit applies a commit, or a fault.
func (s *Store) Commit(ctx context.Context, c table.Commit) table.Outcome {
	switch f := s.enter(OperationCommit, c.Writes[0].Key).(type) {
	case Down:
		return table.Unknown{Err: ErrDown}
	case Refuse:
		return table.Refused{Err: ErrRefused}
	case LoseAnswer:
		s.apply(c)
		return table.Unknown{Err: ErrLost}
	case Late:
		time.AfterFunc(f.For, func() { s.apply(c) })
		return table.Unknown{Err: ErrLost}
	case Delay:
		if !pause.For(ctx, f.For) {
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
		if !holds(w.If, row, ok) {
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

func holds(c table.Condition, row table.Row, exists bool) bool {
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
		i := sort.SearchStrings(s.keys, row.Key)
		s.keys = append(s.keys, "")
		copy(s.keys[i+1:], s.keys[i:])
		s.keys[i] = row.Key
	}
	s.rows[row.Key] = row
}

func (s *Store) remove(key string) {
	if _, ok := s.rows[key]; !ok {
		return
	}
	delete(s.rows, key)
	i := sort.SearchStrings(s.keys, key)
	s.keys = append(s.keys[:i], s.keys[i+1:]...)
}

// Get reads a row, or a fault.
func (s *Store) Get(ctx context.Context, key string) (table.Row, bool, error) {
	if err := s.readFault(ctx, OperationGet, key); err != nil {
		return table.Row{}, false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	row, ok := s.rows[key]
	return row, ok, nil
}

// List reads rows in key order, or a fault.
func (s *Store) List(ctx context.Context, prefix, after string, limit int) ([]table.Row, error) {
	if err := s.readFault(ctx, OperationList, prefix); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []table.Row
	from := max(prefix, after)
	for i := sort.SearchStrings(s.keys, from); i < len(s.keys) && len(rows) < limit; i++ {
		key := s.keys[i]
		if !strings.HasPrefix(key, prefix) {
			break
		}
		if key > after {
			rows = append(rows, s.rows[key])
		}
	}
	return rows, nil
}

func (s *Store) readFault(ctx context.Context, op Operation, key string) error {
	switch f := s.enter(op, key).(type) {
	case Down, LoseAnswer, Refuse, Late:
		return ErrDown
	case Delay:
		if !pause.For(ctx, f.For) {
			return ctx.Err()
		}
	}
	return nil
}
