// Package node is the one process of a host on a platform that gives a store:
// it serves callers, tells them which hosts to use, and takes its turn at the
// duties that one node has at a time.
package node

import (
	"errors"
	"fmt"
	"time"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/rollout"
)

// RetryBudget bound what all nodes together send again.
type RetryBudget struct {
	// Share is of a service's requests in a window, Slack comes on top.
	Share, Slack float64
	Window       time.Duration
}

// LimitTolerance say how far all nodes together may pass a team's limit.
type LimitTolerance struct {
	Window time.Duration
	// Overrun is a share of the limit, Slack comes on top, in its unit.
	Overrun, Slack float64
}

// Settings are what a node is told at its start.
type Settings struct {
	// Node names the host over all its processes.
	Node, DataCenter string
	// CallerAddress, ReadyAddress and DirectoryAddress are IP numbers and ports to listen at. AdminAddress
	// serves metrics; it may be empty.
	CallerAddress, ReadyAddress, DirectoryAddress, AdminAddress string
	// PeerAddress is the address for datagrams of other hosts; it may be empty.
	PeerAddress                string
	StoreAddress, CloudAddress string
	// MemoryLimitMB is the process's limit, 0 for none.
	MemoryLimitMB int
	// FirstStart says that the whole system starts for the first time.
	FirstStart bool
	// Cores is the process's share of the processor, in cores; 0 if unknown.
	Cores float64
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// LeaseDuration is how long a duty's lease lasts without renewal.
	LeaseDuration time.Duration
	Retry         RetryBudget
	Limits        LimitTolerance
	// Rollouts bound what a version that turns out bad may get; no roll-outs are ordered
	// where they are not set.
	Rollouts rollout.Bounds
	// UsageWindow is the length of a window of usage.
	UsageWindow                   time.Duration
	ReportsUsage, OrdersEndpoints bool
	// EndpointHeartbeat is how often an endpoint writes its row.
	EndpointHeartbeat time.Duration
}

// Check returns every fault of the settings at once.
func (s Settings) Check() error {
	var faults []error
	if s.Node == "" {
		faults = append(faults, errors.New("the node's name is missing"))
	}
	addresses := []struct{ name, address string }{
		{"callers", s.CallerAddress}, {"ready", s.ReadyAddress}, {"directory", s.DirectoryAddress}, {"store", s.StoreAddress},
	}
	for _, a := range addresses {
		if err := httpx.CheckAddress(a.address); err != nil {
			faults = append(faults, fmt.Errorf("address of %s: %w", a.name, err))
		}
	}
	if s.GracePeriod <= 0 || s.LeaseDuration <= 0 {
		faults = append(faults, errors.New("grace and lease must be above 0"))
	}
	if s.ReportsUsage && s.UsageWindow <= 0 {
		faults = append(faults, errors.New("the window of usage must be above 0"))
	}
	if s.Rollouts.Share < 0 || s.Rollouts.Share >= 1 || s.Rollouts.Slack < 0 {
		faults = append(faults, fmt.Errorf("the share of a bad version must be in [0, 1) and its slack 0 or more, got %v and %v", s.Rollouts.Share, s.Rollouts.Slack))
	}
	if s.Retry.Window <= 0 {
		faults = append(faults, errors.New("the window of the retry budget must be above 0"))
	}
	return errors.Join(faults...)
}
