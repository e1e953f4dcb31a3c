// Package control is the control process: it holds shards of the control work
// by lease (placing models, watching for reclaims and hosts), relays news to
// the entries, and serves operators. One runs on every host and none is set
// aside.
package control

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/boottime"
	"ironhollow/pkg/cloud"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hostlist"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/operatorapi"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/table"
)

// App is a control process with all its parts.
type App struct {
	settings  Settings
	log       *log.Logger
	registry  *prometheus.Registry
	tracer    *trace.TracerProvider
	guard     *table.GuardedStore
	writer    *table.Writer
	config    *config.Holder
	store     *config.Store
	nodes     *membership.Table
	endpoints *endpoint.Directory
	mesh      *peer.Mesh
	peers     *peer.Server
	leases    *lease.Manager
	engines   engine.API
	cloud     cloud.API
	hosts     hostlist.Source
	operators *operatorapi.API
	counters  *Counters
	tls       process.TLS

	mu sync.Mutex
	// noticed is the sequence of the last notice seen.
	noticed int64
	// ordered are endpoints that were told to load something else.
	ordered map[string]bool
	// planned is what the last plan was made from.
	planned     planInput
	reportRound int
	hadGrant    map[lease.Shard]int64
}

// planInput is what a placement plan is made from.
type planInput struct {
	revision   int64
	generation uint64
	grants     int64
}

// Incarnation identifies this start of the process.
type Incarnation int64

// Figures of the process's clients.
const (
	connsPerHost = 8
	engineTime   = 3 * time.Second
)

func newHTTPClient() *http.Client { return httpx.NewClient(connsPerHost) }

func newGuard(s Settings, client *http.Client) *table.GuardedStore {
	return process.NewGuard(s.table, client)
}

// newWriter names the process in tokens and leases.
func newWriter(guard *table.GuardedStore, s Settings, incarnation Incarnation) *table.Writer {
	return table.NewWriter(guard, "control-"+membership.OwnerOf(s.id, int64(incarnation)))
}

func newLeases(writer *table.Writer, s Settings) *lease.Manager {
	return lease.New(writer, writer.Incarnation(), s.leaseTiming, boottime.Now)
}

func newMesh(s Settings, incarnation Incarnation, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *peer.Mesh {
	self := membership.Node{ID: s.id, Incarnation: int64(incarnation), Status: membership.Alive, DataCenter: s.dataCenter, Region: s.region}
	return peer.NewAttached(self, nodes, endpoints, holder)
}

func newTLS(s Settings) (process.TLS, error) { return process.LoadTLS(s.peerFiles, s.operatorFile) }

func newPeers(ctx context.Context, mesh *peer.Mesh, t process.TLS, counters *peer.Counters) *peer.Server {
	return peer.NewServer(ctx, mesh, peer.RoleControl, t.PeerClient(), counters)
}

func newEngines(client *http.Client) engine.API { return engine.New(client, engineTime) }

func newCloud(s Settings, client *http.Client) cloud.API {
	return cloud.New(s.cloudAddress, s.platformTime, client)
}

func newHosts(s Settings, client *http.Client) hostlist.Source {
	return hostlist.New(s.hostListAddress, s.platformTime, client)
}

func newOperators(s Settings, store *config.Store, holder *config.Holder) *operatorapi.API {
	return operatorapi.New(store, holder, s.operatorKeys)
}

func newRegisterer(registry *prometheus.Registry) prometheus.Registerer { return registry }

func newApp(
	settings Settings, logger *log.Logger, registry *prometheus.Registry, tracer *trace.TracerProvider, guard *table.GuardedStore,
	writer *table.Writer, holder *config.Holder, store *config.Store, nodes *membership.Table, endpoints *endpoint.Directory,
	mesh *peer.Mesh, peers *peer.Server, leases *lease.Manager, engines engine.API, cloudAPI cloud.API, hosts hostlist.Source,
	operators *operatorapi.API, counters *Counters, t process.TLS,
) *App {
	return &App{
		settings: settings, log: logger, registry: registry, tracer: tracer, guard: guard, writer: writer, config: holder,
		store: store, nodes: nodes, endpoints: endpoints, mesh: mesh, peers: peers, leases: leases, engines: engines,
		cloud: cloudAPI, hosts: hosts, operators: operators, counters: counters, tls: t,
		ordered: map[string]bool{}, hadGrant: map[lease.Shard]int64{},
	}
}
