package stream_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/endpoint"
)

// An engine that turns attempts away and asks for rest gets none in that time and some
// afterwards; one that says that it leaves gets none any more. The other engine answers.
// Without that each got three attempts, until it was out for failures, and the one that
// leaves more afterwards.
func TestRefusalsAreHeard(t *testing.T) {
	const (
		rest     = 2 * time.Second
		requests = 40
	)
	for name, says := range map[string]endpoint.Notice{"rest": {Rest: rest}, "leaves": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				f.direct.RefuseWith("a0", says)
				began := time.Now()
				ask := func(i int) {
					if got := <-f.start(request(fmt.Sprintf("r%d", i), 1)); got.err != nil {
						t.Errorf("request %d: got %v, want it answered by the other engine", i, got.err)
					}
				}
				for i := 0; i < requests && time.Since(began) < rest; i++ {
					ask(i)
				}
				if got, most := f.direct.Sent("a0"), 1; got > most {
					t.Errorf("attempts at the engine: got %d, want %d at most", got, most)
				}
				time.Sleep(rest)
				before := f.direct.Sent("a0")
				for i := range requests {
					ask(requests + i)
				}
				if got, want := f.direct.Sent("a0") > before, says.Rest > 0; got != want {
					t.Errorf("asked again after a time of rest: got %v, want %v", got, want)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}
