package node

import (
	"net/http"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/migrate"
	"ironhollow/pkg/rolloutsync"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
	"ironhollow/pkg/upstream"
	"ironhollow/pkg/usage"
)

// Store is the platform's store: conditional writes of rows, and feeds of tables.
type Store interface {
	table.Store
	feed.Source
}

// Cloud receives the usage reports and the orders for endpoints.
type Cloud interface {
	usage.Sink
	autoscale.Sink
}

// Platform adapts a node to the platform that it runs on. It makes no decisions.
type Platform interface {
	storeview.Decoder
	rolloutsync.StatusEncoder
	ReadSettings() (Settings, error)
	Store(client *http.Client, s Settings) Store
	Cloud(client *http.Client, s Settings) Cloud
	Protocol() forward.Protocol
	MoveCalls(pool *upstream.Pool) migrate.Calls
	// ProbePath is the path of a GET request that endpoints answer without running anything.
	ProbePath() string
	// DirectoryPath is the path that callers request, ReadyPath the one that the platform requests.
	DirectoryPath() string
	ReadyPath() string
	EncodeEntries(w http.ResponseWriter, entries []roster.AdvertisedHost, maxAge time.Duration) error
}
