//go:build wireinject

package entry

import (
	"context"

	"github.com/google/wire"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace"

	"ironhollow/pkg/accept"
	"ironhollow/pkg/callerapi"
	"ironhollow/pkg/claim"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/job"
	"ironhollow/pkg/limit"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/stream"
)

func build(ctx context.Context, settings Settings, incarnation Incarnation, logger *log.Logger, registry *prometheus.Registry, tracer *trace.TracerProvider) (*App, error) {
	wire.Build(
		newHTTPClient, newSelf, newGuardedStore, newWriter, newObjectStore, newRouter, newEngineAPI, newPlainServiceAPI, newBudget, newBatcher,
		newWorker, newTLS, newPeers, newRegisterer, newGenerator, newAPI, newApp, newAcceptCommitter, newTracer,
		wire.Bind(new(job.Committer), new(*accept.Committer)),
		config.NewHolder, config.NewStore, membership.NewTable, endpoint.NewDirectory, hazard.New, stream.New, stream.NewCounters,
		limit.NewRateLimiter, limit.NewConcurrencyLimiters, job.NewStore, job.NewCounters, claim.New, explain.NewHistory,
		peer.NewMesh, peer.NewCounters, callerapi.NewCounters, quarantine.NewWatch, notice.New,
	)
	return nil, nil
}
