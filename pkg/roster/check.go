package roster

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"
)

// Bounds of the numbers in rows and datagrams. Sums over all hosts do not overflow within them.
const (
	// maxMS bounds times of the store's clock and the difference to a wall clock: 100 years.
	maxMS = 100 * 365 * 24 * 3600 * 1000
	// maxMillicores bounds the processor share of a process.
	maxMillicores = 1_000_000_000
	// maxCount bounds requests and tokens in progress, and the requests of a team in a window.
	maxCount = 1_000_000_000
	// maxWindow bounds the number of a window.
	maxWindow = 1_000_000_000_000_000
	// maxRate bounds engine time per second, maxWork other work.
	maxRate = 1e9
	maxWork = 1e12
)

// Check returns an error if a host cannot be used: its addresses are given to callers and hosts, which need
// an IP address and a port.
func (h Host) Check() error {
	if h.Incarnation == "" || h.Node == "" {
		return errors.New("roster: host without a name")
	}
	if err := checkAddress(h.CallerAddress); err != nil {
		return fmt.Errorf("roster: address for callers: %w", err)
	}
	if h.PeerAddress != "" {
		if err := checkAddress(h.PeerAddress); err != nil {
			return fmt.Errorf("roster: address for hosts: %w", err)
		}
	}
	if h.Millicores < 0 || h.Millicores > maxMillicores {
		return fmt.Errorf("roster: host with %d millicores", h.Millicores)
	}
	return nil
}

func checkAddress(address string) error {
	parsed, err := netip.ParseAddrPort(address)
	if err == nil && parsed.Port() == 0 {
		err = errors.New("no port")
	}
	return err
}

// FromMS converts a time of the store's clock in milliseconds. One that is out of range becomes 0, which means
// unknown. A process that has started before the store has a negative one.
func FromMS(ms int64) time.Duration {
	if ms < -maxMS || ms > maxMS {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func isWithin(value, highest float64) bool {
	return !math.IsNaN(value) && value >= 0 && value <= highest
}

// ValidLoads returns the loads that a host can have, and changes the list.
func ValidLoads(list []Load) []Load {
	return slices.DeleteFunc(list, func(l Load) bool {
		return l.Running < 0 || l.Running > maxCount || l.PrefillTokens < 0 || l.PrefillTokens > maxCount
	})
}

// ValidCounts returns the counts that a host can have, and changes the list.
func ValidCounts(list []RequestCount) []RequestCount {
	return slices.DeleteFunc(list, func(c RequestCount) bool {
		return c.Window < 0 || c.Window > maxWindow || c.Started < 0 || c.Started > maxCount
	})
}

// ValidDemands returns the demands that a host can have, and changes the list.
func ValidDemands(list []Demand) []Demand {
	return slices.DeleteFunc(list, func(d Demand) bool { return !isWithin(d.Rate, maxRate) })
}
