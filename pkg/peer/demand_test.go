package peer_test

import (
	"math"
	"testing"
	"time"

	"ironhollow/pkg/peer"
)

// Some nodes have demand for a team, in total twice the team's rate. Each node admits its own
// demand's share of the total that it estimates. Checks that the sum admitted by all nodes is
// within 10% of the rate.
func TestDemandEstimatesConverge(t *testing.T) {
	const team, rate = 7, 60.0
	cases := []struct {
		name     string
		nodes    int
		demandAt func(i int) float64
	}{
		{"nine nodes, even demand", 9, func(int) float64 { return 2 * rate / 9 }},
		{"nine nodes, most demand at one", 9, func(i int) float64 { return map[bool]float64{true: 80, false: 5}[i == 4] }},
		{"thirty nodes, demand at a third", 30, func(i int) float64 { return map[bool]float64{true: 12}[i%3 == 0] }},
	}
	for _, c := range cases {
		n := newNetwork(t, c.nodes, 3)
		for i, id := range n.order {
			if own := c.demandAt(i); own > 0 {
				n.nodes[id].mesh.SetDemand([]peer.Demand{{Team: team, Value: own}})
			}
		}
		n.run(40 * time.Second)
		admitted, highest := 0.0, 0.0
		for i, id := range n.order {
			mean, ok := n.nodes[id].mesh.MeanDemand(team)
			if own := c.demandAt(i); ok && own > 0 {
				admitted += rate * own / (mean * float64(c.nodes))
			}
			highest = math.Max(highest, mean*float64(c.nodes))
		}
		t.Logf("%s: admitted %.1f of %.0f, highest total estimated %.1f", c.name, admitted, rate, highest)
		if math.Abs(admitted-rate) > 0.1*rate {
			t.Errorf("%s: admitted %.1f requests per second, want %.0f within 10%%", c.name, admitted, rate)
		}
	}
}
