package httpx_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/httpx"
)

// Guards against errors of calls that do not tell a silent connection from an unavailable server.
func TestErrorTellsWhetherConnectionWasReused(t *testing.T) {
	silent := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/silent" {
			<-silent
		}
	}))
	defer server.Close()
	defer close(silent)
	unused, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = unused.Close()
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
		{"http://" + unused.Addr().String(), "(no connection)"},
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
