package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// Parameters of the case upgrade.
const (
	// downTime is how long a server is down, upgradeGap the time from one server to the next.
	downTime   = 2 * time.Second
	upgradeGap = 2300 * time.Millisecond
	// upgradeRate is the number of new streams a second.
	upgradeRate = 40.0
	// maxMixed is the number of streams of two versions up to which the rule holds.
	maxMixed = 2
)

// runUpgrade starts the servers of a service again, one after the other, under their ids and with another
// software version, while callers read streams.
func runUpgrade(record *recorder, trouble bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c", "hall-d"}
	f, err := newFleet(record, zones)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := putManifest(f.store, int(timeLimit.Milliseconds()), 64, true, nil); err != nil {
		return false, err
	}
	var engines []*engine
	for i := range 4 {
		e := &engine{
			fleet: f, id: fmt.Sprintf("i-%d", i), service: "ironhollow-narrator", zone: zones[i], version: "1.4.0",
			slots: 64, queue: 134, events: 50, eventGap: 60 * time.Millisecond,
		}
		if err := e.start(); err != nil {
			return false, err
		}
		engines = append(engines, e)
	}
	c := &streamCallers{
		fleet: f, calm: &calm{disturbed: map[string]time.Time{}}, rate: upgradeRate, takeUpStatuses: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	calls := make(chan struct{})
	go func() {
		c.run(time.Now().Add(25 * time.Second))
		close(calls)
	}()
	time.Sleep(8 * time.Second)
	if trouble {
		for _, e := range engines[:3] {
			e.crash()
			time.Sleep(downTime)
			if err := e.successor("1.5.0").start(); err != nil {
				return false, err
			}
			record.note("server %s: starts again, version 1.5.0", e.id)
			time.Sleep(upgradeGap - downTime)
		}
	}
	<-calls
	fmt.Printf("streams complete: %d; with events of two versions: %d\n", c.completed, c.mixed)
	if c.mixed > maxMixed {
		fmt.Printf("ORDER: %d streams hold events from servers of two software versions\n", c.mixed)
	}
	return c.mixed > maxMixed, nil
}
