package control

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace"

	"ironhollow/pkg/code"
	"ironhollow/pkg/standin/tables"
)

const stopSettings = `[node]
id = c1
data-center = dc1
operator-address = %s
admin-address = %s
entries = %s
[platform]
table = %s
cloud = %s
host-list = %s
`

func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

// Guards against an apply whose connection closes without an answer when the process stops.
func TestApplyInProgressIsAnsweredWhenTheProcessStops(t *testing.T) {
	for name, c := range map[string]struct {
		fault  tables.Fault
		status int
		want   string
	}{
		"slow store":   {tables.Delay{Duration: time.Second}, http.StatusOK, `"revision":1`},
		"failed store": {tables.Down{}, code.ApplyUnknown.Status(), code.ApplyUnknown.Name()},
	} {
		rows, mux := tables.New(), http.NewServeMux()
		var commits atomic.Int64
		rows.SetFaults(func(call tables.Call) tables.Fault {
			switch {
			case call.Operation == tables.OperationCommit && strings.HasPrefix(call.Key, "config/"):
				commits.Add(1)
				return c.fault
			case commits.Load() > 0 && call.Operation == tables.OperationGet:
				return c.fault
			}
			return tables.NoFault{}
		})
		rows.Register(mux)
		platform := httptest.NewServer(mux)
		t.Cleanup(platform.Close)
		store, address := platform.Listener.Addr().String(), freeAddress(t)
		settings, err := ParseSettings("test.ini", fmt.Appendf(nil, stopSettings, address, freeAddress(t), freeAddress(t), store, store, store))
		if err != nil {
			t.Fatal(err)
		}
		lifetime, end := context.WithCancel(t.Context())
		app, err := build(lifetime, settings, 1, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}, prometheus.NewRegistry(), trace.NewTracerProvider())
		if err != nil {
			t.Fatal(err)
		}
		stop, stopNow := context.WithCancel(t.Context())
		served := make(chan error, 1)
		go func() { served <- app.Serve(stop, lifetime) }()
		answered := make(chan string, 1)
		go func() { answered <- apply(address) }()
		for deadline := time.Now().Add(5 * time.Second); commits.Load() == 0 && time.Now().Before(deadline); {
			time.Sleep(5 * time.Millisecond)
		}
		stopNow()
		if err := <-served; err != nil {
			t.Fatal(err)
		}
		select {
		case got := <-answered:
			if !strings.HasPrefix(got, fmt.Sprint(c.status)) || !strings.Contains(got, c.want) {
				t.Errorf("%s: got %s, want %d with %s", name, got, c.status, c.want)
			}
		case <-time.After(100 * time.Millisecond):
			t.Errorf("%s: the process has stopped and the apply has no answer", name)
		}
		end()
	}
}

// apply applies an empty configuration and returns the status and the body of the response.
func apply(address string) string {
	for range 1000 {
		body := strings.NewReader(`{"seen":0,"request":"r","sections":[]}`)
		response, err := http.Post("http://"+address+"/v1/config", "application/json", body)
		if err != nil && strings.Contains(err.Error(), "refused") {
			time.Sleep(5 * time.Millisecond)
			continue
		}
		if err != nil {
			return err.Error()
		}
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		return fmt.Sprint(response.StatusCode, " ", string(data), " ", err)
	}
	return "the process does not listen"
}
