package hostile_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// serveEndless answers each request with a beginning and then repeats a block until the client closes the connection. With
// an empty block it sends nothing more.
func serveEndless(t *testing.T, beginning, block string) (address string) {
	t.Helper()
	address, err := serveEndlessAt(t, "127.0.0.1:0", beginning, block)
	if err != nil {
		t.Fatal(err)
	}
	return address
}

func serveEndlessAt(t *testing.T, at, beginning, block string) (address string, err error) {
	listener, err := net.Listen("tcp", at)
	if err != nil {
		return "", err
	}
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				_, err = io.WriteString(c, strings.ReplaceAll(beginning, "%id", r.Header.Get("X-Attempt-Id")))
				if block == "" {
					_, _ = io.Copy(io.Discard, c)
					return
				}
				for err == nil {
					_, err = io.WriteString(c, block)
				}
			}()
		}
	}()
	return listener.Addr().String(), nil
}

// Guards against a host whose memory is taken by endpoints that send bytes without end to many requests at once.
func TestManyEndlessResponsesFitIntoMemory(t *testing.T) {
	const callers, endpoints = 300, 6
	head := "HTTP/1.1 200 OK\r\nX-Attempt-Id: %id\r\nX-Server-Seal: s\r\n"
	program := buildNode(t)
	for name, c := range map[string]struct {
		kind             standin.RequestKind
		beginning, block string
	}{
		"an event":                              {standin.Resume, head + "Content-Type: text/event-stream\r\n\r\ndata: ", strings.Repeat("x", 4<<10)},
		"an event that does not end, and stops": {standin.Resume, head + "Content-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("x", 250<<10), ""},
		"a body that does not end, and stops":   {standin.Resume, head + "Content-Length: 70000\r\n\r\n" + strings.Repeat("x", 63<<10), ""},
		"a head that does not end, and stops":   {standin.Resume, head + "A: " + strings.Repeat("x", 62<<10), ""},
		"lines of one":                          {standin.Resume, head + "Content-Type: text/event-stream\r\n\r\n", strings.Repeat("data: x\n", 512)},
		"a head":                                {standin.Resume, head, strings.Repeat("A: xxxxxxxxxxx\r\n", 256)},
		"a header":                              {standin.Resume, head + "A: ", strings.Repeat("x", 4<<10)},
		"informational":                         {standin.Resume, "", strings.Repeat("HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\n", 128)},
		"a body":                                {standin.Resume, head + "\r\n", strings.Repeat("x", 4<<10)},
		"a chunk":                               {standin.Resume, head + "Transfer-Encoding: chunked\r\n\r\nfffffff0\r\n", strings.Repeat("x", 4<<10)},
		"a trailer":                             {standin.Resume, head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", strings.Repeat("A: xxxxxxxxxxx\r\n", 256)},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := soak.StartHost(soak.HostOptions{Program: program, Folder: t.TempDir(), MemoryMB: hostMemoryMB})
			if err != nil {
				t.Fatal(err)
			}
			defer h.Stop()
			for i := range endpoints {
				if err := h.PutEndpoint(fmt.Sprint("endless-", i), standin.StreamService, serveEndless(t, c.beginning, c.block)); err != nil {
					t.Fatal(err)
				}
			}
			ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
			defer cancel()
			var group sync.WaitGroup
			for i := range callers {
				group.Go(func() {
					for try := 0; ctx.Err() == nil; try++ {
						_, _ = h.Send(ctx, c.kind, fmt.Sprint("request-", i, "-", try), "body")
					}
				})
			}
			group.Wait()
			checkHost(t, h)
		})
	}
}

// Guards against a host whose memory is taken by a store, a cloud or another host that sends bytes without end.
func TestEndlessPlatformFitsIntoMemory(t *testing.T) {
	program := buildNode(t)
	for name, c := range map[string]struct{ beginning, block string }{
		"a head":       {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n", strings.Repeat("A: xxxxxxxxxxx\r\n", 4<<10)},
		"a body":       {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n", strings.Repeat("x", 64<<10)},
		"rows":         {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n{\"schema_version\":99,\"rows\":[{}", strings.Repeat(",{\"table\":\"t\"}", 4<<10)},
		"a row":        {"HTTP/1.1 200 OK\r\nStore-Era: 1\r\n\r\n{\"schema_version\":99,\"rows\":[{\"value\":\"", strings.Repeat("A", 64<<10)},
		"a failure":    {"HTTP/1.1 500 Internal Server Error\r\n\r\n", strings.Repeat("x", 64<<10)},
		"a chunk":      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nfffffff0\r\n", strings.Repeat("x", 64<<10)},
		"deep nesting": {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("[", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveEndless(t, c.beginning, c.block)
			var broken atomic.Bool
			endless := func(sound http.Handler) http.Handler {
				return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if !broken.Load() {
						sound.ServeHTTP(w, r)
						return
					}
					spliceTo(w, r, address)
				})
			}
			h, err := soak.StartHost(soak.HostOptions{Program: program, Folder: t.TempDir(), MemoryMB: hostMemoryMB, WrapStore: endless, WrapCloud: endless})
			if err != nil {
				t.Fatal(err)
			}
			defer h.Stop()
			checkServes(t, h)
			broken.Store(true)
			time.Sleep(4 * time.Second)
			broken.Store(false)
			checkHost(t, h)
		})
	}
}

// spliceTo passes a request on to an address and copies what it sends until one side closes its connection.
func spliceTo(w http.ResponseWriter, r *http.Request, address string) {
	client, _, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = client.Close() }()
	server, err := net.Dial("tcp", address)
	if err != nil {
		return
	}
	defer func() { _ = server.Close() }()
	_, _ = io.WriteString(server, r.Method+" / HTTP/1.1\r\nHost: h\r\n\r\n")
	_, _ = io.Copy(client, server)
}
