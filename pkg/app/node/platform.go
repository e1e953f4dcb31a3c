package node

import (
	"net/http"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/storeview"
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
	storeview.Decoder
	rolloutsync.StatusEncoder
	ReadSettings() (Settings, error)
	Store(client *http.Client, s Settings) Store
	Cloud(client *http.Client, s Settings) Cloud
	Protocol() forward.Protocol
	// DirectoryPath and ReadyPath are what callers and the platform ask for.
	DirectoryPath() string
	ReadyPath() string
	EncodeEntries(w http.ResponseWriter, entries []roster.AdvertisedHost, keep time.Duration) error
}
