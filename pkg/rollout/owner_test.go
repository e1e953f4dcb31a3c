package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/rollout"
)

// reportOf returns a host's report with the counts of three routes with four kinds each.
func reportOf(host, answers int) rollout.Report {
	r := rollout.Report{Service: service, Order: order.ID, Phase: rollout.Trying, Epoch: 1, Requests: 20 * answers, TargetRequests: answers}
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

// With no endpoint of another version there is nothing to compare with: an order for the version in
// use is completed, however many of its answers fail.
func TestOrderForTheVersionInUse(t *testing.T) {
	o := rollout.NewOwner(rollout.State{Order: order, Phase: rollout.Trying, Started: time.Minute}, bounds, rollout.DefaultBayesTest(), 1, time.Minute)
	fleet := rollout.Fleet{Advertised: 1, TargetEndpoints: 4, Live: []string{"h"}}
	tallies := []rollout.Tally{{Kind: 4, Endpoint: "e", Count: rollout.Count{Answers: 300, Bad: 60}}}
	for now := time.Minute; now < time.Minute+order.Period; now += 100 * time.Millisecond {
		o.ApplyReport("h", rollout.Report{Service: service, Order: order.ID, Phase: rollout.Trying, Requests: 300, Tallies: tallies})
		step := o.Next(fleet, now)
		if step.Write == rollout.Completed {
			return
		}
		if step.Write != 0 || step.Directive.Phase == rollout.Reverted {
			t.Fatalf("%v after the order: got phase %v (%s), want completed", now-time.Minute, step.Write, step.Reason)
		}
	}
	t.Error("not completed within the period")
}

// Guards against reverting a sound target before it has any answers when an owner takes over shortly
// before the end of the period.
func TestLateOwnerWaitsForAnswersOfTheTarget(t *testing.T) {
	const takeoverAfter, answersAfter = 17500 * time.Millisecond, 18700 * time.Millisecond
	start := time.Minute
	for _, bad := range []bool{false, true} {
		o := rollout.NewOwner(rollout.State{Order: order, Phase: rollout.Trying, Started: start}, bounds, rollout.DefaultBayesTest(), 14, start+takeoverAfter)
		fleet := rollout.Fleet{Advertised: 3, OtherEndpoints: 4, TargetEndpoints: 4, Live: []string{"h"}}
		want, got := rollout.Draining, rollout.Phase(0)
		if bad {
			want = rollout.Reverted
		}
		for now := start + takeoverAfter; now < start+order.Period && got == 0; now += 100 * time.Millisecond {
			r := rollout.Report{Service: service, Order: order.ID, Phase: rollout.Trying, Epoch: 14, Requests: int(150 * (now - start - takeoverAfter).Seconds())}
			if now >= start+answersAfter {
				count := rollout.Count{Answers: 12}
				if bad {
					count.Bad = 6
				}
				r.TargetRequests = 12
				r.Tallies = []rollout.Tally{{Kind: 4, Count: rollout.Count{Answers: 340}}, {Kind: 4, Endpoint: "e", Count: count}}
			}
			o.ApplyReport("h", r)
			got = o.Next(fleet, now).Write
		}
		if got != want {
			t.Errorf("target bad %t: got phase %v, want %v", bad, got, want)
		}
	}
}

// A decision on the reports of eight hosts takes 0.52 ms. It is made ten times a second while an
// order is in progress.
func BenchmarkDecision(b *testing.B) {
	o := rollout.NewOwner(rollout.State{Order: order, Phase: rollout.Trying, Started: time.Minute}, bounds, rollout.DefaultBayesTest(), 1, time.Minute)
	fleet := rollout.Fleet{Advertised: 8, OtherEndpoints: 60, TargetEndpoints: 60}
	now := time.Minute
	for step := range 100 {
		now += 100 * time.Millisecond
		for host := range 8 {
			o.ApplyReport(fmt.Sprint("h", host), reportOf(host, step))
		}
		o.Next(fleet, now)
	}
	for b.Loop() {
		o.Next(fleet, now)
	}
}

// Guards against completing a bad target because an owner that has taken over late decides before most hosts have reported to it.
func TestLateOwnerWaitsForReportsOfLiveHosts(t *testing.T) {
	const takeoverAfter = 17500 * time.Millisecond
	start := time.Minute
	for name, c := range map[string]struct {
		// reportAfter is when the other hosts report, 0 for never; bad is set if their answers of the target are.
		reportAfter time.Duration
		bad         bool
		want        rollout.Phase
	}{
		"bad target":   {takeoverAfter + 1500*time.Millisecond, true, rollout.Reverted},
		"sound target": {takeoverAfter + 1500*time.Millisecond, false, rollout.Draining},
		"no reports":   {0, true, rollout.Reverted},
	} {
		t.Run(name, func(t *testing.T) {
			o := rollout.NewOwner(rollout.State{Order: order, Phase: rollout.Trying, Started: start}, bounds, rollout.DefaultBayesTest(), 14, start+takeoverAfter)
			fleet := rollout.Fleet{Advertised: 3, OtherEndpoints: 4, TargetEndpoints: 4, Live: []string{"own", "a", "b"}}
			report := rollout.Report{Service: service, Order: order.ID, Phase: rollout.Trying, Epoch: 14}
			count := rollout.Count{Answers: 12}
			if c.bad {
				count.Bad = 6
			}
			var got rollout.Phase
			for now := start + takeoverAfter; now < start+order.Period+time.Second && got == 0; now += 100 * time.Millisecond {
				o.ApplyReport("own", report)
				if c.reportAfter > 0 && now >= start+c.reportAfter {
					other := report
					other.Requests, other.TargetRequests = 340, 12
					other.Tallies = []rollout.Tally{{Kind: 4, Count: rollout.Count{Answers: 330}}, {Kind: 4, Endpoint: "e", Count: count}}
					o.ApplyReport("a", other)
					o.ApplyReport("b", other)
				}
				got = o.Next(fleet, now).Write
			}
			if got != c.want {
				t.Errorf("got phase %v, want %v", got, c.want)
			}
		})
	}
}
