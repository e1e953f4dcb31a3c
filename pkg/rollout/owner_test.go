package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/rollout"
)

// reportOf is what a host has counted of three routes with four kinds each.
func reportOf(host, answers int) rollout.Report {
	r := rollout.Report{Service: service, Order: order.ID, Phase: rollout.Trying, Epoch: 1, Asked: 20 * answers, Tried: answers}
	for kind := range 12 {
		r.Tallies = append(r.Tallies, rollout.Tally{Kind: rollout.Kind(kind * 4), Count: rollout.Count{Answers: 19 * answers, Bad: answers / 5}})
		for e := range 4 {
			r.Tallies = append(r.Tallies, rollout.Tally{
				Kind: rollout.Kind(kind * 4), Endpoint: fmt.Sprint("e", e), Count: rollout.Count{Answers: answers + host, Bad: answers / 100},
			})
		}
	}
	return r
}

// A decision on the reports of eight hosts: 0.52 ms, ten times a second while an order is
// under way.
func BenchmarkDecision(b *testing.B) {
	o := rollout.NewOwner(rollout.State{Order: order, Phase: rollout.Trying, Started: time.Minute}, bounds, rollout.Prices(), 1, time.Minute)
	fleet := rollout.Fleet{Callers: 8, Others: 60, Targets: 60}
	now := time.Minute
	for step := range 100 {
		now += 100 * time.Millisecond
		for host := range 8 {
			o.Hear(fmt.Sprint("h", host), reportOf(host, step), now)
		}
		o.Next(fleet, now)
	}
	for b.Loop() {
		o.Next(fleet, now)
	}
}
