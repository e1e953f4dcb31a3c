// Package services is the stand-in of the plain services behind the system: a
// ledger that counts how often each call ran.
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

// Ledger is shared by all stand-in endpoints of one service, as a database
// behind them would be.
type Ledger struct {
	mu   sync.Mutex
	runs map[string]int
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{runs: map[string]int{}} }

// Runs returns how often the call with a key ran.
func (l *Ledger) Runs(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[key]
}

// All returns the runs of every key.
func (l *Ledger) All() map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	all := map[string]int{}
	for key, n := range l.runs {
		all[key] = n
	}
	return all
}

func (l *Ledger) run(key string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs[key]++
	return l.runs[key]
}

// Options say how a service behaves.
type Options struct {
	// Latency is how long a call takes before it runs.
	Latency time.Duration
	// ChecksDeadline makes the service refuse calls past their deadline.
	ChecksDeadline bool
	// CutAfterRun cuts the connection after the call has run.
	CutAfterRun bool
	// RefusesCalls makes the service turn every call away unrun, asking for so much
	// backoff where it is above 0.
	RefusesCalls bool
	Backoff   time.Duration
	// Leaving makes the service say in each answer that it leaves.
	Leaving bool
	// RequestLimit is what the service names as its limit in each answer, 0 for none.
	RequestLimit float64
	// Received counts the calls that came, if it is set.
	Received *atomic.Int64
}

// Response is what a call gets.
type Response struct {
	Key  string `json:"key"`
	Run  int    `json:"run"`
	Path string `json:"path"`
	Body string `json:"body"`
}

// Handler serves calls: every POST runs, a GET only reads.
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
	answer := Response{Key: r.Header.Get(plainservice.HeaderKey), Path: r.URL.Path, Body: string(body)}
	if r.Method != http.MethodGet {
		answer.Run = ledger.run(answer.Key)
	}
	if options.CutAfterRun {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}
