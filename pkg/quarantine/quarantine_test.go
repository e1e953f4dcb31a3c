package quarantine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"ironhollow/pkg/quarantine"
)

// start is when tests begin.
var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func request(name string) quarantine.Fingerprint {
	return quarantine.FingerprintOf("POST", "/x", "team", []byte(name))
}

func isHeld(q *quarantine.Quarantine, f quarantine.Fingerprint, now time.Time) bool {
	_, held := q.Quarantined(f, now)
	return held
}

func ended(q *quarantine.Quarantine, f quarantine.Fingerprint, endpoint string, seconds float64) {
	q.RecordCrash(f, quarantine.Crash{Endpoint: endpoint, At: at(seconds)}, at(seconds))
}

// A request is held back from the third endpoint on that ended under it, for an hour
// after the last; then one more end is enough.
func TestHeldBackAfterThreeEnds(t *testing.T) {
	q := quarantine.NewQuarantine()
	f := request("a")
	for i, endpoint := range []string{"e1", "e2", "e3"} {
		if isHeld(q, f, at(float64(i))) {
			t.Fatalf("after %d ends: got held back, want not", i)
		}
		ended(q, f, endpoint, float64(i))
	}
	if left, held := q.Quarantined(f, at(2)); !held || left != time.Hour {
		t.Errorf("after 3 ends: got %v, %v, want held back for an hour", left, held)
	}
	if isHeld(q, request("b"), at(3)) {
		t.Error("another request: got held back, want not")
	}
	if isHeld(q, f, at(3603)) {
		t.Error("an hour later: got held back, want one more try")
	}
	ended(q, f, "e4", 3604)
	if !isHeld(q, f, at(3605)) {
		t.Error("after the end of that try: got not held back, want held back")
	}
}

// Ends more than a day apart do not add up.
func TestOldEndsAreForgotten(t *testing.T) {
	q := quarantine.NewQuarantine()
	f := request("a")
	const day = 24 * 3600
	for i, seconds := range []float64{0, day / 2, day + 1} {
		ended(q, f, fmt.Sprint("e", i), seconds)
	}
	if isHeld(q, f, at(day+2)) {
		t.Error("three ends, the first more than a day before the last: got held back, want not")
	}
}

// Two tries at one endpoint see the same end; an endpoint that is back under its id and
// ends again is another end.
func TestEndsOfOneEndpoint(t *testing.T) {
	q := quarantine.NewQuarantine()
	f := request("a")
	for _, seconds := range []float64{0, 0.01, 1.5, 6, 6.2} {
		ended(q, f, "e1", seconds)
	}
	if isHeld(q, f, at(7)) {
		t.Error("after two ends of one endpoint, told twice: got held back, want not")
	}
	ended(q, f, "e1", 12)
	if !isHeld(q, f, at(12)) {
		t.Error("after the third: got not held back, want held back")
	}
}

// A request that is answered whole is not what ended its endpoints, neither before nor
// just after: where a data centre goes, endpoints end together under one that many send.
func TestAnsweredRequestsAreNotHeldBack(t *testing.T) {
	q := quarantine.NewQuarantine()
	f := request("popular")
	q.RecordSuccess(f, at(0))
	for i := range 5 {
		ended(q, f, fmt.Sprint("e", i), 1)
	}
	if isHeld(q, f, at(1)) {
		t.Error("five ends 1 s after a whole answer: got held back, want not")
	}
	for i := range 3 {
		ended(q, f, fmt.Sprint("e", i), 20)
	}
	if !isHeld(q, f, at(20)) {
		t.Error("three ends 20 s after the last whole answer: got not held back, want held back")
	}
	// A try that was under way all the time is answered.
	q.RecordSuccess(f, at(21))
	if isHeld(q, f, at(21)) {
		t.Error("answered whole: got held back, want not")
	}
}

// A host that has answered the request sets the others right, also those that hold it
// back by then.
func TestWholeAnswerIsTold(t *testing.T) {
	answered, other := quarantine.NewQuarantine(), quarantine.NewQuarantine()
	f := request("popular")
	answered.RecordSuccess(f, at(0))
	for i := range 3 {
		ended(other, f, fmt.Sprint("e", i), 1)
	}
	if !isHeld(other, f, at(1)) {
		t.Fatal("three ends: got not held back, want held back until it is known better")
	}
	answered.Merge(other.Reports(at(1.1)), at(1.1))
	other.Merge(answered.Reports(at(1.2)), at(1.2))
	if isHeld(other, f, at(1.2)) || isHeld(answered, f, at(1.2)) {
		t.Error("after the host that answered it was heard: got held back, want not")
	}
	if told := answered.Reports(at(60)); len(told) != 0 {
		t.Errorf("a minute later: got %v told, want nothing", told)
	}
}

// What is told is merged to the same, in whatever order and however often it comes.
func TestCasesMergeInAnyOrder(t *testing.T) {
	f := request("a")
	rapid.Check(t, func(t *rapid.T) {
		var told []quarantine.Case
		for range rapid.IntRange(1, 8).Draw(t, "cases") {
			c := quarantine.Case{Fingerprint: f}
			for range rapid.IntRange(0, 3).Draw(t, "ends") {
				endpoint := rapid.SampledFrom([]string{"e1", "e2", "e3", "e4"}).Draw(t, "endpoint")
				// An endpoint's ends are told alike by all, and are far apart.
				c.Crashes = append(c.Crashes, quarantine.Crash{Endpoint: endpoint, At: at(10 * rapid.Float64Range(0, 4).Draw(t, "at"))})
			}
			for i := range c.Crashes {
				c.Crashes[i].At = c.Crashes[i].At.Truncate(10 * time.Second)
			}
			if rapid.IntRange(0, 5).Draw(t, "sound") == 0 {
				c.LastSuccess = at(rapid.Float64Range(0, 40).Draw(t, "sound at"))
			}
			told = append(told, c)
		}
		heard := func(order []quarantine.Case) bool {
			q := quarantine.NewQuarantine()
			for _, c := range order {
				q.Merge([]quarantine.Case{c}, at(100))
			}
			return isHeld(q, f, at(100))
		}
		want := heard(told)
		again := append(slices.Clone(told), told...)
		for i := range again {
			j := rapid.IntRange(0, i).Draw(t, "swap")
			again[i], again[j] = again[j], again[i]
		}
		if got := heard(again); got != want {
			t.Fatalf("held back: got %v in another order, want %v", got, want)
		}
	})
}

// An endpoint ends under many requests: what is known of one with two ends is told in
// each datagram, those with one are told in turn; what is held back stays told.
func TestWhatIsToldFirst(t *testing.T) {
	q := quarantine.NewQuarantine()
	for i := range 60 {
		ended(q, request(fmt.Sprint("other ", i)), "e1", 0)
	}
	f := request("a")
	ended(q, f, "e1", 0)
	ended(q, f, "e2", 0.1)
	times := map[quarantine.Fingerprint]int{}
	for round := range 20 {
		told := q.Reports(at(0.2 + 0.2*float64(round)))
		if len(told) > 30 {
			t.Fatalf("one datagram: got %d cases, want 30 at most", len(told))
		}
		for _, c := range told {
			times[c.Fingerprint]++
		}
	}
	if got := times[f]; got != 20 {
		t.Errorf("case with two ends: got told %d times in 20 rounds, want in each", got)
	}
	if got, want := len(times), 61; got != want {
		t.Errorf("requests told in 20 rounds: got %d, want all %d", got, want)
	}
	ended(q, f, "e3", 5)
	for _, seconds := range []float64{11, 600, 3000} {
		var told []quarantine.Case
		for range 5 {
			told = append(told, q.Reports(at(seconds))...)
		}
		if len(told) != 1 || told[0].Fingerprint != f {
			t.Errorf("%v s later, five rounds: got %v, want the request held back once, for hosts that have started since", seconds, told)
		}
	}
}

// Bounds hold: of more requests than are remembered, those held back stay.
func TestCasesAreBounded(t *testing.T) {
	q := quarantine.NewQuarantine()
	f := request("a")
	for i := range 3 {
		ended(q, f, fmt.Sprint("e", i), 0)
	}
	for i := range 20_000 {
		ended(q, request(fmt.Sprint("other ", i)), "e9", 1)
		q.RecordSuccess(request(fmt.Sprint("sound ", i)), at(1))
	}
	if !isHeld(q, f, at(2)) {
		t.Error("after 20,000 others: got not held back, want held back")
	}
}

// Only what broke off together with the last run is counted as under way at an
// endpoint's end, and only for some seconds.
func TestSuspects(t *testing.T) {
	s := quarantine.NewSuspects()
	if look := s.RecordInterruption("e1", request("spoilt"), at(0)); !look {
		t.Error("first break: got no look, want one")
	}
	s.ProbeStarted("e1")
	if look := s.RecordInterruption("e1", request("other"), at(0.1)); !look {
		t.Error("break 0.1 s later, when the look has begun: got no other, want one: it may be of the end")
	}
	s.ProbeStarted("e1")
	s.RecordInterruption("e1", request("a"), at(5))
	if look := s.RecordInterruption("e1", request("b"), at(5.01)); look {
		t.Error("break at the same moment: got another look, want none")
	}
	got := s.TakeInterrupted("e1", at(6))
	if len(got) != 2 || got[0].Fingerprint != request("a") || got[1].Fingerprint != request("b") {
		t.Errorf("under way at the end: got %v, want the two that broke off last", got)
	}
	s.RecordInterruption("e2", request("a"), at(0))
	if got := s.TakeInterrupted("e2", at(9)); len(got) != 0 {
		t.Errorf("an end found out 9 s later: got %v, want none", got)
	}
	if got := s.Endpoints(at(20)); len(got) != 0 {
		t.Errorf("endpoints with breaks of late: got %v, want none", got)
	}
}
