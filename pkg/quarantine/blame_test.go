package quarantine_test

import (
	"fmt"
	"testing"
	"time"

	"ironhollow/pkg/quarantine"
)

// prompt returns a request of a team with the given parts and a body of its own.
func prompt(team, body string, parts ...string) quarantine.Request {
	f := quarantine.FingerprintOf("POST", "/x", team, []byte(body))
	return quarantine.NewRequest(f, quarantine.Prompt{Scope: "service", Team: team, Parts: parts})
}

// crash records the crash of an endpoint under runs that had no answer.
func crash(w *quarantine.Watch, endpoint string, seconds float64, requests ...quarantine.Request) {
	for _, r := range requests {
		w.RecordInterruption(endpoint, quarantine.Run{Request: r}, at(seconds))
	}
	w.EndpointCrashed(endpoint, "test", at(seconds))
}

func isAdmitted(w *quarantine.Watch, r quarantine.Request, seconds float64) bool {
	_, admitted, _ := w.CheckRequest(r, at(seconds))
	return admitted
}

// Guards against the rejection of requests for the parts that innocent requests share with crashing ones.
func TestCompanionsOfCrashingPartAreAdmitted(t *testing.T) {
	w := newWatch()
	for i := range 3 {
		crash(w, fmt.Sprint("e", i), float64(i), prompt("red", fmt.Sprint(i), "first", "deadly"), prompt("red", fmt.Sprint("other ", i), "first", fmt.Sprint("sound ", i)))
	}
	if isAdmitted(w, prompt("red", "4", "first", "deadly"), 3) {
		t.Error("fourth request with the crashing part: got admitted, want rejected")
	}
	sound := prompt("red", "5", "first", "sound")
	if !isAdmitted(w, sound, 3) {
		t.Error("request with its companion only: got rejected, want admitted")
	}
	w.AnswerBegan(sound, at(3.1))
	if isAdmitted(w, prompt("red", "6", "second", "deadly"), 3.2) {
		t.Error("request with the crashing part and another companion: got admitted, want rejected")
	}
	// The whole request has no crash of its own.
	if !isAdmitted(w, prompt("red", "7", "first"), 3.3) {
		t.Error("request without the part: got rejected, want admitted")
	}
}

// Guards against crediting an answer that broke off before its first event, or blaming parts of answers that had begun.
func TestOnlyUnansweredRunsBlameParts(t *testing.T) {
	w := newWatch()
	for i := range 5 {
		e := fmt.Sprint("e", i)
		w.RecordInterruption(e, quarantine.Run{Request: prompt("red", e, "part"), Answered: true}, at(float64(i)))
		w.EndpointCrashed(e, "test", at(float64(i)))
	}
	if !isAdmitted(w, prompt("red", "next", "part"), 5) {
		t.Error("after crashes under answers that had begun: got rejected, want admitted")
	}
}

// Guards against a team that names the parts of other teams in requests that crash endpoints.
func TestTeamCannotHoldBackPartsOfOthers(t *testing.T) {
	w := newWatch()
	for i := range 6 {
		victim := prompt("blue", fmt.Sprint("victim ", i), "popular")
		crash(w, fmt.Sprint("e", i), float64(i), prompt("red", fmt.Sprint(i), "popular"), victim)
		w.AnswerBegan(prompt("blue", "elsewhere", "popular"), at(float64(i)+0.5))
	}
	if !isAdmitted(w, prompt("blue", "next", "popular"), 6) || !isAdmitted(w, prompt("green", "next", "popular"), 6) {
		t.Error("other teams: got rejected, want admitted")
	}
	if isAdmitted(w, prompt("red", "next", "popular"), 6) {
		t.Error("the team whose requests crash endpoints: got admitted, want rejected")
	}
	for i, team := range []string{"red", "blue", "green"} {
		crash(w, fmt.Sprint("f", i), 10+float64(i), prompt(team, "x", "shared"))
	}
	if isAdmitted(w, prompt("white", "y", "shared"), 13) {
		t.Error("part that crashed endpoints for three teams: got admitted for a fourth, want rejected")
	}
}

// Guards against the loss of known parts, or of memory, to IDs made up by the million.
func TestMadeUpPartsAreBounded(t *testing.T) {
	w := newWatch()
	for i := range 3 {
		crash(w, fmt.Sprint("e", i), float64(i), prompt("red", fmt.Sprint(i), "deadly"))
	}
	many := make([]string, 1000)
	for i := range 2000 {
		for j := range many {
			many[j] = fmt.Sprint(i, " ", j)
		}
		crash(w, fmt.Sprint("f", i), 4, prompt("green", fmt.Sprint(i), many...))
		w.AnswerBegan(prompt("green", fmt.Sprint(i), many...), at(4.5))
	}
	if isAdmitted(w, prompt("red", "next", "deadly"), 5) {
		t.Error("after 2,000 crashes under 1,000 parts each: got admitted, want rejected")
	}
	if got := len(w.Reports(at(5))); got > 30 {
		t.Errorf("cases in a datagram: got %d, want 30 at most", got)
	}
}

// Guards against requests that crash endpoints and hide each other, as each has a small share of all crashes.
func TestManyCrashingRequestsAreAllHeldBack(t *testing.T) {
	const requests = 20
	w := newWatch()
	request := func(i int) quarantine.Request { return prompt("red", fmt.Sprint(i), fmt.Sprint("own ", i)) }
	for i := range 3 * requests {
		crash(w, fmt.Sprint("e", i), float64(i)*0.2, request(i%requests))
	}
	for i := range requests {
		if isAdmitted(w, request(i), 3*requests*0.2) {
			t.Errorf("request %d after three crashes: got admitted, want rejected", i)
		}
	}
}

// Guards against crashes that hide what caused them, as hosts report each of them again with other times.
func TestRepeatedReportsOfACrashCountOnce(t *testing.T) {
	w := newWatch()
	for i := range 3 {
		crash(w, fmt.Sprint("e", i), 0.7*float64(i), prompt("red", fmt.Sprint(i), "deadly"))
	}
	reports := w.Reports(at(1.5))
	for host := range 90 {
		for _, c := range reports {
			delayed := c
			delayed.Crashes = nil
			for _, crash := range c.Crashes {
				crash.At = crash.At.Add(time.Duration(host%40) * 25 * time.Millisecond)
				delayed.Crashes = append(delayed.Crashes, crash)
			}
			w.Merge([]quarantine.Case{delayed}, at(2))
		}
	}
	if isAdmitted(w, prompt("red", "next", "deadly"), 2) {
		t.Error("after 90 reports of three crashes, up to a second late: got admitted, want rejected")
	}
}

// Guards against a part that crashes endpoints and is cleared by the end of an answer that began before the crashes.
func TestAnswerThatBeganBeforeTheCrashesClearsNoPart(t *testing.T) {
	w := newWatch()
	long := prompt("red", "long", "deadly")
	w.AnswerBegan(long, at(0))
	for i := range 4 {
		crash(w, fmt.Sprint("e", i), 20+float64(i), prompt("red", fmt.Sprint(i), "deadly"))
	}
	w.AnswerCompleted(long, at(25))
	if isAdmitted(w, prompt("red", "next", "deadly"), 25.1) {
		t.Error("after the end of an answer that began before the crashes: got admitted, want rejected")
	}
}

// Guards against a crashing part that is admitted since a popular one, which is not quarantined itself, explains its crashes.
func TestPartWithASmallShareOfCrashesExplainsNoOther(t *testing.T) {
	w := newWatch()
	for i := range 3 {
		crash(w, fmt.Sprint("e", i), 10*float64(i), prompt("red", fmt.Sprint(i), "popular", "deadly"))
	}
	for i := range 40 {
		crash(w, fmt.Sprint("other ", i), 25+float64(i), prompt("red", fmt.Sprint("other ", i), fmt.Sprint("part ", i)))
	}
	crash(w, "e3", 70, prompt("red", "3", "popular", "part"))
	if !isAdmitted(w, prompt("red", "next", "popular"), 71) {
		t.Error("request with the popular part: got rejected, want admitted, as it has 4 of 44 crashes")
	}
	if isAdmitted(w, prompt("red", "next", "deadly"), 71) {
		t.Error("request with the crashing part: got admitted, want rejected")
	}
}

// Requests with a quarantined part, while 1,300 other requests have crashed three endpoints each.
func BenchmarkAdmissionUnderManyCases(b *testing.B) {
	w := newWatch()
	for i := range 3 {
		crash(w, fmt.Sprint("e", i), float64(i), prompt("red", fmt.Sprint(i), "deadly"))
	}
	for i := range 1300 {
		for j := range 3 {
			crash(w, fmt.Sprint("f", i, j), 4+float64(j)*0.001, prompt("red", fmt.Sprint("x", i)))
		}
	}
	for b.Loop() {
		w.CheckRequest(prompt("red", "next", "deadly"), at(5))
	}
}
