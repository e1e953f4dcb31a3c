//go:build wireinject

package control

import (
	"context"

	"github.com/google/wire"
	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/sdk/trace"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
)

func build(ctx context.Context, settings Settings, incarnation Incarnation, logger *log.Logger, registry *prometheus.Registry, tracer *trace.TracerProvider) (*App, error) {
	wire.Build(
		newHTTPClient, newGuardedStore, newWriter, newLeaseManager, newMesh, newTLS, newPeers, newEngineAPI, newCloudAPI, newHostListSource, newOperatorAPI,
		newRegisterer, newApp, NewCounters,
		config.NewHolder, config.NewStore, membership.NewTable, endpoint.NewDirectory, peer.NewCounters,
	)
	return nil, nil
}
