package rollout_test

import (
	"testing"

	"ironhollow/pkg/rollout"
)

func evidence(others, target rollout.Count) rollout.Evidence {
	return rollout.NewEvidence(
		rollout.Tally{Kind: 4, Count: others},
		rollout.Tally{Kind: 4, Endpoint: "e1", Count: target},
	)
}

// What is taken for bad early and at the last moment. One in seven answers of a route
// that fails by itself is no fault of the version.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		what           string
		others, target rollout.Count
		early, last    bool
	}{
		{"nothing known", rollout.Count{}, rollout.Count{}, false, true},
		{"as good", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 40}, false, false},
		{"one of few fails", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 8, Bad: 1}, false, true},
		{"half fail", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 8, Bad: 4}, true, true},
		{"fails as the others do", rollout.Count{Answers: 1000, Bad: 140}, rollout.Count{Answers: 100, Bad: 14}, false, false},
		{"fails more than the others", rollout.Count{Answers: 1000, Bad: 140}, rollout.Count{Answers: 100, Bad: 45}, true, true},
	} {
		e := evidence(c.others, c.target)
		if found := rollout.DefaultBayesTest().Evaluate(&e, nil, rollout.DuringTrial); found.Bad() != c.early {
			t.Errorf("%s, early: got %v (%v), want %v", c.what, found.Bad(), found, c.early)
		}
		if found := rollout.DefaultBayesTest().Evaluate(&e, nil, rollout.FinalDecision); found.Bad() != c.last {
			t.Errorf("%s, at the last moment: got %v (%v), want %v", c.what, found.Bad(), found, c.last)
		}
	}
}
