// Package secure makes and loads keys and certificates. Files are read again
// when they change, so that keys are rotated without a restart.
package secure

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"
)

// recheck is how often files are looked at.
const recheck = 2 * time.Second

// Files names one side's PEM files.
type Files struct {
	Cert, Key string
	// CA signed the other side's certificate; empty where that shows none.
	CA string
}

// Empty reports whether no TLS is asked for.
func (f Files) Empty() bool { return f.Cert == "" && f.Key == "" && f.CA == "" }

// Loader holds what was read of the files last.
type Loader struct {
	files Files

	mu      sync.Mutex
	checked time.Time
	stamp   string
	cert    *tls.Certificate
	pool    *x509.CertPool
}

// Load reads the files; errors name the file at fault.
func Load(files Files) (*Loader, error) {
	l := &Loader{files: files}
	if err := l.read(); err != nil {
		return nil, err
	}
	return l, nil
}

// read replaces what is held. Files that can't be read leave it as it was, so
// that a rotation half done does no harm.
func (l *Loader) read() error {
	cert, err := tls.LoadX509KeyPair(l.files.Cert, l.files.Key)
	if err != nil {
		return fmt.Errorf("secure: %s, %s: %w", l.files.Cert, l.files.Key, err)
	}
	var pool *x509.CertPool
	if l.files.CA != "" {
		pem, err := os.ReadFile(l.files.CA)
		if err != nil {
			return fmt.Errorf("secure: %w", err)
		}
		pool = x509.NewCertPool()
		if !pool.AppendCertsFromPEM(pem) {
			return fmt.Errorf("secure: %s holds no certificate", l.files.CA)
		}
	}
	l.cert, l.pool, l.stamp = &cert, pool, l.stampNow()
	return nil
}

// stampNow tells versions of the files apart.
func (l *Loader) stampNow() string {
	stamp := ""
	for _, name := range []string{l.files.Cert, l.files.Key, l.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stamp += fmt.Sprintf("%s %d %d;", name, info.ModTime().UnixNano(), info.Size())
		}
	}
	return stamp
}

// current returns what is in force, reading changed files first.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.checked) > recheck {
		l.checked = now
		if l.stampNow() != l.stamp {
			// An error leaves the old keys in force until the files are whole.
			_ = l.read()
		}
	}
	return l.cert, l.pool
}

// Recheck makes the next use look at the files, however lately that was done.
func (l *Loader) Recheck() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checked = time.Time{}
}

// errName says that the other side's certificate is not of this site.
var errName = errors.New("secure: certificate is not signed by the site's authority")

// PeerServerConfig returns settings for a server of own processes: TLS 1.3, both
// sides showing certificates of the site's authority.
func (l *Loader) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
		VerifyPeerCertificate: l.verify,
	}
}

// PeerClientConfig returns settings for a client of own processes. Peers are known
// by the authority, not by name: they have IP numbers that come and go.
func (l *Loader) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // Names are not checked; verify checks the rest.
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
		VerifyPeerCertificate: l.verify,
	}
}

// ServerConfig returns settings for a server towards callers or operators.
func (l *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
	}
}

func (l *Loader) verify(raw [][]byte, _ [][]*x509.Certificate) error {
	_, pool := l.current()
	if len(raw) == 0 || pool == nil {
		return errName
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	between := x509.NewCertPool()
	for _, der := range raw[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			between.AddCert(cert)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: pool, Intermediates: between, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return fmt.Errorf("%w: %w", errName, err)
	}
	return nil
}
