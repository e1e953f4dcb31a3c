package node

import (
	"net/http"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/table"
	"ironhollow/pkg/usage"
)

// Store is the platform's store: rows under conditions, and feeds of tables.
type Store interface {
	table.Store
	feed.Source
}

// Cloud takes what the duties send.
type Cloud interface {
	usage.Sink
	autoscale.Sink
}

// Platform is what a node runs on. It decides nothing.
type Platform interface {
	ReadSettings() (Settings, error)
	Store(client *http.Client, s Settings) Store
	Cloud(client *http.Client, s Settings) Cloud
	Protocol() forward.Protocol
	// Tables names the store's tables that are followed.
	Tables() Tables
	DecodeConfiguration(value []byte) (routetable.Spec, error)
	DecodeEndpoint(id string, value []byte) (endpoint.Info, error)
	// DirectoryPath and ReadyPath are what callers and the platform ask for.
	DirectoryPath() string
	ReadyPath() string
	EncodeEntries(w http.ResponseWriter, entries []roster.Entry, keep time.Duration) error
}

// Tables are names of tables in the platform's store.
type Tables struct {
	Configuration, ConfigurationKey string
	Endpoints                       string
}
