package policybench_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/policybench"
	"ironhollow/pkg/route"
)

// TestNoPromiseIsBrokenInWaves runs a short wave under the policy as shipped.
func TestNoPromiseIsBrokenInWaves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		policy := policybench.Policy{Strategy: route.Expected, Affinity: true, Risk: true, Move: true, Gate: true}
		scenario := policybench.Scenario{
			Load: 1, Margin: 1, ReportLag: 2 * time.Second, Lasts: 2 * time.Minute,
			Waves: []policybench.Wave{{At: 40 * time.Second, Centre: 0, Notice: 5 * time.Second, Refuses: time.Minute}},
		}
		got := policybench.Run(policybench.Authority, policy, scenario, 1)
		t.Logf("%+v", got)
		if got.Broken != 0 || got.Failed != 0 || got.Requests < 500 {
			t.Errorf("got %d broken and %d failed of %d, want none of at least 500", got.Broken, got.Failed, got.Requests)
		}
		time.Sleep(time.Hour) // Lets every engine forget its streams.
	})
}
