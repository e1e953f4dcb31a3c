// Package secure creates and loads keys and certificates. Files are reloaded when they change, so
// that keys can be rotated without a restart.
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

// recheckInterval is the minimum time between checks for changed files.
const recheckInterval = 2 * time.Second

// Files are the paths of the PEM files of one side of a connection.
type Files struct {
	Cert, Key string
	// CA is the certificate of the authority that signs the other side's certificates; empty if
	// the other side shows none.
	CA string
}

// Empty reports whether TLS is off.
func (f Files) Empty() bool { return f.Cert == "" && f.Key == "" && f.CA == "" }

// Loader holds the certificates that were last loaded from files.
type Loader struct {
	files Files

	mu        sync.Mutex
	lastCheck time.Time
	fileStats string
	cert      *tls.Certificate
	caPool    *x509.CertPool
}

// Load loads the files; errors name the file at fault.
func Load(files Files) (*Loader, error) {
	l := &Loader{files: files}
	if err := l.readFiles(); err != nil {
		return nil, err
	}
	return l, nil
}

// readFiles loads the files. If one cannot be read, the loader keeps what it has, so that an
// unfinished rotation does no harm.
func (l *Loader) readFiles() error {
	cert, err := tls.LoadX509KeyPair(l.files.Cert, l.files.Key)
	if err != nil {
		return fmt.Errorf("secure: %s, %s: %w", l.files.Cert, l.files.Key, err)
	}
	var caPool *x509.CertPool
	if l.files.CA != "" {
		caPEM, err := os.ReadFile(l.files.CA)
		if err != nil {
			return fmt.Errorf("secure: %w", err)
		}
		caPool = x509.NewCertPool()
		if !caPool.AppendCertsFromPEM(caPEM) {
			return fmt.Errorf("secure: %s contains no certificate", l.files.CA)
		}
	}
	l.cert, l.caPool, l.fileStats = &cert, caPool, l.statFiles()
	return nil
}

// statFiles returns a text that differs between versions of the files.
func (l *Loader) statFiles() string {
	stats := ""
	for _, name := range []string{l.files.Cert, l.files.Key, l.files.CA} {
		if info, err := os.Stat(name); err == nil {
			stats += fmt.Sprintf("%s %d %d;", name, info.ModTime().UnixNano(), info.Size())
		}
	}
	return stats
}

// current returns the certificate and authorities in force, reloading changed files first.
func (l *Loader) current() (*tls.Certificate, *x509.CertPool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.lastCheck) > recheckInterval {
		l.lastCheck = now
		if l.statFiles() != l.fileStats {
			// On an error the old keys stay in force until the files are complete.
			_ = l.readFiles()
		}
	}
	return l.cert, l.caPool
}

// Recheck makes the next use check the files, even if the last check was a short time ago.
func (l *Loader) Recheck() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastCheck = time.Time{}
}

// errUntrusted is returned if the other side's certificate is not of this site.
var errUntrusted = errors.New("secure: certificate is not signed by the site's authority")

// PeerServerConfig returns the settings of a server for the system's own processes: TLS 1.3, with
// certificates of the site's authority on both sides.
func (l *Loader) PeerServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		ClientAuth:            tls.RequireAnyClientCert,
		GetCertificate:        func(*tls.ClientHelloInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
		VerifyPeerCertificate: l.verify,
	}
}

// PeerClientConfig returns the settings of a client of the system's own processes. Peers are
// verified by the authority and not by name, because their IP addresses change.
func (l *Loader) PeerClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion:            tls.VersionTLS13,
		InsecureSkipVerify:    true, // Names are not verified; verify checks the chain to the authority.
		GetClientCertificate:  func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
		VerifyPeerCertificate: l.verify,
	}
}

// ServerConfig returns the settings of a server for callers or operators.
func (l *Loader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:     tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { cert, _ := l.current(); return cert, nil },
	}
}

func (l *Loader) verify(rawCerts [][]byte, _ [][]*x509.Certificate) error {
	_, caPool := l.current()
	if len(rawCerts) == 0 || caPool == nil {
		return errUntrusted
	}
	leaf, err := x509.ParseCertificate(rawCerts[0])
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, der := range rawCerts[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(cert)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: caPool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageAny}})
	if err != nil {
		return fmt.Errorf("%w: %w", errUntrusted, err)
	}
	return nil
}
