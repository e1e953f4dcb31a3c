package statetransfer

import (
	"compress/gzip"
	"net/http"
	"strconv"
	"strings"
)

// Path is the URL path at which hosts answer with their state.
const Path = "/state"

const (
	// afterParameter is the version of the configuration that the asking host has.
	afterParameter = "after"
	// tablesParameter is set if the rows of the tables are requested too.
	tablesParameter = "tables"
	// contentEncoding is the encoding of responses of at least minCompressBytes. Rows differ little
	// from each other.
	contentEncoding  = "gzip"
	minCompressBytes = 4 << 10
)

// Provider has the state that other hosts ask for.
type Provider interface {
	// State returns the configuration if it is newer than after, the endpoints that leave and,
	// if requested, the rows of the tables.
	State(after int64, withTables bool) State
}

// Server answers other hosts.
type Server struct {
	provider Provider
	// isReady reports whether this host itself has state worth passing on.
	isReady func() bool
}

// NewServer returns a server that answers with an error until isReady.
func NewServer(provider Provider, isReady func() bool) *Server {
	return &Server{provider: provider, isReady: isReady}
}

// ServeHTTP answers with the state. A host that has only just started answers with 503: it may know
// no more than the host that asks.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseInt(r.URL.Query().Get(afterParameter), 10, 64)
	if err != nil {
		http.Error(w, "after must be the version of a configuration", http.StatusBadRequest)
		return
	}
	if !s.isReady() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	data, err := encode(s.provider.State(after, r.URL.Query().Has(tablesParameter)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	// Write errors are ignored: the other host has disconnected and asks another one.
	if len(data) < minCompressBytes || !strings.Contains(r.Header.Get("Accept-Encoding"), contentEncoding) {
		_, _ = w.Write(data)
		return
	}
	w.Header().Set("Content-Encoding", contentEncoding)
	compressed := gzip.NewWriter(w)
	_, _ = compressed.Write(data)
	_ = compressed.Close()
}
