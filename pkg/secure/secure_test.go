package secure_test

import (
	"crypto/tls"
	"io"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"ironhollow/pkg/secure"
)

func files(dir string) secure.Files {
	return secure.Files{
		Cert: filepath.Join(dir, secure.FilePeer), Key: filepath.Join(dir, secure.FilePeerKey), CA: filepath.Join(dir, secure.FileCA),
	}
}

func newSet(t *testing.T) (string, *secure.Loader) {
	t.Helper()
	dir := t.TempDir()
	if err := secure.GenerateCertificates(dir, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now()); err != nil {
		t.Fatal(err)
	}
	loader, err := secure.Load(files(dir))
	if err != nil {
		t.Fatal(err)
	}
	return dir, loader
}

// shake connects two sides over the loopback and returns the server's
// certificate serial as the client saw it.
func shake(t *testing.T, server, client *tls.Config) (string, uint16, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			// A refused client gets an alert in place of this byte.
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = conn.Close() }()
	// In TLS 1.3 a client learns of its refusal only when it reads.
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return "", 0, err
	}
	state := conn.ConnectionState()
	return state.PeerCertificates[0].SerialNumber.String(), state.Version, nil
}

func TestOwnProcessesKnowEachOtherAndNobodyElse(t *testing.T) {
	_, site := newSet(t)
	_, other := newSet(t)
	_, version, err := shake(t, site.PeerServerConfig(), site.PeerClientConfig())
	if err != nil || version != tls.VersionTLS13 {
		t.Errorf("same site: got version %x, %v; want TLS 1.3", version, err)
	}
	cases := map[string][2]*tls.Config{
		"a client of another site":      {site.PeerServerConfig(), other.PeerClientConfig()},
		"a server of another site":      {other.PeerServerConfig(), site.PeerClientConfig()},
		"a client without certificate":  {site.PeerServerConfig(), {InsecureSkipVerify: true}},
		"a client of an older protocol": {site.PeerServerConfig(), {InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}},
	}
	for name, c := range cases {
		if _, _, err := shake(t, c[0], c[1]); err == nil {
			t.Errorf("%s: got a connection, want none", name)
		}
	}
}

// TestKeysAreRotatedWithoutARestart renews certificates, and then breaks a file:
// the keys that were good stay in force.
func TestKeysAreRotatedWithoutARestart(t *testing.T) {
	dir, loader := newSet(t)
	before, _, err := shake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	if err := secure.GenerateCertificates(dir, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	loader.Recheck()
	after, _, err := shake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil || after == before {
		t.Errorf("after renewal: got certificate %s, %v; want another than %s", after, err, before)
	}
	if err := os.WriteFile(filepath.Join(dir, secure.FilePeer), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	loader.Recheck()
	still, _, err := shake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil || still != after {
		t.Errorf("with a broken file: got %s, %v; want %s still", still, err, after)
	}
	if _, err := secure.Load(files(dir)); err == nil {
		t.Error("a start with a broken file: got no error")
	}
}
