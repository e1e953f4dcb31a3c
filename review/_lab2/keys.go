package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"
)

// keys takes a tenant's keys away by a manifest without the tenant, the last one. Requests with its dropped key and
// with a key that no manifest ever held must not run.
func keys(l *lab) string {
	ledger := l.addServer("i-ledger-1", "ledger", func(w http.ResponseWriter, _ *http.Request, _ int) {
		_, _ = io.WriteString(w, "balance 120")
	})
	routes := []map[string]any{route("/balance/", "safe", "ledger", 1500)}
	services := []map[string]any{{"name": "ledger", "health_path": "/healthz", "max_conns": 110, "protocol": "h1", "tls": false}}
	branch := map[string]any{"name": "branch", "api_keys": []string{"key-held"}}
	l.operatorWrites(manifest(1, routes, services, []map[string]any{branch}))
	n := l.addNode("edge-a-1")
	n.start()
	n.awaitReady()
	sent := 0
	send := func(key string) (status int, ran bool) {
		sent++
		id := fmt.Sprintf("%016x", sent)
		l.record.line("consumer sends %s with key %q", id, key)
		r, err := client.Do(newRequest(context.Background(), n, http.MethodGet, "/balance/7", id, key, nil))
		check(err)
		body, _ := io.ReadAll(r.Body)
		_ = r.Body.Close()
		l.record.line("consumer gets %d for %s: %q", r.StatusCode, id, body)
		return r.StatusCode, ledger.ran(id)
	}
	if status, ran := send("key-held"); status != http.StatusOK || !ran {
		fail("before the change: got %d for a key in force", status)
	}
	if status, ran := send("key-never-held"); status != http.StatusUnauthorized || ran {
		fail("before the change: got %d for an unknown key", status)
	}
	if l.trouble {
		l.operatorWrites(manifest(2, routes, services, []map[string]any{}))
	}
	// Twice the time within which a manifest has to be in force.
	time.Sleep(2 * configApply)
	droppedRan, neverHeldRan, withoutRan := 0, 0, 0
	for range 5 {
		if _, ran := send("key-never-held"); ran {
			neverHeldRan++
		}
		if _, ran := send("key-held"); ran && l.trouble {
			droppedRan++
		}
		if _, ran := send(""); ran {
			withoutRan++
		}
		time.Sleep(200 * time.Millisecond)
	}
	if neverHeldRan+droppedRan+withoutRan == 0 {
		return ""
	}
	return fmt.Sprintf("ROUTE: %d of 5 requests ran with a key that no manifest ever held; CONFIG: %d of 5 ran with a key dropped over %v before; %d of 5 ran without a key", neverHeldRan, droppedRan, 2*configApply, withoutRan)
}
