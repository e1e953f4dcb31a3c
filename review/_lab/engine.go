package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// engine is a sound server of a service for streams.
type engine struct {
	fleet             *fleet
	id, service, zone string
	// version is that of the server's software.
	version      string
	slots, queue int
	spot         bool
	// events is the number of events of a stream, of every other one longEvents if that is above 0.
	events, longEvents int
	eventGap           time.Duration

	address string
	server  *http.Server
	places  chan struct{}
	born    time.Time

	mu       sync.Mutex
	waiting  int
	sequence int
	ended    bool
	// notice is when the store had acknowledged the row that says draining; zero before.
	notice time.Time
	endsAt time.Time
	late   []lateArrival
}

// lateArrival is a request that reached a server too late.
type lateArrival struct {
	id    string
	after time.Duration
}

const heartbeat = 1200 * time.Millisecond

func (e *engine) start() error {
	listener, err := net.Listen("tcp", cmp.Or(e.address, "127.0.0.1:0"))
	if err != nil {
		return err
	}
	e.address = listener.Addr().String()
	e.places = make(chan struct{}, e.slots)
	e.born = time.Now()
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(listener) }()
	e.writeRow()
	go func() {
		for {
			time.Sleep(heartbeat)
			if !e.writeRow() {
				return
			}
		}
	}()
	return nil
}

// writeRow writes the server's entry.
func (e *engine) writeRow() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ended {
		return false
	}
	e.sequence++
	row := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": e.version, "slots": e.slots, "state": "ready",
		"cold_remaining_ms": 0, "sequence": e.sequence, "phase": "combined", "spot": e.spot, "born": e.born.UnixMilli(),
	}
	if !e.endsAt.IsZero() {
		row["state"] = "draining"
		row["leaves_ms"] = max(time.Until(e.endsAt).Milliseconds(), 0)
	}
	_ = e.fleet.store.Put("servers", e.id, row)
	return true
}

// reclaim says that the server leaves after the notice, and lets it serve until then.
func (e *engine) reclaim(notice time.Duration) {
	e.mu.Lock()
	e.endsAt = time.Now().Add(notice)
	e.mu.Unlock()
	e.writeRow()
	// The store's answer, which is the acknowledgement, takes its latency.
	acknowledged := time.Now().Add(storeLatency)
	e.mu.Lock()
	e.notice = acknowledged
	e.mu.Unlock()
	e.fleet.record.note("server %s: the store has acknowledged draining, leaves_ms %d", e.id, notice.Milliseconds())
	time.AfterFunc(notice, e.end)
}

func (e *engine) end() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.server.Close()
	_ = e.fleet.store.Put("servers", e.id, nil)
	e.fleet.record.note("server %s: ended", e.id)
}

// crash ends the server at once. Its entry stays, as that of a server that says nothing.
func (e *engine) crash() {
	e.mu.Lock()
	e.ended = true
	e.mu.Unlock()
	_ = e.server.Close()
	e.fleet.record.note("server %s (version %s): crashed", e.id, e.version)
}

// successor returns the server that starts under the same id and at the same address, with another software
// version.
func (e *engine) successor(version string) *engine {
	return &engine{
		fleet: e.fleet, id: e.id, service: e.service, zone: e.zone, version: version, slots: e.slots, queue: e.queue, spot: e.spot,
		events: e.events, eventGap: e.eventGap, address: e.address,
	}
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get("X-Attempt-Id")
	if r.URL.Path == "/api/report" {
		e.report(w)
		return
	}
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.noteArrival(id, arrived)
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !e.enter() {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	select {
	case e.places <- struct{}{}:
		e.leaveQueue()
	case <-r.Context().Done():
		e.leaveQueue()
		return
	}
	defer func() { <-e.places }()
	e.fleet.record.note("server %s (version %s): runs %s", e.id, e.version, id)
	w.Header().Set("X-Server-Seal", e.id+"."+id)
	w.Header().Set("Content-Type", "text/event-stream")
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	for n := last + 1; n <= e.eventsOf(id); n++ {
		select {
		case <-time.After(e.eventGap):
		case <-r.Context().Done():
			return
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s %d@%s\n\n", n, id, n, e.version); err != nil {
			return
		}
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

// eventsOf returns the number of events of a request's stream.
func (e *engine) eventsOf(id string) int {
	if e.longEvents > 0 && id[len(id)-1]%2 == 1 {
		return e.longEvents
	}
	return e.events
}

// noteArrival records a request that reaches the server.
func (e *engine) noteArrival(id string, at time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notice.IsZero() {
		return
	}
	after := at.Sub(e.notice)
	e.fleet.record.note("server %s: %s reaches it %.1f ms after the acknowledgement", e.id, id, float64(after)/float64(time.Millisecond))
	if after > drainBound {
		e.late = append(e.late, lateArrival{id, after})
	}
}

// drainBound is drain_ms of the deployment.
const drainBound = 2000 * time.Millisecond

func (e *engine) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.places) == cap(e.places) && e.waiting >= e.queue {
		return false
	}
	e.waiting++
	return true
}

func (e *engine) leaveQueue() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.waiting--
}

func (e *engine) lateArrivals() []lateArrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]lateArrival(nil), e.late...)
}

func (e *engine) report(w http.ResponseWriter) {
	e.mu.Lock()
	report := map[string]any{
		"phase": "combined", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}, "utilization": false, "sequence": e.sequence,
		"queued": e.waiting, "active": len(e.places), "kv_used": 0, "kv_total": 583597, "kv_handles": 0,
	}
	e.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(report)
}

// caller sends streams to the hosts at a steady rate, each to the next host, on kept channels.
type caller struct {
	fleet *fleet
	path  string
	count int
	mu    sync.Mutex
	// outcomes counts the answers by status.
	outcomes map[string]int
	// broken holds the requests whose answers broke off.
	broken  map[string]bool
	pending sync.WaitGroup
}

func (c *caller) run(perSecond float64, until time.Time) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 200, DisableCompression: true}, Timeout: 8 * time.Second}
	gap := time.Duration(float64(time.Second) / perSecond)
	for next := time.Now(); next.Before(until); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		c.count++
		h := c.fleet.hosts[c.count%len(c.fleet.hosts)]
		id := fmt.Sprintf("%016x", uint64(c.count)<<32|uint64(next.UnixNano()&0xffffffff))
		c.pending.Go(func() { c.send(client, h, id) })
	}
	c.pending.Wait()
}

func (c *caller) send(client *http.Client, h *host, id string) {
	request, err := http.NewRequest(http.MethodPost, "http://"+h.front()+c.path, nil)
	if err != nil {
		return
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", "8000")
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Counts", "1110,60")
	request.Header.Set("X-Length-Hint", "30")
	request.Header.Set("X-Prefix-Hash", "5c1e07a2:350,"+id+":760")
	c.fleet.record.note("caller: %s sent to %s", id, h.name)
	outcome := "broken"
	response, err := client.Do(request)
	if err == nil {
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil {
			outcome = strconv.Itoa(response.StatusCode)
		}
	}
	c.fleet.record.note("caller: %s gets %s", id, outcome)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outcomes == nil {
		c.outcomes, c.broken = map[string]int{}, map[string]bool{}
	}
	c.broken[id] = outcome == "broken"
	c.outcomes[outcome]++
}

const (
	hostName = "review.example"
	apiKey   = "i9n73hh2b9wu3fexd9dn"
)

// putManifest writes the manifest of a deployment with one service of model servers, whose spot servers
// may be ordered and taken away.
func putManifest(store *storeServer, timeoutMS, slots int, resumable bool, prices map[string]float64) error {
	return store.Put("op", "config", map[string]any{
		"version": 2,
		"routes": []map[string]any{{
			"name": "r-recap", "host": hostName, "path_prefix": "/recap/", "route_type": "streaming", "timeout_ms": timeoutMS, "slo_ms": 1000,
			"itl_target_ms": 500, "service": "ironhollow-narrator", "max_attempts": 2, "resumable": resumable, "priority": 0, "sticky": true,
		}},
		"services": []map[string]any{{
			"name": "ironhollow-narrator", "max_conns": 370, "health_path": "/healthz",
			"engine":  map[string]any{"slots": slots, "kv_capacity": 583597, "stride": 3},
			"scaling": map[string]any{"min": 1, "max": 10, "boot_s": 4.0, "spot_price": 0.15, "zone_prices": prices},
		}},
		"limits":  map[string]any{"max_header_bytes": 65536, "max_body_bytes": 4 << 20, "header_timeout_ms": 10000, "idle_timeout_ms": 30000},
		"tenants": []map[string]any{{"name": "hule930", "api_keys": []string{apiKey}}},
	})
}
