package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the streams.
const (
	streamEvents = 160
	eventGap     = 50 * time.Millisecond
	streamCount  = 24
	// comeBackGap is the time between two consumers that take their streams up.
	comeBackGap = 50 * time.Millisecond
)

// engine is a stand-in for a model server. It may crash and start again under its id and address as another version.
type engine struct {
	l       *lab
	id      string
	address string

	mu       sync.Mutex
	version  string
	born     int64
	sequence int
	server   *http.Server
	running  map[string]bool
}

func (l *lab) addEngine(id, version string) *engine {
	e := &engine{l: l, id: id, version: version, running: map[string]bool{}}
	e.start(version)
	return e
}

// start starts the server's process at the address that it had, if it had one.
func (e *engine) start(version string) {
	address := e.address
	if address == "" {
		address = freeAddress("127.0.0.1")
	}
	listener, err := net.Listen("tcp", address)
	check(err)
	server := &http.Server{Handler: e}
	e.mu.Lock()
	e.address, e.version, e.born, e.sequence, e.server = listener.Addr().String(), version, time.Now().UnixMilli(), 0, server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.beat(server)
	go func() {
		for {
			time.Sleep(1200 * time.Millisecond)
			if !e.beat(server) {
				return
			}
		}
	}()
	e.l.record.line("server %s starts at %s as version %s", e.id, e.address, version)
}

// beat writes the server's entry unless its process has ended.
func (e *engine) beat(server *http.Server) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server != server {
		return false
	}
	check(e.l.store.Put("servers", e.id, e.entry()))
	return true
}

// entry returns the server's next entry. The caller holds e.mu.
func (e *engine) entry() map[string]any {
	e.sequence++
	return map[string]any{
		"service": "assess", "address": e.address, "zone": "a", "version": e.version, "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"phase": "combined", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "sequence": e.sequence, "born": e.born,
	}
}

// crash ends the server's process.
func (e *engine) crash() {
	e.mu.Lock()
	server := e.server
	e.server = nil
	e.mu.Unlock()
	e.l.record.line("server %s crashes", e.id)
	_ = server.Close()
}

func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	version, born, active := e.version, e.born, len(e.running)
	e.mu.Unlock()
	if r.URL.Path == "/api/report" {
		w.Header().Set("Content-Type", "application/json")
		_, _ = fmt.Fprintf(w, `{"phase":"combined","models":[{"name":"m","version":1,"adapters":[]}],"utilization":false,"sequence":0,"queued":0,"active":%d,"kv_used":0,"kv_total":583597,"kv_handles":0,"born":%d}`, active, born)
		return
	}
	id := r.Header.Get("X-Attempt-Id")
	if id == "" {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("X-Attempt-Id", id)
	if r.Header.Get("X-Expect-Instance") != e.id {
		w.Header().Set("X-Instance-Id", e.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	e.l.record.line("server %s, version %s, runs %s after event %d", e.id, version, id, last)
	e.mu.Lock()
	e.running[id] = true
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.running, id)
	}()
	w.Header().Set("X-Server-Seal", e.id+"."+id)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	time.Sleep(eventGap)
	for number := last + 1; number <= streamEvents; number++ {
		_, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", number, version)
		if errors.Join(err, http.NewResponseController(w).Flush()) != nil || r.Context().Err() != nil {
			return
		}
		time.Sleep(eventGap)
	}
}

// reader is a consumer of one stream.
type reader struct {
	l        *lab
	first    string
	last     int
	versions []string
	complete bool
	// takeUps is how often the consumer has taken the stream up.
	takeUps int
}

// read sends one attempt and reads its events until it ends.
func (c *reader) read(n *node, id string) (status int) {
	c.l.record.line("consumer sends %s to %s, after event %d", id, n.name, c.last)
	r := newRequest(context.Background(), n, http.MethodPost, "/assess/1", id, "key-1", []byte("file"))
	r.Header.Set("X-Model", "m")
	r.Header.Set("X-Token-Counts", "410,480")
	r.Header.Set("X-Prefix-Hash", fmt.Sprintf("5c1e07a2:350,%s:60", id))
	r.Header.Set("X-Deadline-Ms", "15000")
	if c.last > 0 {
		r.Header.Set("Last-Event-Id", strconv.Itoa(c.last))
		r.Header.Set("Resumes", c.first)
	}
	// Each attempt has a channel of its own.
	response, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		c.l.record.line("consumer gets no answer to %s: %v", id, err)
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		c.l.record.line("consumer gets %d for %s, Retry-After %s", response.StatusCode, id, response.Header.Get("Retry-After"))
		return response.StatusCode
	}
	lines := bufio.NewScanner(response.Body)
	event := 0
	for lines.Scan() {
		if number, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			event, _ = strconv.Atoi(number)
		}
		if version, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			if len(c.versions) == 0 || c.versions[len(c.versions)-1] != version {
				c.versions = append(c.versions, version)
			}
			if c.last == 0 {
				c.first = id
			}
			c.last = event
		}
	}
	c.complete = lines.Err() == nil && c.last == streamEvents
	c.l.record.line("consumer's answer to %s ends at event %d, complete: %v, versions %v", id, c.last, c.complete, c.versions)
	return response.StatusCode
}

// streamFleet is four model servers before two machines, and consumers with streams at the first machine.
type streamFleet struct {
	l             *lab
	engines       []*engine
	first, second *node
	readers       []*reader
	// manifest returns a manifest of the fleet with tenants.
	manifest func(version int, tenants ...map[string]any) map[string]any
	// comeBack is closed when the consumers whose streams broke may take them up.
	comeBack chan struct{}
	all      sync.WaitGroup
	// broken is how many streams have broken off.
	broken atomic.Int64
}

// startStreams starts streams at servers of the given versions. The consumers whose streams break take them up at the second machine, one by one, from
// when comeBack is closed.
func (l *lab) startStreams(streams int, versions ...string) *streamFleet {
	f := &streamFleet{l: l, comeBack: make(chan struct{})}
	for i, version := range versions {
		f.engines = append(f.engines, l.addEngine(fmt.Sprintf("i-assess-%d", i+1), version))
	}
	assess := route("/assess/", "streaming", "assess", 15000)
	assess["resumable"], assess["slo_ms"], assess["itl_target_ms"], assess["sticky"] = true, 1000, 500, true
	services := []map[string]any{{"name": "assess", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
		"slots": 64, "kv_capacity": 583597, "kv_bytes": 327680, "link_mbps": 270000.0, "moves": false, "stride": 3, "models": []map[string]any{{"name": "m"}},
	}}}
	f.manifest = func(version int, tenants ...map[string]any) map[string]any {
		return manifest(version, []map[string]any{assess}, services, tenants)
	}
	l.operatorWrites(f.manifest(1, map[string]any{"name": "branch", "api_keys": []string{"key-1"}}))
	f.first, f.second = l.addNode("edge-a-1"), l.addNode("edge-a-2")
	f.first.start()
	f.second.start()
	f.first.awaitReady()
	f.second.awaitReady()
	// The machines get to know each other.
	time.Sleep(3 * time.Second)
	for i := range streams {
		c := &reader{l: l}
		f.readers = append(f.readers, c)
		f.all.Go(func() {
			c.read(f.first, fmt.Sprintf("%014x01", i+1))
			if c.complete {
				return
			}
			order := f.broken.Add(1)
			<-f.comeBack
			time.Sleep(time.Duration(order) * comeBackGap)
			for try := 2; try <= 4 && !c.complete; try++ {
				c.takeUps++
				c.read(f.second, fmt.Sprintf("%014x%02x", i+1, try))
				time.Sleep(time.Second)
			}
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(2 * time.Second)
	return f
}

// verdict waits for the streams and returns what broke ORDER.
func (f *streamFleet) verdict() string {
	f.all.Wait()
	mixed, complete := 0, 0
	for _, c := range f.readers {
		if len(c.versions) > 1 {
			mixed++
		}
		if c.complete {
			complete++
		}
	}
	f.l.record.line("%d of %d streams complete, %d broke off once, %d hold events of two versions", complete, len(f.readers), f.broken.Load(), mixed)
	if complete == 0 {
		fail("no stream was complete")
	}
	if f.l.trouble && f.broken.Load() <= mixedAllowed {
		fail("only %d streams broke off", f.broken.Load())
	}
	if mixed > mixedAllowed {
		return fmt.Sprintf("ORDER: %d streams hold events of two versions", mixed)
	}
	return ""
}

// mixedAllowed is how many streams may hold events of two versions.
const mixedAllowed = 2

// takeUp lets one server crash and start again a second later under its id as another version. The consumers whose
// streams broke then take them up at the other machine. Machines read the changes of the servers' entries about every
// 1.3 s; the server starts just after the other machine has read them, so that it reads the new entry a second later.
func takeUp(l *lab) string {
	f := l.startStreams(streamCount, "v1", "v1", "v1", "v1")
	if l.trouble {
		f.engines[0].crash()
		time.Sleep(time.Second)
		f.second.storePath.awaitRead()
		f.engines[0].start("v2")
	}
	time.Sleep(100 * time.Millisecond)
	close(f.comeBack)
	return f.verdict()
}

// lateEntry is takeUp with consumers that come back only after the other machine has read the new entry of the server.
// The store then applies a write of the server's previous process, which it had not answered, some seconds late. The
// consumers come back once the other machine has read that.
func lateEntry(l *lab) string {
	f := l.startStreams(streamCount, "v1", "v1", "v1", "v1")
	if !l.trouble {
		close(f.comeBack)
		return f.verdict()
	}
	e := f.engines[0]
	e.mu.Lock()
	late := e.entry()
	e.mu.Unlock()
	l.record.line("server %s writes its entry, version v1, born %v; the store does not answer", e.id, late["born"])
	e.crash()
	time.Sleep(time.Second)
	e.start("v2")
	time.Sleep(20 * time.Millisecond)
	f.second.storePath.awaitRead()
	l.record.line("%s has read the new entry of %s", f.second.name, e.id)
	e.awaitBeat()
	if os.Getenv("LATE") != "0" {
		check(l.store.Put("servers", e.id, late))
		l.record.line("the store applies the write of %s: version v1, born %v", e.id, late["born"])
	}
	f.second.storePath.awaitRead()
	time.Sleep(20 * time.Millisecond)
	close(f.comeBack)
	return f.verdict()
}

// awaitBeat waits until the server has written its entry once more.
func (e *engine) awaitBeat() {
	e.mu.Lock()
	before := e.sequence
	e.mu.Unlock()
	for range 3000 {
		e.mu.Lock()
		hasWritten := e.sequence != before
		e.mu.Unlock()
		if hasWritten {
			return
		}
		time.Sleep(time.Millisecond)
	}
	fail("%s has not written its entry for 3 s", e.id)
}
