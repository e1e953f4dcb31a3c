// Package node is the process that runs once on each host of a platform with a store. It serves
// callers, sends them the list of hosts to use, and takes its turn at the duties that only one node
// performs at a time.
package node

import (
	"errors"
	"fmt"
	"time"

	"ironhollow/pkg/httpx"
	"ironhollow/pkg/rollout"
)

// RetryBudget bounds how many requests all nodes together retry.
type RetryBudget struct {
	// Share is a fraction of the requests of a service in a window; Slack is added to it.
	Share, Slack float64
	Window       time.Duration
}

// LimitTolerance bounds by how much all nodes together may exceed a team's limit.
type LimitTolerance struct {
	Window time.Duration
	// Overrun is a fraction of the limit; Slack is added to it, in the unit of the limit.
	Overrun, Slack float64
}

// Settings are the settings with which a node starts.
type Settings struct {
	// Node is the name of the host. It is the same for all processes that run there in turn.
	Node, DataCenter string
	// CallerAddress, ReadyAddress and DirectoryAddress are the IP addresses and ports to listen
	// on. AdminAddress is the one for metrics; it may be empty.
	CallerAddress, ReadyAddress, DirectoryAddress, AdminAddress string
	// PeerAddress is the address for datagrams and relay connections from other hosts; it may be
	// empty.
	PeerAddress string
	// SeedAddresses are peer addresses of some other hosts, which may be outdated. They are asked if
	// the store does not list the hosts at a start.
	SeedAddresses              []string
	StoreAddress, CloudAddress string
	// MemoryLimitMB is the memory limit of the process, 0 for none.
	MemoryLimitMB int
	// FirstStart is set if the whole system is starting for the first time.
	FirstStart bool
	// Cores is the process's share of the processor, in cores; 0 if unknown.
	Cores float64
	// GracePeriod is the time from SIGTERM to SIGKILL.
	GracePeriod time.Duration
	// LeavingBound is the time from an endpoint's notice that it leaves after which it must get no
	// request; 0 if it must get none from the notice on.
	LeavingBound time.Duration
	// LeaseDuration is how long the lease of the duties is valid without renewal.
	LeaseDuration time.Duration
	Retry         RetryBudget
	Limits        LimitTolerance
	// Rollouts bounds the requests that a version that turns out to be bad may get. Roll-outs are
	// disabled if it is not set.
	Rollouts rollout.Bounds
	// UsageWindow is the length of a window in which usage is counted.
	UsageWindow                   time.Duration
	ReportsUsage, OrdersEndpoints bool
	// EndpointHeartbeat is the interval at which an endpoint writes its row.
	EndpointHeartbeat time.Duration
}

// Check returns all faults of the settings in one error.
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
		faults = append(faults, errors.New("the usage window must be above 0"))
	}
	if s.Rollouts.Share < 0 || s.Rollouts.Share >= 1 || s.Rollouts.Slack < 0 {
		faults = append(faults, fmt.Errorf("the share of a bad version must be in [0, 1) and its slack 0 or more, got %v and %v", s.Rollouts.Share, s.Rollouts.Slack))
	}
	if s.Retry.Window <= 0 {
		faults = append(faults, errors.New("the window of the retry budget must be above 0"))
	}
	return errors.Join(faults...)
}
