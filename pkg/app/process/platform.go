package process

import (
	"crypto/tls"
	"net/http"
	"time"

	"ironhollow/pkg/secure"
	"ironhollow/pkg/table"
	"ironhollow/pkg/table/tablehttp"
)

// TableConfig says how the table service is reached and how much may be asked of it.
type TableConfig struct {
	Address string
	Timeout time.Duration
	Budget  table.Budget
}

// NewGuard returns the table service behind a guard.
func NewGuard(t TableConfig, client *http.Client) *table.Guard {
	return table.NewGuard(tablehttp.New(t.Address, t.Timeout, client), t.Budget)
}

// TLS holds the keys between own processes and towards the others that connect
// here, callers or operators; nil where TLS is off.
type TLS struct {
	Peer, External *secure.Loader
}

// LoadTLS reads both sides' files.
func LoadTLS(peerFiles, outerFiles secure.Files) (TLS, error) {
	var t TLS
	var err error
	if !peerFiles.Empty() {
		if t.Peer, err = secure.Load(peerFiles); err != nil {
			return t, err
		}
	}
	if !outerFiles.Empty() {
		t.External, err = secure.Load(outerFiles)
	}
	return t, err
}

// PeerClient returns the settings for links to own processes, nil for no TLS.
func (t TLS) PeerClient() *tls.Config {
	if t.Peer == nil {
		return nil
	}
	return t.Peer.PeerClient()
}

// PeerServer returns the settings for links from own processes, nil for no TLS.
func (t TLS) PeerServer() *tls.Config {
	if t.Peer == nil {
		return nil
	}
	return t.Peer.PeerServer()
}

// ExternalServer returns the settings towards callers or operators, nil for no TLS.
func (t TLS) ExternalServer() *tls.Config {
	if t.External == nil {
		return nil
	}
	config := t.External.Server()
	// The servers speak HTTP/1.1 alone on listeners of their own.
	config.NextProtos = []string{"http/1.1"}
	return config
}
