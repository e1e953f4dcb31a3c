package policybench_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/policybench"
	"ironhollow/pkg/route"
)

// TestReclaimsLoseNoAnswers checks that the default policy loses and corrupts no answer when
// a data centre is reclaimed.
func TestReclaimsLoseNoAnswers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := policybench.Policy{Strategy: route.Expected, PrefixAffinity: true, ReclaimRisk: true, StreamMigration: true, ConcurrencyLimits: true}
		scenario := policybench.Scenario{
			LoadFactor: 1, CapacityMargin: 1, ReportLag: 2 * time.Second, Duration: 2 * time.Minute,
			Reclaims: []policybench.Reclaim{{At: 40 * time.Second, DataCenter: 0, Notice: 5 * time.Second, RefusalTime: time.Minute}},
		}
		got := policybench.Run(policybench.Authority, policy, scenario, 1)
		t.Logf("%+v", got)
		if got.Corrupted != 0 || got.Failed != 0 || got.Requests < 500 {
			t.Errorf("got %d corrupted and %d failed of %d requests, want none of at least 500", got.Corrupted, got.Failed, got.Requests)
		}
		time.Sleep(time.Hour) // Lets every engine discard its streams.
	})
}
