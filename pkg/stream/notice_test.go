package stream_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/endpoint"
)

// An engine that rejects attempts and asks for backoff gets no attempts during the backoff and
// some afterwards; one that reports that it is leaving gets none any more. The other engine
// answers. Guards against notices in refusals being ignored: each engine then got three
// attempts before it was excluded for its failures, and the leaving one more later.
func TestNoticesInRefusalsAreApplied(t *testing.T) {
	const (
		backoff  = 2 * time.Second
		requests = 40
	)
	for name, notice := range map[string]endpoint.Notice{"backoff": {Backoff: backoff}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 2)
				f.direct.RefuseWithNotice("a0", notice)
				start := time.Now()
				send := func(i int) {
					if got := <-f.start(request(fmt.Sprintf("r%d", i), 1)); got.err != nil {
						t.Errorf("request %d: got %v, want it answered by the other engine", i, got.err)
					}
				}
				for i := 0; i < requests && time.Since(start) < backoff; i++ {
					send(i)
				}
				if got, limit := f.direct.AttemptCount("a0"), 1; got > limit {
					t.Errorf("attempts at the engine: got %d, want at most %d", got, limit)
				}
				time.Sleep(backoff)
				before := f.direct.AttemptCount("a0")
				for i := range requests {
					send(requests + i)
				}
				if got, want := f.direct.AttemptCount("a0") > before, notice.Backoff > 0; got != want {
					t.Errorf("attempts sent again after the backoff: got %v, want %v", got, want)
				}
				time.Sleep(time.Minute)
			})
		})
	}
}

// Guards against sending an engine more requests than the limit in its responses allows.
func TestEngineRateLimitIsRespected(t *testing.T) {
	const (
		limit    = 2
		duration = 20 * time.Second
		gap      = 100 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		f.direct.SetLimit("a0", limit)
		for i := range int(duration / gap) {
			if got := <-f.start(request(fmt.Sprintf("r%d", i), 1)); got.err != nil {
				t.Errorf("request %d: got %v, want it answered by the other engine", i, got.err)
			}
			time.Sleep(gap)
		}
		if got, bound := f.direct.AttemptCount("a0"), int(1.5*limit*duration.Seconds())+5; got > bound || got == 0 {
			t.Errorf("attempts in %v at the engine with a limit of %d a second: got %d, want between 1 and %d", duration, limit, got, bound)
		}
		f.direct.SetLimit("a0", 0)
		time.Sleep(time.Second)
		before := f.direct.AttemptCount("a0")
		for i := range 20 {
			<-f.start(request(fmt.Sprintf("s%d", i), 1))
		}
		if got := f.direct.AttemptCount("a0") - before; got < 4 {
			t.Errorf("attempts at the engine, of 20 requests after the limit was withdrawn: got %d, want at least 4", got)
		}
		time.Sleep(time.Minute)
	})
}
