package process

import (
	"crypto/tls"
	"net/http"
	"time"

	"ironhollow/pkg/secure"
	"ironhollow/pkg/table"
	"ironhollow/pkg/table/tablehttp"
)

// TableConfig configures the client of the table service: its address, the timeout of a call, and
// the budget of calls.
type TableConfig struct {
	Address string
	Timeout time.Duration
	Budget  table.Budget
}

// NewGuard returns a client of the table service that is limited by a guard.
func NewGuard(t TableConfig, client *http.Client) *table.GuardedStore {
	return table.NewGuardedStore(tablehttp.NewClient(t.Address, t.Timeout, client), t.Budget)
}

// TLS has the keys for connections between own processes (Peer) and for connections from callers
// or operators (External). A nil loader turns TLS off.
type TLS struct {
	Peer, External *secure.Loader
}

// LoadTLS loads the files for peers and for external connections. It skips those that are not set.
func LoadTLS(peerFiles, externalFiles secure.Files) (TLS, error) {
	var t TLS
	var err error
	if !peerFiles.Empty() {
		if t.Peer, err = secure.Load(peerFiles); err != nil {
			return t, err
		}
	}
	if !externalFiles.Empty() {
		t.External, err = secure.Load(externalFiles)
	}
	return t, err
}

// PeerClient returns the configuration for connections to own processes, nil without TLS.
func (t TLS) PeerClient() *tls.Config {
	if t.Peer == nil {
		return nil
	}
	return t.Peer.PeerClientConfig()
}

// PeerServer returns the configuration for connections from own processes, nil without TLS.
func (t TLS) PeerServer() *tls.Config {
	if t.Peer == nil {
		return nil
	}
	return t.Peer.PeerServerConfig()
}

// ExternalServer returns the configuration for connections from callers or operators, nil without
// TLS.
func (t TLS) ExternalServer() *tls.Config {
	if t.External == nil {
		return nil
	}
	config := t.External.ServerConfig()
	// The servers speak only HTTP/1.1, on separate listeners.
	config.NextProtos = []string{"http/1.1"}
	return config
}
