package hostile_test

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/soak"
	"ironhollow/platform/standin"
)

// Guards against clients that keep connections to the lists of a host open for as long as they like, with a body that does not
// end.
func TestStalledBodiesDoNotKeepConnections(t *testing.T) {
	h, err := soak.StartHost(soak.HostOptions{Program: buildNode(t), Folder: t.TempDir(), MemoryMB: hostMemoryMB})
	if err != nil {
		t.Fatal(err)
	}
	defer h.Stop()
	var open []net.Conn
	for range 20 {
		for _, address := range []string{h.DirectoryAddress(), h.ReadyAddress()} {
			c, err := net.Dial("tcp", address)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			_, _ = io.WriteString(c, "GET /api/resolve?name=n HTTP/1.1\r\nHost: h\r\nContent-Length: 100\r\n\r\nhalf")
			open = append(open, c)
		}
	}
	until := time.Now().Add(time.Minute)
	for _, c := range open {
		_ = c.SetReadDeadline(until)
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Fatalf("a client that stalls: got %v, want its connection closed", err)
		}
	}
	response, err := http.Get(standin.DirectoryURL(h.DirectoryAddress()))
	if err != nil || response.StatusCode != http.StatusOK {
		t.Fatalf("the list of hosts: got %v, %v, want 200", response, err)
	}
	_ = response.Body.Close()
	checkHost(t, h)
}
