package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"
)

// Timing of the case.
const (
	reportWindow = 5 * time.Second
	// usageLate is how long after the end of its window a report is due.
	usageLate = 10 * time.Second
	cutTime   = 5500 * time.Millisecond
	// observed is how long the surviving machine has for its first report.
	observed = 45 * time.Second
)

// duties cuts the holder of the duties from the store for some seconds, so that the other machine takes them over. Later
// that machine is removed for good. The first one, whose cut has healed long before, must take them over in turn.
func duties(l *lab) string {
	l.addServer("i-ledger-1", "ledger", func(w http.ResponseWriter, _ *http.Request, _ int) { _, _ = io.WriteString(w, "balance 120") })
	services := []map[string]any{{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}}
	l.operatorWrites(manifest(1, []map[string]any{route("/balance/", "safe", "ledger", 1500)}, services, []map[string]any{{"name": "branch", "api_keys": []string{"key-1"}}}))
	nodes := []*node{l.addNode("edge-a-1"), l.addNode("edge-a-2")}
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
	holder := l.awaitReport(nodes, nil, 30*time.Second)
	if holder == nil {
		fail("no usage report within 30 s")
	}
	other := nodes[0]
	if holder == other {
		other = nodes[1]
	}
	if l.trouble && os.Getenv("CUT") != "0" {
		l.record.line("%s is cut from the store for %v", holder.name, cutTime)
		holder.storePath.set(true)
		time.Sleep(cutTime)
		holder.storePath.set(false)
		l.record.line("%s reaches the store again", holder.name)
	}
	if !l.trouble {
		before, _ := l.cloud.last()
		time.Sleep(reportWindow + usageLate)
		if after, _ := l.cloud.last(); !after.at.After(before.at) {
			return "Duty: no report came without a disruption"
		}
		return ""
	}
	if os.Getenv("CUT") != "0" {
		if l.awaitReport(nodes, holder, 30*time.Second) != other {
			fail("the other machine did not take the duties over")
		}
	} else {
		other, holder = holder, other
	}
	time.Sleep(3 * time.Second)
	l.record.line("%s is removed for good", other.name)
	other.kill()
	removedAt := time.Now()
	for time.Since(removedAt) < observed {
		if last, _ := l.cloud.last(); last.holder == holder.name && last.at.After(removedAt) {
			l.record.line("%s reports %v after the removal", holder.name, last.at.Sub(removedAt))
			return ""
		}
		time.Sleep(100 * time.Millisecond)
	}
	ready, err := http.Get("http://" + holder.ready + "/api/readyz")
	check(err)
	_ = ready.Body.Close()
	return fmt.Sprintf("Duty: %s is ready (%d) and reaches the store, and sent no usage report for %v; %d windows were due", holder.name, ready.StatusCode, observed, int((observed-usageLate)/reportWindow))
}

// awaitReport waits for a report of another machine than besides, and returns the machine.
func (l *lab) awaitReport(nodes []*node, besides *node, limit time.Duration) *node {
	from := time.Now()
	for time.Since(from) < limit {
		last, ok := l.cloud.last()
		for _, n := range nodes {
			if ok && n != besides && last.holder == n.name {
				return n
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}
