package stream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/code"
)

// crashingPrompt is the prompt of a request that ends each engine that runs it.
const crashingPrompt = `[{"role":"user","content":"crash"}]`

// crashOn ends an engine a moment after its first attempt, until the test ends.
func (f *fleet) crashOn(t *testing.T, at int) {
	address := f.infos[at].Address
	go func() {
		for f.direct.Sent(address) == 0 {
			select {
			case <-t.Context().Done():
				return
			case <-time.After(time.Millisecond):
			}
		}
		time.Sleep(30 * time.Millisecond)
		f.direct.Kill(address)
	}()
}

// A prompt that ends the engines that run it is tried at three, in one request or over
// several; then it is refused as not run, and the other engines live. Bounded by the
// attempts of one request alone it ended eight of eight, and as an accepted job it was
// run again every two seconds until its deadline.
func TestCrashingPromptGoesToThreeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 8
		f := newFleet(t, count)
		for i := range count {
			f.crashOn(t, i)
		}
		crashing := func(id string) outcome {
			r := request(id, 40)
			r.Prompt.Messages = []byte(crashingPrompt)
			return <-f.start(r)
		}
		if got := crashing("first"); got.err == nil || code.Of(got.err).Outcome() != code.Unknown {
			t.Errorf("first: got %v, want an end that is not known", got.err)
		}
		if got := crashing("second"); got.err == nil || code.Of(got.err).Name() != "quarantined" {
			t.Errorf("second: got %v, want it refused as not run", got.err)
		}
		ended := 0
		for _, info := range f.infos {
			if _, err := f.direct.Load(t.Context(), info.Address); err != nil {
				ended++
			}
		}
		if ended != 3 {
			t.Errorf("engines ended: got %d of %d, want 3", ended, count)
		}
		// Engines keep a stream for a while whose reader has gone.
		time.Sleep(time.Minute)
	})
}
