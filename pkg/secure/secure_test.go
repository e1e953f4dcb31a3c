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

func peerFiles(dir string) secure.Files {
	return secure.Files{
		Cert: filepath.Join(dir, secure.FilePeer), Key: filepath.Join(dir, secure.FilePeerKey), CA: filepath.Join(dir, secure.FileCA),
	}
}

func newCertificates(t *testing.T) (string, *secure.Loader) {
	t.Helper()
	dir := t.TempDir()
	if err := secure.GenerateCertificates(dir, []net.IP{net.IPv4(127, 0, 0, 1)}, time.Now()); err != nil {
		t.Fatal(err)
	}
	loader, err := secure.Load(peerFiles(dir))
	if err != nil {
		t.Fatal(err)
	}
	return dir, loader
}

// handshake connects a client to a server over the loopback interface and returns the serial number
// of the server's certificate and the TLS version.
func handshake(t *testing.T, server, client *tls.Config) (string, uint16, error) {
	t.Helper()
	listener, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	go func() {
		conn, err := listener.Accept()
		if err == nil {
			// A rejected client gets an alert instead of this byte.
			_, _ = conn.Write([]byte("x"))
			_ = conn.Close()
		}
	}()
	conn, err := tls.Dial("tcp", listener.Addr().String(), client)
	if err != nil {
		return "", 0, err
	}
	defer func() { _ = conn.Close() }()
	// In TLS 1.3 a client learns that it was rejected only when it reads.
	if _, err := io.ReadFull(conn, make([]byte, 1)); err != nil {
		return "", 0, err
	}
	state := conn.ConnectionState()
	return state.PeerCertificates[0].SerialNumber.String(), state.Version, nil
}

func TestPeersTrustOnlyTheirOwnSite(t *testing.T) {
	_, site := newCertificates(t)
	_, other := newCertificates(t)
	_, version, err := handshake(t, site.PeerServerConfig(), site.PeerClientConfig())
	if err != nil || version != tls.VersionTLS13 {
		t.Errorf("same site: got version %x, %v; want TLS 1.3", version, err)
	}
	cases := map[string][2]*tls.Config{
		"a client of another site":       {site.PeerServerConfig(), other.PeerClientConfig()},
		"a server of another site":       {other.PeerServerConfig(), site.PeerClientConfig()},
		"a client without a certificate": {site.PeerServerConfig(), {InsecureSkipVerify: true}},
		"a client of an older protocol":  {site.PeerServerConfig(), {InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12}},
	}
	for name, c := range cases {
		if _, _, err := handshake(t, c[0], c[1]); err == nil {
			t.Errorf("%s: got a connection, want none", name)
		}
	}
}

// Renews the certificates, and then corrupts a file: the last good keys must stay in force.
func TestKeysRotateWithoutRestart(t *testing.T) {
	dir, loader := newCertificates(t)
	before, _, err := handshake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil {
		t.Fatal(err)
	}
	if err := secure.GenerateCertificates(dir, nil, time.Now()); err != nil {
		t.Fatal(err)
	}
	loader.Recheck()
	after, _, err := handshake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil || after == before {
		t.Errorf("after renewal: got certificate %s, %v; want another than %s", after, err, before)
	}
	if err := os.WriteFile(filepath.Join(dir, secure.FilePeer), []byte("half"), 0o600); err != nil {
		t.Fatal(err)
	}
	loader.Recheck()
	afterBadFile, _, err := handshake(t, loader.PeerServerConfig(), loader.PeerClientConfig())
	if err != nil || afterBadFile != after {
		t.Errorf("with a corrupt file: got certificate %s, %v; want %s as before", afterBadFile, err, after)
	}
	if _, err := secure.Load(peerFiles(dir)); err == nil {
		t.Error("Load with a corrupt file: got no error")
	}
}
