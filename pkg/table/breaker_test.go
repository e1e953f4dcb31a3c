package table_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
	"ironhollow/pkg/table/tablehttp"
)

// slowStore answers each read when its caller sends the result.
type slowStore struct {
	*tables.Store
	results chan chan error
}

func (s slowStore) Get(context.Context, string) (table.Row, bool, error) {
	result := make(chan error)
	s.results <- result
	return table.Row{}, false, <-result
}

// Guards against one outage with several calls in flight keeping the circuit open for many seconds,
// and against two probes at a time.
func TestCallsSentBeforeCircuitOpenedDoNotChangeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := slowStore{Store: tables.New(), results: make(chan chan error, 16)}
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 100, WritesPerSecond: 100})
		get := func(ctx context.Context) error {
			_, _, err := guard.Get(ctx, "k")
			return err
		}
		down := errors.New("down")
		for range 6 {
			go func() { _ = get(context.Background()) }()
		}
		synctest.Wait()
		for range 5 {
			<-store.results <- down
		}
		last := <-store.results
		time.Sleep(time.Second) // The longest time until the first probe.
		go func() { _ = get(context.Background()) }()
		synctest.Wait()
		if len(store.results) != 1 {
			t.Fatalf("a second later: got %d calls at the store, want the probe", len(store.results))
		}
		last <- down
		synctest.Wait()
		if got := guard.Counts().Opened; got != 1 || !guard.CircuitOpen() {
			t.Errorf("after 6 failures of calls sent before: got the circuit opened %d times, want once", got)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		time.Sleep(5 * time.Second)
		if err := get(ctx); !errors.Is(err, table.ErrCircuitOpen) {
			t.Errorf("while the probe is out: got %v, want %v", err, table.ErrCircuitOpen)
		}
		<-store.results <- nil
		synctest.Wait()
		if guard.CircuitOpen() {
			t.Error("after the probe has succeeded: got an open circuit")
		}
	})
}

// Guards against a probe that its caller cancelled closing the circuit.
func TestCancelledProbeLeavesCircuitOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		guard := table.NewGuardedStore(store, table.Budget{ReadsPerSecond: 100, WritesPerSecond: 100})
		for range 5 {
			_, _, _ = guard.Get(context.Background(), "k")
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithCancel(context.Background())
		store.SetFaults(func(tables.Call) tables.Fault {
			cancel()
			return tables.Down{}
		})
		_, _, _ = guard.Get(ctx, "k")
		if !guard.CircuitOpen() {
			t.Error("got a closed circuit, want an open one")
		}
	})
}

// Guards against malformed calls being taken for an outage, which stops all other calls.
func TestBadRequestsDoNotOpenCircuit(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadRequest) }))
	defer server.Close()
	client := tablehttp.NewClient(strings.TrimPrefix(server.URL, "http://"), time.Minute, server.Client())
	guard := table.NewGuardedStore(client, table.Budget{ReadsPerSecond: 100, WritesPerSecond: 100})
	for range 6 {
		if refused, ok := guard.Commit(t.Context(), table.Commit{}).(table.Refused); !ok || !errors.Is(refused.Err, table.ErrBadRequest) {
			t.Fatalf("commit: got %#v, want it refused as a bad request", refused)
		}
		if _, _, err := guard.Get(t.Context(), "k"); !errors.Is(err, table.ErrBadRequest) {
			t.Fatalf("read: got error %v, want %v", err, table.ErrBadRequest)
		}
	}
	if guard.CircuitOpen() {
		t.Error("got an open circuit after bad requests")
	}
}
