package soak

import (
	"context"
	"fmt"
	"sync"
	"time"
)

// Severance is how the connections of running streams are severed.
type Severance int

// The severances. All but the first leave the other end of the connections open.
const (
	// AtBothEnds resets connections between hosts and endpoints, which continue their runs all the same.
	AtBothEnds Severance = iota
	// AtHost resets the hosts' ends of their connections to endpoints.
	AtHost
	// BeforeHost lets the connections between hosts and endpoints fall silent.
	BeforeHost
	// AtCaller resets the callers' ends of their connections to hosts.
	AtCaller
	// BeforeCaller lets the connections between callers and hosts fall silent.
	BeforeCaller
)

// Overlaps are streams whose connections are severed and that continue: within a request if the host
// resumes them, otherwise over further requests of their callers.
type Overlaps struct {
	Severance Severance
	Rounds    int
	// StreamsPerRound are severed at once. TakeUpElsewhere lets callers resume streams at the next host.
	StreamsPerRound int
	TakeUpElsewhere bool
}

// OverlapOutcome counts streams.
type OverlapOutcome struct {
	Begun, Complete int
	// Requests and Streams ran at two endpoints for too long, within one request of the caller and over all of
	// them; Longest is the longest such time.
	Requests, Streams int
	Longest           time.Duration
	// LongestGap is the longest time between two events of one request.
	LongestGap time.Duration
}

// Timing of overlaps.
const (
	// longEventInterval makes streams last about two seconds.
	longEventInterval = 100 * time.Millisecond
	// callerSilence is how long callers wait for an event.
	callerSilence = 600 * time.Millisecond
	// overlapTries bounds the attempts of a caller at a stream.
	overlapTries = 6
)

// RunOverlaps severs the connections of streams and counts the runs that overlap.
func RunOverlaps(ctx context.Context, o Options, severed Overlaps) (Outcome, OverlapOutcome, error) {
	r := newRun(o)
	r.separateLinks = true
	r.requestLog.SetEventInterval(longEventInterval)
	defer r.stop()
	if err := r.start(); err != nil {
		return Outcome{}, OverlapOutcome{}, err
	}
	doors, err := r.openDoors()
	if err != nil {
		return Outcome{}, OverlapOutcome{}, err
	}
	for _, e := range r.endpoints {
		e.SetLingering(severed.Severance == AtBothEnds)
	}
	r.wait(ctx, meetTime)
	var got OverlapOutcome
	for round := range severed.Rounds {
		var streams []*brokenStream
		for i := range severed.StreamsPerRound {
			s := r.newStream(fmt.Sprintf("o%d-%d-%d", o.Seed, round, i))
			s.addressOf = func(n *node) string { return doors[n].Address() }
			s.silence, s.host = callerSilence, i
			streams = append(streams, s)
		}
		r.severWhileRead(ctx, severed, streams, doors)
		for _, s := range streams {
			got.add(s)
		}
	}
	// The last runs at endpoints that continue them end meanwhile.
	r.wait(ctx, 2*time.Second)
	streams, longest := r.requestLog.OverlappingStreams()
	got.Requests, got.Streams, got.Longest = len(r.requestLog.Overlaps()), len(streams), longest
	return r.outcome(), got, ctx.Err()
}

// openDoors starts a proxy in front of the callers' address of each host.
func (r *run) openDoors() (map[*node]*Proxy, error) {
	doors := map[*node]*Proxy{}
	for _, n := range r.nodes {
		door, err := NewProxy(n.settings.Callers)
		if err != nil {
			return nil, err
		}
		doors[n] = door
	}
	return doors, nil
}

// severWhileRead reads streams to their ends, and severs their connections once all have begun.
func (r *run) severWhileRead(ctx context.Context, severed Overlaps, streams []*brokenStream, doors map[*node]*Proxy) {
	var reading sync.WaitGroup
	reading.Add(len(streams))
	go func() {
		reading.Wait()
		r.sever(severed.Severance, doors)
	}()
	r.eachStream(streams, func(s *brokenStream) {
		reached := sync.OnceFunc(reading.Done)
		for try := 0; try < overlapTries && !s.isComplete && ctx.Err() == nil; try++ {
			s.read(ctx, r.nodes[s.host%len(r.nodes)], reached, false)
			if severed.TakeUpElsewhere {
				s.host++
			}
		}
		reached()
	})
}

func (r *run) sever(how Severance, doors map[*node]*Proxy) {
	for _, n := range r.nodes {
		switch how {
		case AtBothEnds:
			n.links.setMode(Reset, nil)
			n.links.setMode(Pass, nil)
		case AtHost, BeforeHost:
			n.links.detach(how == AtHost)
		case AtCaller, BeforeCaller:
			doors[n].Detach(how == AtCaller)
		}
	}
}

func (o *OverlapOutcome) add(s *brokenStream) {
	if s.first == "" {
		return
	}
	o.Begun++
	if s.isComplete {
		o.Complete++
	}
	o.LongestGap = max(o.LongestGap, s.longestGap)
}
