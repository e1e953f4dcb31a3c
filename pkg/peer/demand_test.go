package peer_test

import (
	"math"
	"testing"
	"time"

	"ironhollow/pkg/peer"
)

// TestDemandIsAveragedWithoutACounter lets teams ask at some nodes only, and
// sums what the nodes would admit of a rate that is asked for twice over: each
// its own demand's part of the total it reckons. Then a node that asked dies.
func TestDemandIsAveragedWithoutACounter(t *testing.T) {
	const team, rate = 7, 60.0
	cases := []struct {
		name  string
		nodes int
		asks  func(i int) float64
	}{
		{"nine nodes, even", 9, func(int) float64 { return 2 * rate / 9 }},
		{"nine nodes, one asks most", 9, func(i int) float64 { return map[bool]float64{true: 80, false: 5}[i == 4] }},
		{"thirty nodes, a third ask", 30, func(i int) float64 { return map[bool]float64{true: 12}[i%3 == 0] }},
	}
	for _, c := range cases {
		n := newNetwork(t, c.nodes, 3)
		for i, id := range n.order {
			if own := c.asks(i); own > 0 {
				n.nodes[id].mesh.SetDemand([]peer.Demand{{Team: team, Value: own}})
			}
		}
		n.run(40 * time.Second)
		admitted, worst := 0.0, 0.0
		for i, id := range n.order {
			mean, ok := n.nodes[id].mesh.MeanDemand(team)
			if own := c.asks(i); ok && own > 0 {
				admitted += rate * own / (mean * float64(c.nodes))
			}
			worst = math.Max(worst, mean*float64(c.nodes))
		}
		t.Logf("%s: admitted %.1f of %.0f, highest total reckoned %.1f", c.name, admitted, rate, worst)
		if math.Abs(admitted-rate) > 0.1*rate {
			t.Errorf("%s: got %.1f a second, want %.0f within 10%%", c.name, admitted, rate)
		}
	}
}
