package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	// newReleaseTime is how long hosts take at most to read the rows of endpoints that have started.
	newReleaseTime = 1600 * time.Millisecond
	// originSearchTime is somewhat less than a host waits for others that may know where a stream began.
	originSearchTime = 280 * time.Millisecond
	// outdatedEventInterval lets streams last until the hosts that relay them have been killed.
	outdatedEventInterval = 60 * time.Millisecond
)

// RunTakeUpsAtOutdatedHost starts endpoints of another release while host 0 is cut from the store. The others begin streams
// and are killed before they have written where these began, and callers take them up at host 0, which the store serves again.
func RunTakeUpsAtOutdatedHost(ctx context.Context, o Options, streamsPerHost int) (Outcome, TakeUpOutcome, error) {
	r := newRun(o)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, TakeUpOutcome{}, err
	}
	r.wait(ctx, meetTime)
	// Host 0 relays streams of the only release, and writes so.
	r.newStream(fmt.Sprintf("s%d-before", o.Seed)).takeUp(ctx, 0, func() {}, false)
	r.wait(ctx, settleTime)
	r.requestLog.SetEventInterval(outdatedEventInterval)
	r.setMode(r.nodes[0].storeProxy, Reset)
	for range r.streamVersions {
		if err := r.addStreamEndpoint("v2"); err != nil {
			return Outcome{}, TakeUpOutcome{}, err
		}
	}
	// Hosts that start use all releases at once.
	for _, n := range r.nodes[1:] {
		n.signal(syscall.SIGKILL)
	}
	r.wait(ctx, newReleaseTime)
	if err := r.waitReady(startTimeout); err != nil {
		return Outcome{}, TakeUpOutcome{}, err
	}
	var streams []*brokenStream
	var begun, reading sync.WaitGroup
	for host := 1; host < len(r.nodes); host++ {
		for i := range streamsPerHost {
			s := r.newStream(fmt.Sprintf("s%d-%d-%d", o.Seed, host, i))
			s.eventsBeforeBreak = 1
			streams = append(streams, s)
			begun.Add(1)
			reading.Go(func() { s.takeUp(ctx, host, sync.OnceFunc(begun.Done), false) })
		}
	}
	begun.Wait()
	for _, n := range r.nodes[1:] {
		n.signal(syscall.SIGKILL)
	}
	reading.Wait()
	// Host 0 waits for the killed hosts meanwhile, and reads the store as soon as it is back.
	time.AfterFunc(originSearchTime, func() { r.setMode(r.nodes[0].storeProxy, Pass) })
	var got TakeUpOutcome
	r.eachStream(streams, func(s *brokenStream) {
		s.addressOf = func(*node) string { return r.nodes[0].settings.Callers }
		s.takeUp(ctx, 0, func() {}, false)
	})
	for _, s := range streams {
		got.add(s)
	}
	return r.outcome(), got, ctx.Err()
}

// addStreamEndpoint starts another endpoint of the stream service.
func (r *run) addStreamEndpoint(version string) error {
	r.mu.Lock()
	i := len(r.endpoints)
	r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
	r.streamVersions = append(r.streamVersions, version)
	r.mu.Unlock()
	return r.startEndpoint(i)
}
