//go:build wireinject

package node

import (
	"github.com/google/wire"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/storeclock"
)

func build(platform Platform, settings Settings, incarnation Incarnation) *node {
	wire.Build(
		newLogQueue, newLogger, newLifecycle, newLinks, newPool, newPeerPool, newDetours, newOriginSender, newOrigins, newOriginLog, newResponseBudget, newStoreClient, newPeerClient, newStore, newReplica, newLocation, newView, newRouter, newSplitter, newCoordinator, newLoadSync, newLimiter,
		newCounter, newWriter, newLeaseManager, newDutyCloud, newCompletedOrders, newReporter, newReconciler, newScaleStates, newScaleMetrics, newRetryBudget, newForwarder, newQuarantineWatch, newNoticeTracker, newWatchdog, newQuarantineSyncer, newHostState, newStateSyncer, newReadiness,
		storeclock.New, autoscale.NewDemandTracker, autoscale.NewLossTracker, process.NewRegistry,
		wire.Struct(new(rowState)), wire.Struct(new(rolloutSender)), wire.Struct(new(fleetRole)), wire.Struct(new(suspendLog)), wire.Struct(new(node), "*"),
	)
	return nil
}
