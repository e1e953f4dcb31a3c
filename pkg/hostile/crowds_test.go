package hostile_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// crowdSize is the number of clients at a time, crowdBody the longest body that the configuration allows.
const (
	crowdSize = 150
	crowdBody = 1 << 20
)

// crowdHead is the head of a request, without its framing.
func crowdHead(id string) string {
	return "POST /once/x HTTP/1.1\r\nHost: " + standin.HostName + "\r\nX-Attempt-Id: " + id + "\r\nAuthorization: Bearer " + standin.APIKey + "\r\n"
}

// Guards against clients that end a host with bodies: many at once that stop short of their end and stay open, and bodies beyond
// the limit. The host answers ordinary requests meanwhile and afterwards.
func TestCrowdsOfBodiesFitIntoMemory(t *testing.T) {
	program := buildNode(t)
	piece := strings.Repeat("b", 64<<10)
	short := strings.Repeat("b", crowdBody-10)
	chunks := fmt.Sprintf("%x\r\n%s\r\n", len(piece), piece)
	for name, send := range map[string]func(ctx context.Context, c net.Conn, id string){
		"whole, short of the end": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody)+short)
		},
		"in pieces, short of the end": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody))
			for range crowdBody/len(piece) - 1 {
				_, _ = io.WriteString(c, piece)
				time.Sleep(5 * time.Millisecond)
			}
		},
		"in large chunks, short of the end": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+"Transfer-Encoding: chunked\r\n\r\n"+strings.Repeat(chunks, crowdBody/len(piece)-1))
		},
		"in chunks of a byte, short of the end": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+"Transfer-Encoding: chunked\r\n\r\n")
			for range crowdBody / (4 << 10) {
				_, _ = io.WriteString(c, strings.Repeat("1\r\nb\r\n", 4<<10))
			}
		},
		"beyond the limit, announced": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", 64*crowdBody))
			for range 4 * crowdBody / len(piece) {
				if _, err := io.WriteString(c, piece); err != nil {
					return
				}
			}
		},
		"beyond the limit, in chunks": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+"Transfer-Encoding: chunked\r\n\r\n")
			for range 4 * crowdBody / len(piece) {
				if _, err := io.WriteString(c, chunks); err != nil {
					return
				}
			}
		},
		"announced only": func(_ context.Context, c net.Conn, id string) {
			_, _ = io.WriteString(c, crowdHead(id)+fmt.Sprintf("Content-Length: %d\r\n\r\n", crowdBody))
		},
		"short ones, short of the end": func(ctx context.Context, c net.Conn, id string) {
			// Each client has several connections.
			for i := range 8 {
				more, err := net.Dial("tcp", c.RemoteAddr().String())
				if err != nil {
					return
				}
				context.AfterFunc(ctx, func() { _ = more.Close() })
				_, _ = io.WriteString(more, crowdHead(id+fmt.Sprint("-", i))+fmt.Sprintf("Content-Length: %d\r\n\r\n%s", 60<<10, piece[:50<<10]))
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := soak.StartHost(soak.HostOptions{Program: program, Folder: t.TempDir(), MemoryMB: hostMemoryMB})
			if err != nil {
				t.Fatal(err)
			}
			defer h.Stop()
			checkServes(t, h)
			ctx, leave := context.WithCancel(t.Context())
			var arriving, open sync.WaitGroup
			for i := range crowdSize {
				arriving.Add(1)
				open.Go(func() {
					c, err := net.Dial("tcp", h.Address())
					if err != nil {
						arriving.Done()
						return
					}
					defer func() { _ = c.Close() }()
					// A refused client may not read its response.
					context.AfterFunc(ctx, func() { _ = c.Close() })
					sent := make(chan struct{})
					go func() {
						defer close(sent)
						send(ctx, c, fmt.Sprint("crowd-", i))
					}()
					select {
					case <-sent:
					case <-time.After(2 * time.Second):
					}
					arriving.Done()
					<-ctx.Done()
				})
			}
			arriving.Wait()
			checkServes(t, h)
			leave()
			open.Wait()
			checkHost(t, h)
			if status, err := h.Send(t.Context(), standin.Once, "longest", strings.Repeat("l", crowdBody)); status != 200 {
				t.Errorf("a single request of the longest body in calm: got status %d, error %v, want 200", status, err)
			}
		})
	}
}
