package hostile_test

import (
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/soak"
)

// Guards against a host whose memory is taken by another host that sends bytes without end, which it asks for its state at the start.
func TestEndlessPeersFitIntoMemory(t *testing.T) {
	program := buildNode(t)
	for name, c := range map[string]struct{ beginning, block string }{
		"a head":     {"HTTP/1.1 200 OK\r\n", strings.Repeat("A: xxxxxxxxxxx\r\n", 4<<10)},
		"a body":     {"HTTP/1.1 200 OK\r\n\r\n", strings.Repeat("x", 64<<10)},
		"a string":   {"HTTP/1.1 200 OK\r\n\r\n\xa1\x01\x5b\x00\x00\x00\x7f\xff\xff\xff\xff", strings.Repeat("x", 64<<10)},
		"an array":   {"HTTP/1.1 200 OK\r\n\r\n\xa1\x01\x9f", strings.Repeat("\xa0", 64<<10)},
		"compressed": {"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\n\r\n", strings.Repeat("x", 64<<10)},
	} {
		t.Run(name, func(t *testing.T) {
			h, err := soak.StartHost(soak.HostOptions{
				Program: program, Folder: t.TempDir(), MemoryMB: hostMemoryMB, Peers: []string{"127.0.0.2", "127.0.0.3", "127.0.0.4"},
				ServePeer: func(address string) error {
					_, err := serveEndlessAt(t, address, c.beginning, c.block)
					return err
				},
			})
			if err != nil {
				t.Fatal(err)
			}
			defer h.Stop()
			time.Sleep(2 * time.Second)
			checkHost(t, h)
		})
	}
}
