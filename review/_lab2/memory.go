package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the bodies. The manifest allows 4 MiB each.
const (
	longestBody = 4 << 20
	// usualUploads is how many consumers send one to a machine at a time on a usual day, burstPercent the burst against that.
	usualUploads = 22
	burstPercent = 170
	waves        = 4
	// uploadRate is the pace of one consumer in bytes a second: all of a burst together stay below the machine's link.
	uploadRate = 1600 << 10
	// restartDelay is the time after which the platform starts an ended process again.
	restartDelay = 500 * time.Millisecond
)

// watchMemory kills the machine's process when it holds more memory than the machine has for it, as the platform does,
// and starts it again. It returns the number of kills so far and the highest figure seen.
func (l *lab) watchMemory(ctx context.Context, n *node) (kills, peak *atomic.Int64) {
	kills, peak = &atomic.Int64{}, &atomic.Int64{}
	go func() {
		for ctx.Err() == nil {
			held := int64(n.residentMB())
			peak.Store(max(peak.Load(), held))
			if held > memoryLimitMB {
				l.record.line("the platform kills the process of %s, which holds %d MB", n.name, held)
				n.kill()
				kills.Add(1)
				time.Sleep(restartDelay)
				n.start()
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	return kills, peak
}

// pacedBody is a body that its consumer sends at uploadRate.
type pacedBody struct {
	left    int
	started time.Time
	sent    int
}

func (b *pacedBody) Read(p []byte) (int, error) {
	if b.left == 0 {
		return 0, io.EOF
	}
	if b.started.IsZero() {
		b.started = time.Now()
	}
	n := min(len(p), b.left, 32<<10)
	for i := range n {
		p[i] = byte('a' + (b.sent+i)%26)
	}
	b.left -= n
	b.sent += n
	time.Sleep(time.Until(b.started.Add(time.Duration(b.sent) * time.Second / uploadRate)))
	return n, nil
}

// memory lets a burst of consumers send bodies of the longest length that the manifest allows.
func memory(l *lab) string {
	uploads := usualUploads
	if l.trouble {
		uploads = usualUploads * burstPercent / 100
	}
	if v, err := strconv.Atoi(os.Getenv("UPLOADS")); err == nil {
		uploads = v
	}
	for i := range 4 {
		l.addServer(fmt.Sprintf("i-files-%d", i), "files", func(w http.ResponseWriter, _ *http.Request, _ int) {
			time.Sleep(2 * time.Second)
			_, _ = io.WriteString(w, "filed")
		})
	}
	services := []map[string]any{{"name": "files", "health_path": "/healthz", "max_conns": 370, "protocol": "h1", "tls": false}}
	l.operatorWrites(manifest(1, []map[string]any{route("/file/", "unsafe", "files", 10000)}, services, []map[string]any{{"name": "branch", "api_keys": []string{"key-1"}}}))
	nodes := []*node{l.addNode("edge-a-1"), l.addNode("edge-a-2")}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var kills, peaks []*atomic.Int64
	for _, n := range nodes {
		n.start()
		n.awaitReady()
		k, p := l.watchMemory(ctx, n)
		kills, peaks = append(kills, k), append(peaks, p)
	}
	var served, lost atomic.Int64
	for i, n := range nodes {
		l.upload(n, fmt.Sprintf("%s-alone-%d", n.name, i), &served, &lost)
	}
	for wave := range waves {
		var all sync.WaitGroup
		for _, n := range nodes {
			n.awaitReady()
			for i := range uploads {
				id := fmt.Sprintf("%s-%d-%d", n.name, wave, i)
				all.Go(func() { l.upload(n, id, &served, &lost) })
			}
		}
		all.Wait()
		time.Sleep(2 * time.Second)
	}
	cancel()
	time.Sleep(restartDelay + 100*time.Millisecond)
	l.record.line("%d bodies at a time to each machine; processes ended %d and %d times, peaks %d and %d MB; %d requests served, %d without an answer", uploads,
		kills[0].Load(), kills[1].Load(), peaks[0].Load(), peaks[1].Load(), served.Load(), lost.Load())
	if served.Load() < int64(len(nodes)) {
		fail("no request was served")
	}
	if kills[0].Load() >= 3 && kills[1].Load() >= 3 {
		return fmt.Sprintf("Fault: on 2 of 2 machines processes ended %d and %d times for memory over the limit; %d requests got no answer", kills[0].Load(), kills[1].Load(), lost.Load())
	}
	return ""
}

// upload sends one request with the longest body.
func (l *lab) upload(n *node, id string, served, lost *atomic.Int64) {
	r := newRequest(context.Background(), n, http.MethodPost, "/file/1", id, "key-1", nil)
	r.Body, r.ContentLength = io.NopCloser(&pacedBody{left: longestBody}), longestBody
	r.Header.Set("X-Deadline-Ms", "10000")
	l.record.line("consumer sends %s to %s, %d bytes", id, n.name, longestBody)
	response, err := client.Do(r)
	if err != nil {
		lost.Add(1)
		l.record.line("consumer gets no answer to %s", id)
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	if response.StatusCode == http.StatusOK {
		served.Add(1)
	}
	l.record.line("consumer gets %d for %s", response.StatusCode, id)
}
