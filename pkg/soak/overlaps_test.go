package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

func runOverlaps(t *testing.T, severed soak.Overlaps) soak.OverlapOutcome {
	t.Helper()
	severed.Rounds, severed.StreamsPerRound = 3, 40
	outcome, got, err := soak.RunOverlaps(context.Background(), soak.Options{
		Program: buildNode(t), Folder: t.TempDir(), Seed: 1, Nodes: 3, Log: t.Output(),
	}, severed)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	t.Logf("%d streams began, %d complete; overlapping within a request %d, over take-ups %d, for up to %v; gaps up to %v",
		got.Begun, got.Complete, got.Requests, got.Streams, got.Longest, got.LongestGap)
	if wanted := severed.Rounds * severed.StreamsPerRound; got.Begun < wanted*9/10 || got.Complete < got.Begun*9/10 {
		t.Errorf("got %d of %d streams begin and %d complete, want nine tenths", got.Begun, wanted, got.Complete)
	}
	return got
}

// Guards against streams that are resumed while the endpoint before continues their run.
func TestResumedStreamRunsAtOneEndpoint(t *testing.T) {
	for name, severance := range map[string]soak.Severance{"endpoints continue": soak.AtBothEnds, "reset at the host": soak.AtHost} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			if got := runOverlaps(t, soak.Overlaps{Severance: severance}); got.Requests > 0 {
				t.Errorf("got %d requests that ran at two endpoints, want none", got.Requests)
			}
		})
	}
}

// Guards against streams that callers take up while the run of an earlier attempt continues.
func TestTakenUpStreamRunsAtOneEndpoint(t *testing.T) {
	for name, severance := range map[string]soak.Severance{
		"endpoints continue": soak.AtBothEnds, "reset at the host": soak.AtHost, "silent before the host": soak.BeforeHost,
		"reset at the caller": soak.AtCaller, "silent before the caller": soak.BeforeCaller,
	} {
		for where, elsewhere := range map[string]bool{"same host": false, "next host": true} {
			t.Run(name+", "+where, func(t *testing.T) {
				t.Parallel()
				if got := runOverlaps(t, soak.Overlaps{Severance: severance, TakeUpElsewhere: elsewhere}); got.Streams > 0 {
					t.Errorf("got %d streams that ran at two endpoints, want none", got.Streams)
				}
			})
		}
	}
}
