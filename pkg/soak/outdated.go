package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// While RunTakeUpsAtIsolatedHost runs, streamsAtOnce streams begin each streamsInterval.
const streamsAtOnce, streamsInterval = 12, 200 * time.Millisecond

// RunTakeUpsAtIsolatedHost starts endpoints of another release and restarts all hosts but host 0, which cannot exchange
// anything with the others. Streams begin at the others, their callers break them and take them up at host 0.
func RunTakeUpsAtIsolatedHost(ctx context.Context, o Options, streams int) (Outcome, TakeUpOutcome, error) {
	r := newRun(o)
	r.firstReads = make(chan struct{})
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, TakeUpOutcome{}, err
	}
	r.wait(ctx, settleTime)
	for host := range r.nodes {
		r.newStream(fmt.Sprintf("s%d-before-%d", o.Seed, host)).takeUp(ctx, host, func() {}, false)
	}
	r.wait(ctx, settleTime)
	// Host 0 reads the rows again after a pause.
	select {
	case <-r.firstReads:
	case <-ctx.Done():
	}
	for range r.streamVersions {
		if err := r.addStreamEndpoint("v2"); err != nil {
			return Outcome{}, TakeUpOutcome{}, err
		}
	}
	for _, n := range r.nodes[1:] {
		n.signal(syscall.SIGKILL)
	}
	var begun []*brokenStream
	var reading sync.WaitGroup
	for i := range streams {
		s := r.newStream(fmt.Sprintf("s%d-%d", o.Seed, i))
		s.eventsBeforeBreak = 1 + i%eventsBeforeBreak
		begun = append(begun, s)
		reading.Go(func() {
			if s.takeUp(ctx, 1+i%(len(r.nodes)-1), func() {}, true); s.first != "" {
				s.addressOf = func(*node) string { return r.nodes[0].settings.Callers }
				s.takeUp(ctx, 0, func() {}, false)
			}
		})
		if i%streamsAtOnce == streamsAtOnce-1 {
			r.wait(ctx, streamsInterval)
		}
	}
	reading.Wait()
	var got TakeUpOutcome
	for _, s := range begun {
		got.add(s)
	}
	return r.outcome(), got, ctx.Err()
}

// addStreamEndpoint starts another endpoint of the stream service.
func (r *run) addStreamEndpoint(version string) error {
	r.mu.Lock()
	i := len(r.endpoints)
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	r.streamVersions = append(r.streamVersions, version)
	r.mu.Unlock()
	return r.startEndpoint(i)
}

// hideHosts returns the store without the rows of other hosts for host 0, and without the row of host 0 for the others.
func (r *run) hideHosts(isFirst bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		table := request.URL.Query().Get("table")
		if table != "hosts" {
			r.store.ServeHTTP(w, request)
			if isFirst && table == "servers" {
				select {
				case r.firstReads <- struct{}{}:
				default:
				}
			}
			return
		}
		recorded := httptest.NewRecorder()
		r.store.ServeHTTP(recorded, request)
		body := recorded.Body.Bytes()
		var response map[string]json.RawMessage
		var rows []map[string]any
		if json.Unmarshal(body, &response) == nil && json.Unmarshal(response["rows"], &rows) == nil {
			rows = slices.DeleteFunc(rows, func(row map[string]any) bool {
				return strings.HasPrefix(fmt.Sprint(row["private_key"]), "node-0.") != isFirst
			})
			// Values that were decoded can be encoded.
			response["rows"], _ = json.Marshal(rows)
			body, _ = json.Marshal(response)
		}
		header := recorded.Header()
		header.Del("Content-Length")
		maps.Copy(w.Header(), header)
		w.WriteHeader(recorded.Code)
		// An error means that the host has closed the connection.
		_, _ = w.Write(body)
	})
}
