package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Timing of the drills.
const (
	// copyAge is how old the copy is from which the store comes back, awayTime how long it is away before.
	copyAge  = 3 * time.Second
	awayTime = 1500 * time.Millisecond
	// settleTime is more than the 3 s of a lease.
	settleTime = 4 * time.Second
)

// drills lets the store come back from a copy some seconds old, twice. All machines run on, and one of them must report the
// usage after each drill.
func drills(l *lab) string {
	l.addServer("i-ledger-1", "ledger", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "balance 120") })
	services := []map[string]any{{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}}
	l.operatorWrites(manifest(1, []map[string]any{route("/balance/", "safe", "ledger", 1500)}, services, []map[string]any{{"name": "branch", "api_keys": []string{"key-1"}}}))
	machines, times := 2, 2
	// Without these variables the counts stay as they are.
	_, _ = fmt.Sscan(os.Getenv("MACHINES"), &machines)
	_, _ = fmt.Sscan(os.Getenv("DRILLS"), &times)
	var nodes []*node
	for i := range machines {
		nodes = append(nodes, l.addNode(fmt.Sprintf("edge-a-%d", i+1)))
	}
	for _, n := range nodes {
		n.start()
	}
	for _, n := range nodes {
		n.awaitReady()
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, n := range nodes {
		go func() {
			for i := 0; ctx.Err() == nil; i++ {
				r, err := client.Do(newRequest(ctx, n, http.MethodGet, "/balance/7", fmt.Sprintf("%s-%d", n.name, i), "key-1", nil))
				if err == nil {
					_ = r.Body.Close()
				}
				time.Sleep(200 * time.Millisecond)
			}
		}()
	}
	if l.awaitReport(nodes, nil, 30*time.Second) == nil {
		fail("no usage report within 30 s")
	}
	time.Sleep(2 * reportWindow)
	for drill := range times {
		if l.trouble {
			l.drill(nodes)
		}
		// A report may still come under a lease from before the drill.
		time.Sleep(settleTime)
		from := time.Now()
		limit := 3*reportWindow + usageLate
		if drill == times-1 {
			limit = observed
		}
		if l.reportAfter(from, limit) {
			continue
		}
		for _, n := range nodes {
			r, err := http.Get("http://" + n.ready + "/api/readyz")
			check(err)
			_ = r.Body.Close()
			l.record.line("%s is ready: %d", n.name, r.StatusCode)
		}
		return fmt.Sprintf("Duty: no usage report came in the %v after drill %d; %d windows were due", limit, drill+1, int((limit-usageLate)/reportWindow))
	}
	return ""
}

// drill restores the store from a copy.
func (l *lab) drill(nodes []*node) {
	backup := l.store.Backup()
	l.record.line("a copy of the store is made")
	time.Sleep(copyAge)
	for _, n := range nodes {
		n.storePath.set(true)
	}
	l.record.line("the store is away")
	time.Sleep(awayTime)
	l.store.Restore(backup)
	for _, n := range nodes {
		n.storePath.set(false)
	}
	l.record.line("the store is back from the copy; the operator and the servers have written again")
}

// reportAfter waits for a usage report that arrives after a time.
func (l *lab) reportAfter(from time.Time, limit time.Duration) bool {
	for time.Since(from) < limit {
		if last, ok := l.cloud.last(); ok && last.at.After(from) {
			return true
		}
		time.Sleep(50 * time.Millisecond)
	}
	return false
}
