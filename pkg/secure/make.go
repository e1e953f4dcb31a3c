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

// Names of the files a site's set is made of.
const (
	FileCA        = "ca.pem"
	FileCAKey     = "ca-key.pem"
	FilePeer      = "peer.pem"
	FilePeerKey   = "peer-key.pem"
	FileServer    = "serve.pem"
	FileServerKey = "serve-key.pem"
)

// validFor is how long certificates are valid.
const validFor = 365 * 24 * time.Hour

// serialBits is the length of a serial number.
const serialBits = 120

// GenerateCertificates makes a set of keys for a site in dir: an authority, a certificate
// for own processes and one to show to callers, for the IP numbers given. An
// authority that is there already is used again, so that calling it anew
// rotates the certificates alone.
func GenerateCertificates(dir string, addresses []net.IP, now time.Time) error {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	ca, key, err := authority(dir, now)
	if err != nil {
		return err
	}
	if err := issue(dir, FilePeer, FilePeerKey, "ironhollow peer", addresses, ca, key, now); err != nil {
		return err
	}
	return issue(dir, FileServer, FileServerKey, "ironhollow", addresses, ca, key, now)
}

func authority(dir string, now time.Time) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certPEM, certErr := os.ReadFile(filepath.Join(dir, FileCA))
	keyPEM, keyErr := os.ReadFile(filepath.Join(dir, FileCAKey))
	if certErr == nil && keyErr == nil {
		return parseAuthority(certPEM, keyPEM)
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, nil, err
	}
	template, err := template("ironhollow site", now)
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
	if err := writePair(dir, FileCA, FileCAKey, der, key); err != nil {
		return nil, nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return cert, key, err
}

func parseAuthority(certPEM, keyPEM []byte) (*x509.Certificate, *ecdsa.PrivateKey, error) {
	certBlock, _ := pem.Decode(certPEM)
	keyBlock, _ := pem.Decode(keyPEM)
	if certBlock == nil || keyBlock == nil {
		return nil, nil, fmt.Errorf("secure: %s or %s is no PEM file", FileCA, FileCAKey)
	}
	cert, err := x509.ParseCertificate(certBlock.Bytes)
	if err != nil {
		return nil, nil, err
	}
	key, err := x509.ParseECPrivateKey(keyBlock.Bytes)
	return cert, key, err
}

func template(name string, now time.Time) (*x509.Certificate, error) {
	serial, err := rand.Int(rand.Reader, new(big.Int).Lsh(big.NewInt(1), serialBits))
	if err != nil {
		return nil, err
	}
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    now.Add(-time.Hour),
		NotAfter:     now.Add(validFor),
	}, nil
}

func issue(dir, certFile, keyFile, name string, addresses []net.IP, ca *x509.Certificate, caKey *ecdsa.PrivateKey, now time.Time) error {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return err
	}
	t, err := template(name, now)
	if err != nil {
		return err
	}
	t.IPAddresses = addresses
	t.KeyUsage = x509.KeyUsageDigitalSignature
	t.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	der, err := x509.CreateCertificate(rand.Reader, t, ca, &key.PublicKey, caKey)
	if err != nil {
		return err
	}
	return writePair(dir, certFile, keyFile, der, key)
}

// writePair writes key and certificate, each whole: a file is put in place by
// a rename, so that a process that reads at that moment finds old or new.
func writePair(dir, certFile, keyFile string, der []byte, key *ecdsa.PrivateKey) error {
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return err
	}
	keyPEM := pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER})
	if err := writeWhole(filepath.Join(dir, keyFile), keyPEM, 0o600); err != nil {
		return err
	}
	return writeWhole(filepath.Join(dir, certFile), pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o644)
}

func writeWhole(path string, data []byte, mode os.FileMode) error {
	next := path + ".next"
	if err := os.WriteFile(next, data, mode); err != nil {
		return err
	}
	return os.Rename(next, path)
}
