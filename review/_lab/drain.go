package main

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Parameters of the case drain.
const (
	// noticeTime is the notice that reclaimed servers get, within the x of scale_in reclaim.
	noticeTime = 2800 * time.Millisecond
	// afterRead is the time from a host's read of the servers' table to the notice.
	afterRead = 5 * time.Millisecond
	reclaims  = 7
	// reclaimGap is the time from one reclaim to the next. New spot servers come bootTime after it.
	reclaimGap = 11 * time.Second
	bootTime   = 4 * time.Second
)

// runDrain takes away all spot servers of a zone, again and again, while the other servers are full.
func runDrain(record *recorder, trouble bool) (broken bool, err error) {
	f, err := newFleet(record, []string{"hall-a", "hall-b", "hall-c"})
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := putManifest(f.store, 8000, 32, false, map[string]float64{"hall-a": 1.0, "hall-b": 0.8}); err != nil {
		return false, err
	}
	startEngine := func(id, zone string, slots int, spot bool) *engine {
		e := &engine{fleet: f, id: id, service: "ironhollow-narrator", zone: zone, version: "1.4.0", slots: slots, queue: 4, spot: spot, events: 6, longEvents: 16, eventGap: 50 * time.Millisecond}
		if startErr := e.start(); startErr != nil {
			err = startErr
		}
		return e
	}
	var all, spots []*engine
	startSpots := func(round int) {
		spots = nil
		for i := range 4 {
			spots = append(spots, startEngine(fmt.Sprintf("i-spot-%d-%d", round, i), "hall-b", 16, true))
		}
		all = append(all, spots...)
	}
	all = append(all, startEngine("i-kept", "hall-a", 32, false))
	startSpots(0)
	if err != nil {
		return false, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	c := &caller{fleet: f, path: "/recap/a"}
	length := (reclaims + 1) * reclaimGap
	calls := make(chan struct{})
	go func() {
		c.run(120, time.Now().Add(length))
		close(calls)
	}()
	for round := 1; round <= reclaims; round++ {
		time.Sleep(reclaimGap - bootTime)
		if trouble {
			awaitRead(f.store)
			for _, e := range spots {
				e.reclaim(noticeTime)
			}
		}
		time.Sleep(bootTime)
		if trouble {
			startSpots(round)
		}
	}
	<-calls
	var late []lateArrival
	for _, e := range all {
		late = append(late, e.lateArrivals()...)
	}
	fmt.Println("answers:", c.outcomes)
	latest, lost := time.Duration(0), 0
	for _, l := range late {
		latest = max(latest, l.after)
		if c.broken[l.id] {
			lost++
		}
	}
	if len(late) > 0 {
		fmt.Printf("DRAIN: %d requests reached servers more than %v after the acknowledgement of draining, the latest after %v; the answers of %d of them broke off\n", len(late), drainBound, latest, lost)
	}
	record.note("late requests: %v, broken off: %d", late, lost)
	return len(late) > 0, err
}

// awaitRead waits until the store has answered a host's call for changes of the servers' table, and a moment
// longer.
func awaitRead(store *storeServer) {
	read := make(chan struct{})
	var once sync.Once
	store.onServersRead(func(string) { once.Do(func() { close(read) }) })
	<-read
	store.onServersRead(nil)
	time.Sleep(afterRead)
}
