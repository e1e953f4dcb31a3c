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

// Tests which counts are considered bad during the trial and at the final decision. If a route
// fails for one in seven answers at the other versions too, the version is not at fault.
func TestEvaluate(t *testing.T) {
	for _, c := range []struct {
		name                     string
		others, target           rollout.Count
		badDuringTrial, badAtEnd bool
	}{
		{"no answers", rollout.Count{}, rollout.Count{}, false, true},
		{"no worse than the others", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 40}, false, false},
		{"one of few answers bad", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 8, Bad: 1}, false, true},
		{"half of the answers bad", rollout.Count{Answers: 1000, Bad: 5}, rollout.Count{Answers: 8, Bad: 4}, true, true},
		{"same bad rate as the others", rollout.Count{Answers: 1000, Bad: 140}, rollout.Count{Answers: 100, Bad: 14}, false, false},
		{"higher bad rate than the others", rollout.Count{Answers: 1000, Bad: 140}, rollout.Count{Answers: 100, Bad: 45}, true, true},
	} {
		e := evidence(c.others, c.target)
		if finding := rollout.DefaultBayesTest().Evaluate(&e, nil, rollout.DuringTrial); finding.Bad() != c.badDuringTrial {
			t.Errorf("%s, during the trial: got %v (%v), want %v", c.name, finding.Bad(), finding, c.badDuringTrial)
		}
		if finding := rollout.DefaultBayesTest().Evaluate(&e, nil, rollout.FinalDecision); finding.Bad() != c.badAtEnd {
			t.Errorf("%s, final decision: got %v (%v), want %v", c.name, finding.Bad(), finding, c.badAtEnd)
		}
	}
}
