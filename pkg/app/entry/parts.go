package entry

import (
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
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
	"ironhollow/pkg/table"
)

func newAPI(
	settings Settings, self membership.Node, holder *config.Holder, nodes *membership.Table, router *route.Router,
	runner *stream.Runner, rateLimiter *limit.RateLimiter, concurrencyLimiters *limit.ConcurrencyLimiters, jobs *job.Store, worker *job.Worker,
	jobCounters *job.Counters, claims *claim.Claims, plainServices plainservice.API, budget *retry.Budget, notices *notice.Tracker,
	history *explain.History, tracer trace.Tracer, counters *callerapi.Counters, logger *log.Logger,
) *callerapi.API {
	return callerapi.New(callerapi.Deps{
		Node: self.ID, Owner: self.Owner(), Limits: settings.limits, Config: holder, Nodes: nodes, Router: router,
		Runner: runner, RateLimiter: rateLimiter, ConcurrencyLimiters: concurrencyLimiters, Jobs: jobs, Worker: worker, JobCounters: jobCounters, Claims: claims,
		PlainServices: plainServices, Notices: notices, RetryBudget: budget, History: history, Tracer: tracer, APICounters: counters, Log: logger,
	})
}

func newApp(
	settings Settings, self membership.Node, logger *log.Logger, registry *prometheus.Registry, tracer *sdktrace.TracerProvider,
	guardedStore *table.GuardedStore, writer *table.Writer, holder *config.Holder, store *config.Store, nodes *membership.Table,
	endpoints *endpoint.Directory, estimator *hazard.Estimator, router *route.Router, engineAPI engine.API,
	runner *stream.Runner, rateLimiter *limit.RateLimiter, concurrencyLimiters *limit.ConcurrencyLimiters, budget *retry.Budget, jobs *job.Store,
	worker *job.Worker, batcher *job.Batcher, claims *claim.Claims, acceptCommitter *accept.Committer, history *explain.History, mesh *peer.Mesh,
	peers *peer.Server, api *callerapi.API, t process.TLS,
) *App {
	return &App{
		settings: settings, self: self, log: logger, registry: registry, tracer: tracer, guardedStore: guardedStore, writer: writer,
		config: holder, store: store, nodes: nodes, endpoints: endpoints, hazard: estimator, router: router,
		engineAPI: engineAPI, runner: runner, rateLimiter: rateLimiter, concurrencyLimiters: concurrencyLimiters, budget: budget, jobs: jobs, worker: worker,
		batcher: batcher, claims: claims, acceptCommitter: acceptCommitter, history: history, mesh: mesh, peers: peers, api: api,
		tls: t, recovered: map[string]bool{}, drainRequested: make(chan struct{}),
	}
}
