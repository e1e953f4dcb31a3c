package secure

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// Names of the files that GenerateCertificates writes.
const (
	FileCA        = "ca.pem"
	FileCAKey     = "ca-key.pem"
	FilePeer      = "peer.pem"
	FilePeerKey   = "peer-key.pem"
	FileServer    = "serve.pem"
	FileServerKey = "serve-key.pem"
)

const certificateLifetime = 365 * 24 * time.Hour

const serialNumberBits = 120

// GenerateCertificates creates the keys and certificates of a site in dir: an authority, a
// certificate for connections between the system's own processes and one for servers towards
// callers, both for the given IP addresses. An existing authority is used again, so that another
// call rotates the certificates only.
func GenerateCertificates(dir string, addresses []net.IP, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, key, err := loadOrCreateCA(dir, now)
	if err != nil {
		return err
	}
	if err := issueCertificate(dir, FilePeer, FilePeerKey, "ironhollow peer", addresses, ca, key, now); err != nil {
		return err
	}
	return issueCertificate(dir, FileServer, FileServerKey, "ironhollow", addresses, ca, key, now)
}

func loadOrCreateCA(dir string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certPEM, certErr := os.ReadFile(filepath.Join(dir, FileCA))
	keyPEM, keyErr := os.ReadFile(filepath.Join(dir, FileCAKey))
	if certErr == nil && keyErr == nil {
		return parseCA(certPEM, keyPEM)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := newTemplate("ironhollow site", now)
	if err != nil {
		return nil, nil, err
	}
	template.IsCA = true
	template.BasicConstraintsValid = true
	template.KeyUsage = x509.KeyUsageCertSign
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, nil, err
	}
	if err := writeKeyPair(dir, FileCA, FileCAKey, der, key); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func parseCA(certPEM, keyPEM []byte) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, fmt.Errorf("secure: %s or %s is not a PEM file", FileCA, FileCAKey)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return cert, key, err
}

func newTemplate(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialNumberBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(certificateLifetime),
	}, nil
}

func issueCertificate(dir, certFile, keyFile, name string, addresses []net.IP, ca *x509.Certificate, caKey *ecdsa.PrivateKey, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	template, err := newTemplate(name, now)
	if err != nil {
		return err
	}
	template.IPAddresses = addresses
	template.KeyUsage = x509.KeyUsageDigitalSignature
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, template, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	return writeKeyPair(dir, certFile, keyFile, der, key)
}

// writeKeyPair writes a key and its certificate. Each file is renamed into place, so that a process
// that reads it at that moment finds the old or the new file, never a partial one.
func writeKeyPair(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := writeFileAtomically(filepath.Join(dir, keyFile), keyPEM, 0o600); err != nil {
		return err
	}
	return writeFileAtomically(filepath.Join(dir, certFile), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}

func writeFileAtomically(path string, data []byte, mode os.FileMode) error {
	tempPath := path + ".next"
	if err := os.WriteFile(tempPath, data, mode); err != nil {
		return err
	}
	return os.Rename(tempPath, path)
}
