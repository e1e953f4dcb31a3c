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
		newLog, newLife, newPool, newStoreClient, newPeerClient, newStore, newCopy, newHome, newView, newRouter, newRollouts, newDesk, newLoads, newLimits,
		newCounter, newWriter, newLeases, newDutyCloud, newReplacedBy, newReporter, newOrderer, newBudget, newForwarder, newWatch, newNotices, newWatchdog, newKeeper,
		storeclock.New, autoscale.NewDemandTracker, process.NewRegistry,
		wire.Struct(new(ownRow)), wire.Struct(new(datagrams)), wire.Struct(new(fleetRole)), wire.Struct(new(suspensions)), wire.Struct(new(node), "*"),
	)
	return nil
}
