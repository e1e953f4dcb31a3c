// Package control is the control process. It holds leases on shards of the control tasks (placing
// models, polling reclaim notices and host lists), publishes updates to the entries, and serves
// operators. One runs on every host; no host is reserved for it.
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

// App is a control process with all its components.
type App struct {
	settings     Settings
	log          *log.Logger
	registry     *prometheus.Registry
	tracer       *trace.TracerProvider
	guardedStore *table.GuardedStore
	writer       *table.Writer
	config       *config.Holder
	store        *config.Store
	nodes        *membership.Table
	endpoints    *endpoint.Directory
	mesh         *peer.Mesh
	peers        *peer.Server
	leases       *lease.Manager
	engineAPI    engine.API
	cloud        cloud.API
	hostList     hostlist.Source
	operatorAPI  *operatorapi.API
	counters     *Counters
	tls          process.TLS

	// notices and noticesFailed are used only by pollNotices. noticesFailed is set if the last read of
	// the cloud's notices failed, which is logged once.
	notices       cloud.NoticeQueue
	noticesFailed bool

	mu sync.Mutex
	// pendingOrders contains the ids of the endpoints that this process orders to load another
	// model, until a plan requires no change of them.
	pendingOrders map[string]bool
	// lastPlanInput is the input of the last placement plan.
	lastPlanInput  planInput
	pollRound      int
	recordedEpochs map[lease.Shard]int64
}

// planInput identifies the input of a placement plan.
type planInput struct {
	revision   int64
	generation uint64
	grantsHash int64
}

// Incarnation identifies one start of the process.
type Incarnation int64

// Parameters of the HTTP clients.
const (
	connsPerHost  = 8
	engineTimeout = 3 * time.Second
)

func newHTTPClient() *http.Client { return httpx.NewClient(connsPerHost) }

func newGuardedStore(s Settings, client *http.Client) *table.GuardedStore {
	return process.NewGuardedStore(s.table, client)
}

// newWriter returns the writer, with the name by which tokens and leases identify this process.
func newWriter(store *table.GuardedStore, s Settings, incarnation Incarnation) *table.Writer {
	return table.NewWriter(store, "control-"+membership.OwnerOf(s.id, int64(incarnation)))
}

func newLeaseManager(writer *table.Writer, s Settings, logger *log.Logger) *lease.Manager {
	return lease.New(writer, writer.Incarnation(), s.leaseTiming, boottime.Now, logger)
}

func newMesh(s Settings, incarnation Incarnation, nodes *membership.Table, endpoints *endpoint.Directory, holder *config.Holder) *peer.Mesh {
	self := membership.Node{ID: s.id, Incarnation: int64(incarnation), Status: membership.Alive, DataCenter: s.dataCenter, Region: s.region}
	return peer.NewAttached(self, nodes, endpoints, holder)
}

func newTLS(s Settings) (process.TLS, error) {
	return process.LoadTLS(s.peerTLSFiles, s.operatorTLSFiles)
}

func newPeers(ctx context.Context, mesh *peer.Mesh, t process.TLS, counters *peer.Counters) *peer.Server {
	return peer.NewServer(ctx, mesh, peer.RoleControl, t.PeerClient(), counters)
}

func newEngineAPI(client *http.Client) engine.API { return engine.New(client, engineTimeout) }

func newCloudAPI(s Settings, client *http.Client) cloud.API {
	return cloud.New(s.cloudAddress, s.platformTimeout, client)
}

func newHostListSource(s Settings, client *http.Client) hostlist.Source {
	return hostlist.New(s.hostListAddress, s.platformTimeout, client)
}

func newOperatorAPI(s Settings, store *config.Store, holder *config.Holder) *operatorapi.API {
	return operatorapi.New(store, holder, s.operatorKeys)
}

func newRegisterer(registry *prometheus.Registry) prometheus.Registerer { return registry }

func newApp(
	settings Settings, logger *log.Logger, registry *prometheus.Registry, tracer *trace.TracerProvider, guardedStore *table.GuardedStore,
	writer *table.Writer, holder *config.Holder, store *config.Store, nodes *membership.Table, endpoints *endpoint.Directory,
	mesh *peer.Mesh, peers *peer.Server, leases *lease.Manager, engineAPI engine.API, cloudAPI cloud.API, hostList hostlist.Source,
	operatorAPI *operatorapi.API, counters *Counters, t process.TLS,
) *App {
	return &App{
		settings: settings, log: logger, registry: registry, tracer: tracer, guardedStore: guardedStore, writer: writer, config: holder,
		store: store, nodes: nodes, endpoints: endpoints, mesh: mesh, peers: peers, leases: leases, engineAPI: engineAPI,
		cloud: cloudAPI, hostList: hostList, operatorAPI: operatorAPI, counters: counters, tls: t,
		pendingOrders: map[string]bool{}, recordedEpochs: map[lease.Shard]int64{},
	}
}
