// Package services implements a stand-in for the plain services behind the system. It
// counts how often each call ran.
package services

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/plainservice"
)

// Ledger counts the runs of each call. All stand-in endpoints of one service share it, as
// they would share a database.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Runs returns how often the call with this key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// All returns the number of runs of every key.
func (l *Ledger) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for key, count := range l.runs {
		all[key] = count
	}
	return all
}

func (l *Ledger) recordRun(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

// Options configure the behaviour of a service.
type Options struct {
	// Latency is the time from the receipt of a call to its run.
	Latency time.Duration
	// ChecksDeadline makes the service refuse calls past their deadline.
	ChecksDeadline bool
	// CutAfterRun closes the connection after the call has run, without a response.
	CutAfterRun bool
	// RefusesCalls makes the service refuse every call without running it. The response
	// asks for a backoff of Backoff (0 for none).
	RefusesCalls bool
	Backoff      time.Duration
	// Leaving makes the service report in each response that it is leaving.
	Leaving bool
	// RequestLimit is the request limit that the service reports in each response, 0 for none.
	RequestLimit float64
	// Received counts the calls received, if it is set.
	Received *atomic.Int64
}

// Response is the body of the response to a call.
type Response struct {
	Key  string `json:"key"`
	Run  int    `json:"run"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// Handler serves calls: every method except GET counts as a run.
func Handler(ledger *Ledger, options Options) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /standin/runs", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, ledger.All())
	})
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		serve(ledger, options, w, r)
	})
	return mux
}

func serve(ledger *Ledger, options Options, w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil {
		return
	}
	if options.Received != nil {
		options.Received.Add(1)
	}
	if options.Leaving {
		w.Header().Set(plainservice.HeaderLeaving, "1")
	}
	if options.RequestLimit > 0 {
		w.Header().Set(httpx.HeaderRequestLimit, strconv.FormatFloat(options.RequestLimit, 'f', -1, 64))
	}
	if options.RefusesCalls {
		w.Header().Set(plainservice.HeaderNotRun, "busy")
		w.Header().Set(httpx.HeaderRetryAfter, strconv.FormatFloat(options.Backoff.Seconds(), 'f', -1, 64))
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(options.Latency)
	if options.ChecksDeadline && plainservice.DeadlinePassed(r.Header, time.Now()) {
		w.Header().Set(plainservice.HeaderNotRun, "deadline")
		http.Error(w, "deadline passed", http.StatusServiceUnavailable)
		return
	}
	response := Response{Key: r.Header.Get(plainservice.HeaderKey), Path: r.URL.Path, Body: string(body)}
	if r.Method != http.MethodGet {
		response.Run = ledger.recordRun(response.Key)
	}
	if options.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}
