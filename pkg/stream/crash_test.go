package stream_test

import (
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/code"
)

// crashPrompt is the prompt of a request that crashes each engine that runs it.
const crashPrompt = `[{"role":"user","content":"crash"}]`

// crashOn kills an engine 30 ms after its first attempt is sent. It stops waiting for that when
// the test ends.
func (f *fleet) crashOn(t *testing.T, index int) {
	address := f.infos[index].Address
	go func() {
		for f.direct.AttemptCount(address) == 0 {
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

// Guards against a prompt that crashes every engine that runs it. Three engines may crash, in
// one request or across several; then the prompt is rejected without running. With a limit on
// the attempts of one request only, the prompt crashed eight of eight engines, and an accepted
// job was run again every two seconds until its deadline.
func TestCrashingPromptIsQuarantinedAfterThreeEngines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const count = 8
		f := newFleet(t, count)
		for i := range count {
			f.crashOn(t, i)
		}
		sendCrashing := func(id string) outcome {
			r := request(id, 40)
			r.Prompt.Messages = []byte(crashPrompt)
			return <-f.start(r)
		}
		if got := sendCrashing("first"); got.err == nil || code.Of(got.err).Outcome() != code.Unknown {
			t.Errorf("first request: got %v, want the unknown outcome", got.err)
		}
		if got := sendCrashing("second"); got.err == nil || code.Of(got.err).Name() != "quarantined" {
			t.Errorf("second request: got %v, want it rejected as quarantined", got.err)
		}
		crashed := 0
		for _, info := range f.infos {
			if _, err := f.direct.Load(t.Context(), info.Address); err != nil {
				crashed++
			}
		}
		if crashed != 3 {
			t.Errorf("crashed engines: got %d of %d, want 3", crashed, count)
		}
		// Engines keep an abandoned stream for a while.
		time.Sleep(time.Minute)
	})
}
