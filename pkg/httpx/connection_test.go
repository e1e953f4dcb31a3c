package httpx_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"ironhollow/pkg/httpx"
)

// Guards against errors of calls that look the same for a silent connection and an unavailable server.
func TestErrorStatesWhetherConnectionWasReused(t *testing.T) {
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-silent
		}
	}))
	defer server.Close()
	defer close(silent)
	unused := boundAddress(t)
	client := httpx.NewClient(1)
	call := func(url string) error {
		ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
		defer cancel()
		ctx, connection := httpx.TraceConnection(ctx)
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err == nil {
			err = response.Body.Close()
		}
		return connection.Wrap(err)
	}
	for _, c := range []struct{ url, want string }{
		{server.URL + "/silent", "(new connection)"},
		{server.URL + "/", ""},
		{server.URL + "/silent", "(connection reused after "},
		{"http://" + unused, "(no connection)"},
	} {
		got := ""
		if err := call(c.url); err != nil {
			got = err.Error()
		}
		if (got == "") != (c.want == "") || !strings.Contains(got, c.want) {
			t.Errorf("%s: got error %q, want one with %q", c.url, got, c.want)
		}
	}
}

// boundAddress returns an address that refuses connections, and that no other process can take during the test.
func boundAddress(t *testing.T) string {
	t.Helper()
	socket, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(socket) })
	if err := syscall.Bind(socket, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(socket)
	if err != nil {
		t.Fatal(err)
	}
	return fmt.Sprintf("127.0.0.1:%d", name.(*syscall.SockaddrInet4).Port)
}

// Guards against calls that are repeated on the other connections of a pool after one broke off its response.
func TestConnectionsAreRenewedAfterFailure(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/broken":
			// The other call ends first, so that its connection is idle.
			time.Sleep(50 * time.Millisecond)
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("half"))
		case "/slow":
			<-r.Context().Done()
		}
	}))
	t.Cleanup(server.Close)
	client := &http.Client{Transport: httpx.NewRenewingTransport(&http.Transport{})}
	// call makes a call and reports whether it reused a connection.
	call := func(ctx context.Context, path string) (reused bool) {
		ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { reused = info.Reused }})
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, server.URL+path, nil)
		if err != nil {
			t.Fatal(err)
		}
		if response, err := client.Do(request); err == nil {
			_, _ = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		return reused
	}
	background := context.Background()
	for _, c := range []struct {
		path       string
		cancels    bool
		wantReused bool
	}{{"/", false, true}, {"/broken", false, false}, {"/slow", false, false}, {"/slow", true, true}} {
		call(background, "/")
		ctx, cancel := context.WithTimeout(background, 100*time.Millisecond)
		if c.cancels {
			time.AfterFunc(20*time.Millisecond, cancel)
		}
		var failing sync.WaitGroup
		failing.Go(func() { call(ctx, c.path) })
		time.Sleep(10 * time.Millisecond)
		call(background, "/")
		failing.Wait()
		if got := call(background, "/"); got != c.wantReused {
			t.Errorf("%+v: got next call on a reused connection %v, want %v", c, got, c.wantReused)
		}
		cancel()
	}
}
