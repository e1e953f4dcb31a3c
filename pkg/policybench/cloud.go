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

// Wave is one data centre's reclaim.
type Wave struct {
	At     time.Duration
	Centre int
	Notice time.Duration
	// Refuses is how long new hosts are refused there afterwards.
	Refuses time.Duration
}

// Times of a host's start.
const (
	startTime = 40 * time.Second
	newsLag   = 300 * time.Millisecond
)

// host is one engine bought.
type host struct {
	info   endpoint.Info
	engine *engines.Engine
	offer  capacity.Offer
	bought time.Time
	ended  time.Time
}

// fakeCloud buys and reclaims engines and keeps the account.
type fakeCloud struct {
	run *run

	mu      sync.Mutex
	hosts   []*host
	refused map[string]time.Time
	nextID  int
}

// engineOptions are of a server that gives about 184 tokens a second within
// the latency target, as the users' plan has it on average.
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

// RatePerHost is what such a host gives, in tokens a second.
const RatePerHost = 6 / 0.0256

// buy starts a host; it serves after wait.
func (c *fakeCloud) buy(offer capacity.Offer, wait time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	if offer.Reclaimable && now.Before(c.refused[offer.DataCenter]) {
		return false
	}
	c.nextID++
	h := &host{
		engine: engines.New(1, engineOptions()), offer: offer, bought: now,
		info: endpoint.Info{
			ID: fmt.Sprintf("e%03d", c.nextID), Incarnation: 1, State: endpoint.Live, Counter: 1, DataCenter: offer.DataCenter,
			Class: offer.Class, Kind: endpoint.Model, Model: "m", Version: "1", Address: fmt.Sprintf("a%03d", c.nextID),
			Reclaimable: offer.Reclaimable,
		},
	}
	c.hosts = append(c.hosts, h)
	c.run.direct.Add(h.info.Address, h.engine)
	_ = c.run.direct.Order(context.Background(), h.info.Address, engine.Order{Epoch: 1, Model: "m", Version: "1"})
	time.AfterFunc(wait, func() { c.run.tell(h.info) })
	return true
}

// reclaim gives notice to all reclaimable hosts of a data centre.
func (c *fakeCloud) reclaim(w Wave) {
	c.mu.Lock()
	defer c.mu.Unlock()
	centre := c.run.fleet.Centres[w.Centre]
	now := time.Now()
	c.refused[centre] = now.Add(w.Notice + w.Refuses)
	for _, h := range c.hosts {
		if h.info.DataCenter != centre || !h.info.Reclaimable || !h.ended.IsZero() {
			continue
		}
		h.ended = now.Add(w.Notice)
		leaving := h.info
		leaving.State = endpoint.Leaving
		leaving.LeaveBy = h.ended
		time.AfterFunc(newsLag, func() { c.run.tell(leaving) })
		time.AfterFunc(w.Notice, func() { c.run.direct.Kill(h.info.Address) })
	}
}

// living counts the hosts of each offer that are not reclaimed.
func (c *fakeCloud) living() []capacity.HostCount {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []capacity.HostCount
	for _, h := range c.hosts {
		if h.ended.IsZero() {
			list = append(list, capacity.HostCount{Offer: h.offer, Hosts: 1})
		}
	}
	return list
}

// cost is the price of all hosts until now.
func (c *fakeCloud) cost() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0.0
	for _, h := range c.hosts {
		until := time.Now()
		if !h.ended.IsZero() && h.ended.Before(until) {
			until = h.ended
		}
		total += h.offer.HourlyPrice * until.Sub(h.bought).Hours()
	}
	return total
}

// count puts the hosts there are into the offers.
func (c *fakeCloud) count(offers []capacity.Offer) {
	living := c.living()
	for i := range offers {
		offers[i].Running = 0
		for _, n := range living {
			if n.Offer.DataCenter == offers[i].DataCenter && n.Offer.Reclaimable == offers[i].Reclaimable {
				offers[i].Running += n.Hosts
			}
		}
	}
}

// learn puts the hazard that one entry has learned into the offers.
func (c *fakeCloud) learn(offers []capacity.Offer, now time.Time) {
	for i := range offers {
		if offers[i].Reclaimable {
			place := hazard.Pool{DataCenter: offers[i].DataCenter, Class: offers[i].Class}
			offers[i].HazardPerHour = c.run.entries[0].hazard.Rate(place, now)
		}
	}
}

// keepUp replaces what was reclaimed, by the plan, until the run ends.
func (c *fakeCloud) keepUp(p Policy, offers []capacity.Offer, demand capacity.Demand) {
	random := rand.New(rand.NewPCG(c.run.seed, 5))
	stepper := capacity.NewReconciler()
	const period = 10 * time.Second
	for c.run.live() {
		time.Sleep(period)
		now := time.Now()
		stepper.SetRefusedUntil(offers)
		c.count(offers)
		c.learn(offers, now)
		for _, change := range stepper.Reconcile(p.plan(offers, demand, now), c.living(), now) {
			for range change.Hosts {
				if !c.buy(change.Offer, startTime) {
					stepper.RecordRefusal(change.Offer, now, random)
					break
				}
			}
		}
	}
}
