package soak_test

import (
	"context"
	"testing"

	"ironhollow/pkg/soak"
)

// checkTakeUps checks that no stream mixes releases, and that the share of take-ups that continue is at least half of the share that begins of
// the wanted streams.
func checkTakeUps(t *testing.T, outcome soak.Outcome, got soak.TakeUpOutcome, wanted int) {
	t.Helper()
	for _, violation := range outcome.Violations {
		t.Error(violation)
	}
	t.Logf("%d streams began, %d mixed releases; %d of %d take-ups went on", got.Begun, got.Mixed, got.WentOn, got.TakenUp)
	if got.Mixed > 0 {
		t.Errorf("got %d of %d streams with events of several releases, want none", got.Mixed, got.Begun)
	}
	if 2*got.Begun < wanted || 2*got.WentOn*wanted < got.TakenUp*got.Begun || got.TakenUp == 0 {
		t.Errorf("got %d of %d taken up go on, and %d of %d begin, want half of that share at least", got.WentOn, got.TakenUp, got.Begun, wanted)
	}
}

// Guards against streams that callers take up at another host and that continue at another release.
func TestStreamTakenUpElsewhereGoesOnAtItsRelease(t *testing.T) {
	program := buildNode(t)
	for _, way := range []struct {
		name string
		how  soak.Break
	}{{"caller closes", soak.BreakByCaller}, {"host killed", soak.BreakByKill}, {"host suspended", soak.BreakBySuspension}} {
		t.Run(way.name, func(t *testing.T) {
			t.Parallel()
			versions := []string{"v1", "v1.1", "v1.2", "v1", "v1.1", "v1.2"}
			outcome, got, err := soak.RunTakeUps(context.Background(), soak.Options{
				Program: program, Folder: t.TempDir(), Seed: 1, Nodes: 4, Log: t.Output(),
			}, versions, soak.TakeUps{Rounds: 4, StreamsPerRound: 40, Break: way.how})
			if err != nil {
				t.Fatal(err)
			}
			checkTakeUps(t, outcome, got, 4*40)
		})
	}
}

// Guards against streams that no host continues, or that continue at another release, after all hosts have been killed at once.
func TestStreamsTakenUpAfterAllHostsWereKilledGoOn(t *testing.T) {
	program := buildNode(t)
	for name, versions := range map[string][]string{
		"three releases": {"v1", "v1.1", "v1.2", "v1", "v1.1", "v1.2"}, "one release": {"v1", "v1", "v1", "v1"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const rounds, streams = 2, 40
			outcome, got, err := soak.RunTakeUps(context.Background(), soak.Options{
				Program: program, Folder: t.TempDir(), Seed: 1, Nodes: 4, Log: t.Output(),
			}, versions, soak.TakeUps{Rounds: rounds, StreamsPerRound: streams, Break: soak.BreakByKillOfAll})
			if err != nil {
				t.Fatal(err)
			}
			checkTakeUps(t, outcome, got, rounds*streams)
		})
	}
}
