// Package objects implements a stand-in for the platform's object store.
package objects

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
)

// ErrDown is returned by all calls during an outage.
var ErrDown = errors.New("standin: object store is down")

// Store keeps objects in memory.
type Store struct {
	mu      sync.Mutex
	objects map[string][]byte
	down    bool
}

// New returns an empty store.
func New() *Store { return &Store{objects: map[string][]byte{}} }

// SetDown starts or ends an outage.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// Put stores an object.
func (s *Store) Put(_ context.Context, key string, data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return ErrDown
	}
	s.objects[key] = append([]byte(nil), data...)
	return nil
}

// Get returns the object with this key and whether it exists.
func (s *Store) Get(_ context.Context, key string) ([]byte, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, false, ErrDown
	}
	data, ok := s.objects[key]
	return data, ok, nil
}

// Register adds handlers for the object store's protocol to mux.
func (s *Store) Register(mux *http.ServeMux) {
	mux.HandleFunc("PUT /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err == nil {
			err = s.Put(r.Context(), r.PathValue("key"), data)
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	mux.HandleFunc("GET /objects/{key}", func(w http.ResponseWriter, r *http.Request) {
		data, ok, err := s.Get(r.Context(), r.PathValue("key"))
		switch {
		case err != nil:
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		case !ok:
			http.NotFound(w, r)
		default:
			_, _ = w.Write(data)
		}
	})
}
