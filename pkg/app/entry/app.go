// Package entry is the entry process: it serves callers and takes part in the
// mesh. This file holds its parts; run.go its life, loops.go what it does
// beside serving.
package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"

	"ironhollow/pkg/accept"
	"ironhollow/pkg/app/process"
	"ironhollow/pkg/callerapi"
	"ironhollow/pkg/claim"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/object"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/reclaim"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
	"ironhollow/pkg/table"
)

// App is an entry with all its parts.
type App struct {
	settings  Settings
	self      membership.Node
	log       *log.Logger
	registry  *prometheus.Registry
	tracer    *sdktrace.TracerProvider
	guard     *table.GuardedStore
	writer    *table.Writer
	config    *config.Holder
	store     *config.Store
	nodes     *membership.Table
	endpoints *endpoint.Directory
	hazard    *hazard.Estimator
	router    *route.Router
	engines   engine.API
	runner    *stream.Runner
	rates     *limit.RateLimiter
	gates     *limit.ConcurrencyLimiters
	budget    *retry.Budget
	jobs      *job.Store
	worker    *job.Worker
	batcher   *job.Batcher
	claims    *claim.Claims
	accepts   *accept.Committer
	history   *explain.History
	mesh      *peer.Mesh
	peers     *peer.Server
	api       *callerapi.API
	tls       process.TLS

	recoveredMu sync.Mutex
	// recovered are incarnations of dead nodes that own no jobs any more.
	recovered map[string]bool

	drainOnce  sync.Once
	drainAsked chan struct{}
}

// engineConns is how many connections are kept to one endpoint.
const engineConns = 64

// engineTime bounds calls to engines that are not streams.
const engineTime = 3 * time.Second

func newHTTPClient() *http.Client { return httpx.NewClient(engineConns) }

// Incarnation identifies this start of the process.
type Incarnation int64

// NewIncarnation returns the time of the start in milliseconds: it grows from
// start to start, as long as the clock of a replaced host is not behind by more
// than the restart took; the registration in the table corrects that.
func NewIncarnation() Incarnation { return Incarnation(time.Now().UnixMilli()) }

func newSelf(s Settings, incarnation Incarnation) membership.Node {
	self := s.node
	self.Incarnation = int64(incarnation)
	return self
}

func newGuard(s Settings, client *http.Client) *table.GuardedStore {
	return process.NewGuard(s.table, client)
}

func newWriter(guard *table.GuardedStore, self membership.Node) *table.Writer {
	return table.NewWriter(guard, self.Owner())
}

func newObjects(s Settings, client *http.Client) object.Store {
	return object.New(s.objectAddress, s.platformTime, client)
}

func newRouter(endpoints *endpoint.Directory, estimator *hazard.Estimator, self membership.Node) *route.Router {
	return route.New(endpoints, estimator, route.Location{Node: self.ID, DataCenter: self.DataCenter}, rand.Uint64())
}

func newEngines(client *http.Client) engine.API { return engine.New(client, engineTime) }

func newPlain(client *http.Client) plainservice.API { return plainservice.New(client) }

// startShare is the retry budget's until a configuration is in force.
const startShare = 0.1

func newBudget() *retry.Budget { return retry.New(startShare, time.Now()) }

func newBatcher(writer *table.Writer, s Settings) *job.Batcher {
	return job.NewBatcher(writer, s.acceptWindow)
}

// Figures of the checkpoint interval.
const (
	// checkpointCost is the time a checkpoint takes from the store's budget.
	checkpointCost = 50 * time.Millisecond
	// lossesPerHour of an entry host: 643 of 420 hosts fail or are replaced a day.
	lossesPerHour = 643.0 / 420 / 24
)

func newWorker(ctx context.Context, store *job.Store, generator job.Generator, self membership.Node, s Settings, counters *job.Counters) *job.Worker {
	interval := func() time.Duration { return reclaim.CheckpointInterval(checkpointCost, lossesPerHour) }
	return job.NewWorker(ctx, store, generator, self.Owner(), s.jobs, interval, counters)
}

func newTLS(s Settings) (process.TLS, error) { return process.LoadTLS(s.peerFiles, s.callerFiles) }

func newPeers(ctx context.Context, mesh *peer.Mesh, t process.TLS, counters *peer.Counters) *peer.Server {
	return peer.NewServer(ctx, mesh, peer.RoleEntry, t.PeerClient(), counters)
}

// newAccepts gathers the data centre's accepted jobs over the peers' links.
func newAccepts(self membership.Node, nodes *membership.Table, batcher *job.Batcher, guard *table.GuardedStore, peers *peer.Server) *accept.Committer {
	gatherer := accept.New(self, nodes, batcher, guard, peers)
	peers.SetHandler(gatherer.Handle)
	return gatherer
}

func newTracer(provider *sdktrace.TracerProvider) trace.Tracer {
	return provider.Tracer("ironhollow/entry")
}

func newRegisterer(registry *prometheus.Registry) prometheus.Registerer { return registry }
