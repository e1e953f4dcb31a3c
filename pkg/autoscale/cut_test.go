package autoscale_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/autoscale"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
)

// Parameters of the cut that is played.
const (
	cutHosts, allHosts = 5, 9
	cutAt              = 30 * time.Second
	cutFound           = cutAt + 1200*time.Millisecond
	cutEnds            = cutAt + 12*time.Second
	dialTimeout        = time.Second
)

var cutTarget = route.Target{Service: "svc"}

// cutFleet is hosts in virtual time whose work reaches the holder of the duties, which is cut itself.
type cutFleet struct {
	// aware is set if cut hosts report the cut, forward requests and count nothing.
	aware   bool
	now     time.Time
	routers []*route.Router
	members *roster.Roster
	// retries are requests with the endpoints that could not be reached, by the time of the next attempt.
	retries map[time.Duration][]retry
}

type retry struct {
	host  int
	query route.Query
}

func hostName(i int) string { return fmt.Sprint("host-", i) }

// play returns the greatest need before the cut and from its beginning on.
func (f *cutFleet) play() (before, during int) {
	const tick, round = 50 * time.Millisecond, 600 * time.Millisecond
	start := time.Unix(50_000, 0)
	f.now, f.retries = start, map[time.Duration][]retry{}
	f.members = roster.New(time.Minute, func(int) time.Duration { return 200 * time.Millisecond })
	f.members.NoteStoreResponse(f.now)
	directory := endpoint.NewDirectory()
	for i := range 40 {
		directory.Merge(endpoint.Info{ID: fmt.Sprint("e", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: cutTarget.Service, Slots: 16})
	}
	for i := range allHosts {
		f.routers = append(f.routers, route.New(directory, hazard.New(), route.Location{Node: hostName(i)}, uint64(i)))
	}
	tracker := autoscale.NewDemandTracker()
	service := routetable.Service{Name: cutTarget.Service}
	for offset := time.Duration(0); offset < cutEnds+20*time.Second; offset += tick {
		f.now = start.Add(offset)
		if f.aware {
			f.applyCuts(offset, start)
		}
		for _, r := range f.retries[offset] {
			f.send(offset, r.host, r.query)
		}
		for i := range allHosts {
			if (offset/tick)%allHosts == time.Duration(i) {
				f.send(offset, i, route.Query{Target: cutTarget, PromptTokens: 2000, AnswerTokens: 100})
			}
		}
		if offset%round != 0 {
			continue
		}
		f.publish(offset)
		work := f.members.Work(f.now)[cutTarget.Service]
		demand := tracker.Observe(service.Name, autoscale.Observation{
			Load: f.members.Demands(f.now)[cutTarget.Service], Offered: work.Offered, Refused: work.Refused, Serving: 40,
		}, f.now)
		need := autoscale.NeedOf(service, autoscale.Demand{Load: 20 * demand.Load, Refused: demand.Refused}).Total()
		switch {
		case offset >= cutAt:
			during = max(during, need)
		case offset > cutAt/2:
			before = max(before, need)
		}
	}
	return before, during
}

func isCut(offset time.Duration, host int) bool {
	return host < cutHosts && offset >= cutAt && offset < cutEnds
}

// applyCuts applies the detection and the end of the cut at the hosts and at the holder.
func (f *cutFleet) applyCuts(offset time.Duration, start time.Time) {
	for i := range cutHosts {
		switch {
		case offset == cutFound || offset == cutEnds:
			f.routers[i].SetCut(offset == cutFound, start.Add(cutAt), f.now)
			f.members.ApplyCut(hostName(i), offset == cutFound, f.now)
		case offset > cutFound && offset < cutEnds:
			f.members.ApplyCut(hostName(i), true, f.now)
		}
	}
}

// send sends a request from a host, through another one while the host knows that it is cut.
func (f *cutFleet) send(offset time.Duration, host int, q route.Query) {
	cut := isCut(offset, host)
	if cut && offset >= cutFound && (f.aware || len(q.Avoid) == 0) {
		forwarded := q
		forwarded.Avoid = nil
		f.send(offset, cutHosts+host%(allHosts-cutHosts), forwarded)
		if f.aware {
			return
		}
	}
	choice, ok := f.routers[host].Choose(q, route.Expected, f.now)
	if !ok {
		return
	}
	f.routers[host].Done(choice, route.Result{Failed: cut}, f.now)
	if cut && len(q.Avoid) < 3 {
		q.Avoid = append(q.Avoid[:len(q.Avoid):len(q.Avoid)], choice.Endpoint.Ref())
		f.retries[offset+dialTimeout] = append(f.retries[offset+dialTimeout], retry{host, q})
	}
}

// publish sends what the hosts measured to the holder.
func (f *cutFleet) publish(offset time.Duration) {
	for i, r := range f.routers {
		host := roster.Host{Incarnation: hostName(i), Node: hostName(i)}
		status := roster.Status{Host: host, Sequence: int64(offset) + 1}
		work := r.Work(cutTarget, f.now)
		if !f.aware || !isCut(offset, i) || offset < cutFound {
			status.Demands = []roster.Demand{{Service: cutTarget.Service, Rate: r.EngineDemand(cutTarget, f.now)}}
			f.members.ApplyWork(hostName(i), []roster.Work{{Service: cutTarget.Service, Offered: work.Offered, Refused: work.Refused}}, f.now)
		}
		f.members.ApplyStatus(status, f.now)
	}
}

// Guards against orders for work that cut hosts could not send, or that two hosts count.
func TestCutOrdersNoEndpoints(t *testing.T) {
	before, during := (&cutFleet{aware: true}).play()
	if before < 5 || during > before {
		t.Errorf("need: got %d before the cut and %d from then on, want at least 5 and no more than before", before, during)
	}
	if before, during = (&cutFleet{}).play(); during <= before {
		t.Errorf("need with hosts that count forwarded work too: got %d before the cut and %d from then on, want more: the test shows nothing", before, during)
	}
}
