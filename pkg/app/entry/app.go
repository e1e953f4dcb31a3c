// Package entry is the entry process: it serves callers and is a member of the mesh. app.go
// constructs its components, run.go starts and drains it, and loops.go contains its background
// work.
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

// App is an entry process with all its components.
type App struct {
	settings            Settings
	self                membership.Node
	log                 *log.Logger
	registry            *prometheus.Registry
	tracer              *sdktrace.TracerProvider
	guardedStore        *table.GuardedStore
	writer              *table.Writer
	config              *config.Holder
	store               *config.Store
	nodes               *membership.Table
	endpoints           *endpoint.Directory
	hazard              *hazard.Estimator
	router              *route.Router
	engineAPI           engine.API
	runner              *stream.Runner
	rateLimiter         *limit.RateLimiter
	concurrencyLimiters *limit.ConcurrencyLimiters
	budget              *retry.Budget
	jobs                *job.Store
	worker              *job.Worker
	batcher             *job.Batcher
	claims              *claim.Claims
	acceptCommitter     *accept.Committer
	history             *explain.History
	mesh                *peer.Mesh
	peers               *peer.Server
	api                 *callerapi.API
	tls                 process.TLS

	recoveredMu sync.Mutex
	// recovered contains the incarnations of dead nodes that no longer own jobs.
	recovered map[string]bool
	// ownRecovery is used only by the goroutine that recovers jobs.
	ownRecovery recoveryState

	drainOnce      sync.Once
	drainRequested chan struct{}
}

// connsPerEndpoint is the number of connections that are kept to one endpoint.
const connsPerEndpoint = 64

// engineTimeout bounds the calls to engines that are not streams.
const engineTimeout = 3 * time.Second

func newHTTPClient() *http.Client { return httpx.NewClient(connsPerEndpoint) }

// Incarnation identifies one start of the process.
type Incarnation int64

// NewIncarnation returns the current time in milliseconds. It increases from start to start,
// unless the clock of a replacement host is behind by more than the restart took; the
// registration in the table service corrects that.
func NewIncarnation() Incarnation { return Incarnation(time.Now().UnixMilli()) }

func newSelf(s Settings, incarnation Incarnation) membership.Node {
	self := s.node
	self.Incarnation = int64(incarnation)
	return self
}

func newGuardedStore(s Settings, client *http.Client) *table.GuardedStore {
	return process.NewGuardedStore(s.table, client)
}

func newWriter(store *table.GuardedStore, self membership.Node) *table.Writer {
	return table.NewWriter(store, self.Owner())
}

func newObjectStore(s Settings, client *http.Client) object.Store {
	return object.New(s.objectAddress, s.platformTimeout, client)
}

func newRouter(endpoints *endpoint.Directory, estimator *hazard.Estimator, self membership.Node) *route.Router {
	return route.New(endpoints, estimator, route.Location{Node: self.ID, DataCenter: self.DataCenter}, rand.Uint64())
}

func newEngineAPI(client *http.Client) engine.API { return engine.New(client, engineTimeout) }

func newPlainServiceAPI(client *http.Client) plainservice.API { return plainservice.New(client) }

// initialRetryShare is the retry budget's number of retries per first send until a configuration
// is in force.
const initialRetryShare = 0.1

func newBudget() *retry.Budget { return retry.New(initialRetryShare, time.Now()) }

func newBatcher(writer *table.Writer, s Settings) *job.Batcher {
	return job.NewBatcher(writer, s.acceptWindow)
}

// Inputs of the checkpoint interval.
const (
	// checkpointCost is the time that a checkpoint takes from the store's budget.
	checkpointCost = 50 * time.Millisecond
	// hostLossesPerHour is the loss rate of one entry host: with 420 hosts, 643 fail or are
	// replaced per day.
	hostLossesPerHour = 643.0 / 420 / 24
)

func newWorker(ctx context.Context, store *job.Store, generator job.Generator, self membership.Node, s Settings, counters *job.Counters) *job.Worker {
	interval := func() time.Duration { return reclaim.CheckpointInterval(checkpointCost, hostLossesPerHour) }
	return job.NewWorker(ctx, store, generator, self.Owner(), s.maxConcurrentJobs, interval, counters)
}

func newTLS(s Settings) (process.TLS, error) {
	return process.LoadTLS(s.peerTLSFiles, s.callerTLSFiles)
}

func newPeers(ctx context.Context, mesh *peer.Mesh, t process.TLS, counters *peer.Counters) *peer.Server {
	return peer.NewServer(ctx, mesh, peer.RoleEntry, t.PeerClient(), counters)
}

// newAcceptCommitter returns the committer that commits the accepted jobs of this data centre's
// entries together. Its messages are sent over the links to peers.
func newAcceptCommitter(self membership.Node, nodes *membership.Table, batcher *job.Batcher, store *table.GuardedStore, peers *peer.Server) *accept.Committer {
	committer := accept.New(self, nodes, batcher, store, peers)
	peers.SetHandler(committer.Handle)
	return committer
}

func newTracer(provider *sdktrace.TracerProvider) trace.Tracer {
	return provider.Tracer("ironhollow/entry")
}

func newRegisterer(registry *prometheus.Registry) prometheus.Registerer { return registry }
