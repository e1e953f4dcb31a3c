package fragilelab

import (
	"fmt"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/route"
)

// server is an endpoint.
type server struct {
	info      endpoint.Info
	running   map[*request]bool
	queue     []*request
	isDown    bool
	firstSent time.Duration
	// rejected are the rejections within the last second.
	rejected []rejection
}

type rejection struct {
	at   time.Duration
	host *host
}

// endpointOf returns the endpoint with an ID, nil if it has failed.
func (f *fleet) endpointOf(id string) *server {
	for _, e := range f.endpoints {
		if e.info.ID == id && !e.isDown {
			return e
		}
	}
	return nil
}

// arrive lets a request arrive at an endpoint.
func (f *fleet) arrive(e *server, r *request) {
	queue := queueSize
	if e != nil && f.isFragile() && e.firstSent > 0 && f.Now() >= e.firstSent+queueLostAfter {
		queue = 0
	}
	switch {
	case e == nil || e.isDown || e.info.ID != r.choice.Endpoint.ID:
		f.finish(r, nil, route.Result{Failed: true})
	case len(e.running) < slots:
		f.run(e, r)
	case len(e.queue) < queue:
		e.queue = append(e.queue, r)
	default:
		f.reject(e, r)
	}
}

// run runs a request until it is served or its caller leaves.
func (f *fleet) run(e *server, r *request) {
	e.running[r] = true
	if f.random.Float64() < f.setup.AbandonShare {
		f.abandon(e, r, time.Duration(f.random.Float64()*float64(r.time)))
		return
	}
	f.After(r.time, func() {
		if !e.running[r] {
			return
		}
		f.release(e, r, r.time)
		f.outcome.Served[r.kind]++
		f.finish(r, e, route.Result{})
	})
}

// release frees the slot of a request that was held for some time.
func (f *fleet) release(e *server, r *request, held time.Duration) {
	delete(e.running, r)
	if f.Now() >= from+settleTime && f.Now() < until {
		f.usedSlotTime += held
	}
	f.startQueued(e)
}

// abandon lets the caller of a running request leave. The host closes its connection, which the
// endpoint notices after closeTime.
func (f *fleet) abandon(e *server, r *request, after time.Duration) {
	router, choice := r.router, r.choice
	f.After(after, func() {
		if !e.running[r] {
			return
		}
		f.outcome.Failed[r.kind]++
		router.Done(choice, route.Result{Abandoned: true}, f.at())
		f.After(closeTime, func() {
			if e.running[r] {
				f.release(e, r, after)
			}
		})
	})
}

func (f *fleet) startQueued(e *server) {
	for len(e.queue) > 0 && len(e.running) < slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		f.run(e, r)
	}
}

// reject rejects a request for lack of room. The endpoint fails if it rejects too many.
func (f *fleet) reject(e *server, r *request) {
	f.finish(r, e, route.Result{Refused: true})
	if !f.isFragile() {
		return
	}
	f.outcome.Rejections++
	e.rejected = append(e.rejected, rejection{f.Now(), r.host})
	e.rejected = slices.DeleteFunc(e.rejected, func(r rejection) bool { return f.Now()-r.at > time.Second })
	if len(e.rejected) > f.setup.MaxRejections {
		f.fail(e)
	}
}

// fail makes an endpoint fail; it is back after outageTime.
func (f *fleet) fail(e *server) {
	inTouch := 0
	for _, r := range e.rejected {
		if f.Now()-r.host.startedAt >= inTouchTime {
			inTouch++
		}
	}
	if 2*inTouch > len(e.rejected) {
		f.outcome.Falls++
		if f.Now() >= from+queueLostAfter {
			f.outcome.LateFalls++
		}
	} else {
		f.outcome.ExcusedFalls++
	}
	e.isDown = true
	lost := slices.Concat(slices.Collect(keys(e.running)), e.queue)
	e.running, e.queue = map[*request]bool{}, nil
	for _, r := range lost {
		f.finish(r, nil, route.Result{Failed: true})
	}
	gone := e.info
	gone.State = endpoint.Gone
	f.After(rowLapseTime, func() { f.spread(gone) })
	f.After(outageTime, func() {
		f.startEndpoint(e)
		f.spread(e.info)
	})
}

// keys iterates over requests in the order in which they arrived, so that runs are reproducible.
func keys(running map[*request]bool) func(func(*request) bool) {
	var list []*request
	for r := range running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *request) int { return int(a.arrivedAt - b.arrivedAt) })
	return slices.Values(list)
}

func (f *fleet) startEndpoint(e *server) {
	f.starts++
	*e = server{running: map[*request]bool{}, info: endpoint.Info{
		ID: fmt.Sprintf("e%03d", f.starts), Incarnation: 1, StartedMS: int64(f.starts), State: endpoint.Live, Kind: endpoint.Plain, Service: "s", Slots: f.setup.ReportedSlots,
	}}
}

// noticeOf returns what the endpoint's response reports about it.
func (f *fleet) noticeOf(e *server, refused bool) endpoint.Notice {
	n := endpoint.Notice{Refused: refused}
	if !f.isFragile() {
		return n
	}
	if e.firstSent == 0 {
		e.firstSent = f.Now()
	}
	if f.setup.IsNaive {
		return n
	}
	return n.WithMaxRejections(fmt.Sprint(f.setup.MaxRejections))
}
