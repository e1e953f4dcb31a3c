package route_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/enginemodel"
	"ironhollow/pkg/route"
)

// speedReport returns a report that an endpoint takes the given time relative to the others.
func speedReport(i int, ratio float64) route.SpeedReport {
	return route.SpeedReport{Endpoint: info(i).Ref(), Evidence: enginemodel.Evidence{Weight: 16, WeightedLog: 16 * math.Log(ratio)}}
}

func factorOf(r *route.Router, id string, at time.Time) float64 {
	for _, c := range r.Explain(query(), at) {
		if c.Endpoint.ID == id {
			return c.SpeedFactor
		}
	}
	return 0
}

// slowRouter returns a router of which the endpoint e0000 has been reported as slow.
func slowRouter() (*route.Router, *endpoint.Directory) {
	r, directory, _ := newRouter(4)
	r.Explain(query(), now)
	for i := range 4 {
		ratio := 1.0
		if i == 0 {
			ratio = 2.5
		}
		for range 4 {
			r.ApplySpeeds([]route.SpeedReport{speedReport(i, ratio)}, now)
		}
	}
	return r, directory
}

func TestReportedSlowEndpointGetsLessWork(t *testing.T) {
	r, _ := slowRouter()
	counts := map[string]int{}
	for range 64 {
		c, _ := r.Choose(query(), route.Expected, now.Add(time.Second))
		counts[c.Endpoint.ID]++
	}
	if got := counts["e0000"]; got == 0 || got > 12 {
		t.Errorf("requests at the slow endpoint: got %d of 64, want fewer than 16 but some", got)
	}
	if got := factorOf(r, "e0000", now.Add(time.Second)); got < 1.5 {
		t.Errorf("factor: got %.2f, want at least 1.5", got)
	}
}

// Guards against carrying the speed of an instance over to the next one of the same id.
func TestRestartForgetsSpeed(t *testing.T) {
	r, directory := slowRouter()
	restarted := info(0)
	restarted.Incarnation, restarted.Counter = 2, 2
	directory.Merge(restarted)
	if got := factorOf(r, "e0000", now.Add(time.Second)); got > 1.01 {
		t.Errorf("factor after a restart: got %.2f, want 1", got)
	}
	if used := r.ApplySpeeds([]route.SpeedReport{speedReport(0, 2.5)}, now); used != 0 {
		t.Errorf("reports about the earlier instance: got %d used, want none", used)
	}
}

// An entry reports what its own answers say, once, and does not report what others reported.
func TestOwnAnswersAreReportedOnce(t *testing.T) {
	r, _ := slowRouter()
	if got := r.DrainSpeeds(); len(got) != 0 {
		t.Errorf("reports of others: got %v to send on, want none", got)
	}
	serveEqually(r, 40)
	total := 0.0
	for _, report := range r.DrainSpeeds() {
		total += report.Evidence.Weight
	}
	if total < 10 {
		t.Errorf("weight of the reports: got %.1f, want that of most of 40 answers", total)
	}
	if again := r.DrainSpeeds(); len(again) != 0 {
		t.Errorf("reports taken again: got %v, want none", again)
	}
}

// serveEqually sends requests to engines of equal speed and returns the chosen endpoints.
func serveEqually(r *route.Router, count int) []string {
	random := rand.New(rand.NewPCG(3, 3))
	var chosen []string
	for i := range count {
		at := now.Add(time.Duration(i) * 50 * time.Millisecond)
		q := query()
		q.PromptTokens = 1000 + random.IntN(8000)
		c, _ := r.Choose(q, route.Expected, at)
		chosen = append(chosen, c.Endpoint.ID)
		r.PrefillDone(c)
		noise := 0.8 + 0.4*random.Float64()
		took := time.Duration(noise * float64(30*time.Millisecond+time.Duration(q.PromptTokens)*10*time.Microsecond))
		r.Done(c, route.Result{PrefillDone: true, FirstToken: took, Tokens: 18, Decode: time.Duration(noise * float64(100*time.Millisecond))}, at.Add(200*time.Millisecond))
	}
	return chosen
}

// Guards against another choice where engines are equal: the sequence has to be the one of a router
// that receives no speeds.
func TestEqualEnginesAreChosenAsWithoutSpeeds(t *testing.T) {
	alone, _, _ := newRouter(12)
	without := serveEqually(alone, 400)
	informed, _, _ := newRouter(12)
	for i := range 12 {
		for range 6 {
			informed.ApplySpeeds([]route.SpeedReport{speedReport(i, 1.1)}, now)
		}
	}
	for i, got := range serveEqually(informed, 400) {
		if got != without[i] {
			t.Fatalf("choice %d: got %s, want %s", i, got, without[i])
		}
	}
}
