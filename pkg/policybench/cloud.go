package policybench

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"ironhollow/pkg/capacity"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/standin/engines"
)

// Reclaim is the reclaim of all reclaimable hosts of one data centre, given by its index in
// Fleet.DataCenters.
type Reclaim struct {
	At         time.Duration
	DataCenter int
	Notice     time.Duration
	// RefusalTime is how long the data centre refuses new reclaimable hosts after the
	// reclaim.
	RefusalTime time.Duration
}

// hostStartTime is the time from buying a host until it serves; noticeDelay is the time
// until the entries receive a reclaim notice.
const (
	hostStartTime = 40 * time.Second
	noticeDelay   = 300 * time.Millisecond
)

// host is one started host with its engine.
type host struct {
	info        endpoint.Info
	engine      *engines.Engine
	offer       capacity.Offer
	startedAt   time.Time
	reclaimedAt time.Time
}

// fakeCloud starts and reclaims hosts and tracks their cost.
type fakeCloud struct {
	run *run

	mu           sync.Mutex
	hosts        []*host
	refusedUntil map[string]time.Time
	nextID       int
}

// engineOptions returns the options of an engine that generates up to TokenRatePerHost within the
// latency target, of which the users' capacity plan uses 184 tokens per second on average.
func engineOptions() engines.Options {
	o := engines.DefaultOptions()
	o.Slots = 6
	o.TokenGap = 20 * time.Millisecond
	o.BatchSlowdown = 0.28
	o.PrefillPerToken = 150 * time.Microsecond
	o.TokensPerStep = 8
	o.CacheBlocks = 12000
	o.LoadTime = 0
	return o
}

// TokenRatePerHost is the number of tokens per second of such a host: 6 slots with 25.6 ms
// between tokens.
const TokenRatePerHost = 6 / 0.0256

// startHost starts a host that serves after startDelay. It returns false if the data centre
// refuses the host.
func (c *fakeCloud) startHost(offer capacity.Offer, startDelay time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if offer.Reclaimable && now.Before(c.refusedUntil[offer.DataCenter]) {
		return false
	}
	c.nextID++
	h := &host{
		engine: engines.New(1, engineOptions()), offer: offer, startedAt: now,
		info: endpoint.Info{
			ID: fmt.Sprintf("e%03d", c.nextID), Incarnation: 1, State: endpoint.Live, Counter: 1, DataCenter: offer.DataCenter,
			Class: offer.Class, Kind: endpoint.Model, Model: "m", Version: "1", Address: fmt.Sprintf("a%03d", c.nextID),
			Reclaimable: offer.Reclaimable,
		},
	}
	c.hosts = append(c.hosts, h)
	c.run.direct.Add(h.info.Address, h.engine)
	_ = c.run.direct.Order(context.Background(), h.info.Address, engine.Order{Epoch: 1, Model: "m", Version: "1"})
	time.AfterFunc(startDelay, func() { c.run.announce(h.info) })
	return true
}

// reclaim gives notice to all reclaimable hosts of a data centre and kills them when the
// notice is over.
func (c *fakeCloud) reclaim(event Reclaim) {
	c.mu.Lock()
	defer c.mu.Unlock()
	dataCenter := c.run.fleet.DataCenters[event.DataCenter]
	now := time.Now()
	c.refusedUntil[dataCenter] = now.Add(event.Notice + event.RefusalTime)
	for _, h := range c.hosts {
		if h.info.DataCenter != dataCenter || !h.info.Reclaimable || !h.reclaimedAt.IsZero() {
			continue
		}
		h.reclaimedAt = now.Add(event.Notice)
		leaving := h.info
		leaving.State = endpoint.Leaving
		leaving.LeaveBy = h.reclaimedAt
		time.AfterFunc(noticeDelay, func() { c.run.announce(leaving) })
		time.AfterFunc(event.Notice, func() { c.run.direct.Kill(h.info.Address) })
	}
}

// runningHosts returns the hosts that have had no reclaim notice, with their offers.
func (c *fakeCloud) runningHosts() []capacity.HostCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []capacity.HostCount
	for _, h := range c.hosts {
		if h.reclaimedAt.IsZero() {
			list = append(list, capacity.HostCount{Offer: h.offer, Hosts: 1})
		}
	}
	return list
}

// totalCost returns the cost of all hosts up to now.
func (c *fakeCloud) totalCost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, h := range c.hosts {
		until := time.Now()
		if !h.reclaimedAt.IsZero() && h.reclaimedAt.Before(until) {
			until = h.reclaimedAt
		}
		total += h.offer.HourlyPrice * until.Sub(h.startedAt).Hours()
	}
	return total
}

// updateRunning sets the number of running hosts of each offer.
func (c *fakeCloud) updateRunning(offers []capacity.Offer) {
	running := c.runningHosts()
	for i := range offers {
		offers[i].Running = 0
		for _, n := range running {
			if n.Offer.DataCenter == offers[i].DataCenter && n.Offer.Reclaimable == offers[i].Reclaimable {
				offers[i].Running += n.Hosts
			}
		}
	}
}

// updateHazard sets the hazard of each reclaimable offer to the estimate of the first entry.
func (c *fakeCloud) updateHazard(offers []capacity.Offer, now time.Time) {
	for i := range offers {
		if offers[i].Reclaimable {
			pool := hazard.Pool{DataCenter: offers[i].DataCenter, Class: offers[i].Class}
			offers[i].HazardPerHour = c.run.entries[0].hazard.Rate(pool, now)
		}
	}
}

// replaceReclaimed replaces reclaimed hosts according to the capacity plan until the run
// ends.
func (c *fakeCloud) replaceReclaimed(p Policy, offers []capacity.Offer, demand capacity.Demand) {
	random := rand.New(rand.NewPCG(c.run.seed, 5))
	reconciler := capacity.NewReconciler()
	const period = 10 * time.Second
	for c.run.active() {
		time.Sleep(period)
		now := time.Now()
		reconciler.SetRefusedUntil(offers)
		c.updateRunning(offers)
		c.updateHazard(offers, now)
		for _, change := range reconciler.Reconcile(p.plan(offers, demand, now), c.runningHosts(), now) {
			for range change.Hosts {
				if !c.startHost(change.Offer, hostStartTime) {
					reconciler.RecordRefusal(change.Offer, now, random)
					break
				}
			}
		}
	}
}
