package route_test

import (
	"testing"
	"time"

	"ironhollow/pkg/route"
)

// failAt sends requests to an endpoint and records a failure of each.
func failAt(r *route.Router, endpoint, count int, at time.Time) (sent int) {
	for range count {
		if choice, ok, _ := r.ChooseAt(query(), info(endpoint).Ref(), at); ok {
			sent++
			r.Done(choice, route.Result{Failed: true}, at)
		}
	}
	return sent
}

// Guards against endpoints that are ejected after a cut of this host for failures that the cut caused.
func TestCutEjectsNoEndpoint(t *testing.T) {
	r, _, _ := newRouter(10)
	usable := func(when string, at time.Time) {
		t.Helper()
		for e := range 10 {
			if choice, ok, _ := r.ChooseAt(query(), info(e).Ref(), at); ok {
				r.Done(choice, route.Result{Refused: true}, at)
			} else {
				t.Errorf("%s: endpoint %d is not used", when, e)
			}
		}
	}
	for e := range 4 {
		failAt(r, e, 3, now)
	}
	hung, _, _ := r.ChooseAt(query(), info(5).Ref(), now)
	r.SetCut(true, now, now.Add(time.Second))
	usable("during the cut", now.Add(time.Second))
	failAt(r, 6, 3, now.Add(time.Second))
	r.SetCut(false, now, now.Add(2*time.Second))
	for range 3 {
		r.Done(hung, route.Result{Failed: true}, now.Add(3*time.Second))
	}
	usable("after the cut", now.Add(3*time.Second))
	if failAt(r, 7, 4, now.Add(4*time.Second)); failAt(r, 7, 1, now.Add(4*time.Second)) != 0 {
		t.Error("failures after the cut: got the endpoint used, want it ejected")
	}
}

// Guards against the loss of failures that a cut has not caused.
func TestCutKeepsEarlierEjections(t *testing.T) {
	r, _, _ := newRouter(10)
	failAt(r, 0, 3, now)
	r.SetCut(true, now.Add(1), now.Add(time.Second))
	r.SetCut(false, now.Add(1), now.Add(time.Second))
	if failAt(r, 0, 1, now.Add(time.Second)) != 0 {
		t.Error("endpoint that failed before the cut: got it used, want it ejected")
	}
}

// Guards against orders for requests that a cut host could not send.
func TestCutCountsNoWork(t *testing.T) {
	r, _, _ := newRouter(10)
	choose := func(at time.Time) {
		if choice, ok := r.Choose(query(), route.Expected, at); ok {
			r.Done(choice, route.Result{Failed: true}, at)
		}
	}
	choose(now)
	r.SetCut(true, now, now)
	choose(now)
	r.RecordRefusal(query(), now)
	if w := r.Work(query().Target, now); w.Offered != 0 || w.Refused != 0 {
		t.Errorf("work during the cut: got %+v, want none", w)
	}
	r.SetCut(false, now, now)
	choose(now)
	if w := r.Work(query().Target, now); w.Offered <= 0 {
		t.Errorf("work after the cut: got %+v, want some", w)
	}
}
