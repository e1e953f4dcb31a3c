package stream_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"go.opentelemetry.io/otel/trace/noop"

	"ironhollow/pkg/chat"
	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/hazard"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/retry"
	"ironhollow/pkg/route"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/stream"
)

const (
	model    = "m"
	messages = `[{"role":"user","content":"hello"}]`
)

// fleet is a runner over engines in memory.
type fleet struct {
	direct    *engines.Direct
	directory *endpoint.Directory
	runner    *stream.Runner
	router    *route.Router
	infos     []endpoint.Info
	engines   []*engines.Engine
}

// newFleet returns a fleet of count engines that all have the model loaded.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{direct: engines.NewDirect(), directory: endpoint.NewDirectory()}
	options := engines.DefaultOptions()
	options.TokenGap = 20 * time.Millisecond
	for i := range count {
		e := engines.New(1, options)
		info := endpoint.Info{
			ID: fmt.Sprintf("e%d", i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Model, DataCenter: "dc",
			Model: model, Version: "1", Address: fmt.Sprintf("a%d", i), Counter: 1, Reclaimable: true,
		}
		f.direct.Add(info.Address, e)
		if err := f.direct.Order(context.Background(), info.Address, engine.Order{Epoch: 1, Model: model, Version: "1"}); err != nil {
			t.Fatal(err)
		}
		f.directory.Merge(info)
		f.infos = append(f.infos, info)
		f.engines = append(f.engines, e)
	}
	time.Sleep(time.Second)
	estimator := hazard.New()
	f.router = route.New(f.directory, estimator, route.Location{Node: "n", DataCenter: "dc"}, 1)
	registry := prometheus.NewRegistry()
	watch := quarantine.NewWatch(registry, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	board := notice.New(f.directory, f.router, &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	f.runner = stream.New(f.router, f.direct, retry.New(0.1, time.Now()), estimator, stream.NewCounters(registry), watch, board, noop.NewTracerProvider().Tracer(""))
	for _, info := range f.infos {
		report, err := f.direct.Load(context.Background(), info.Address)
		if err != nil {
			t.Fatal(err)
		}
		f.router.ApplyReport(info.Ref(), report)
	}
	f.directory.OnLeaving(func(info endpoint.Info) { f.runner.MigrateStreams(context.Background(), info, false) })
	return f
}

func request(id string, tokens int) stream.Request {
	return stream.Request{
		Prompt: engine.Prompt{
			RequestID: id, Model: model, Version: "1", Messages: []byte(messages), MaxTokens: tokens, Seed: 7,
			Deadline: time.Now().Add(2 * time.Minute),
		},
		PromptTokens: len(messages) / 4, EndpointTimeout: 3 * time.Second,
	}
}

// want is the whole answer.
func want(tokens int) string {
	return strings.Join(engines.Answer(engines.Loaded{Model: model, Version: "1"}, messages, 7, tokens), "")
}

// start runs a request in the background.
func (f *fleet) start(r stream.Request) <-chan outcome {
	done := make(chan outcome, 1)
	go func() {
		collector := chat.NewCollector("", r.Received)
		result, err := f.runner.Run(context.Background(), r, collector)
		done <- outcome{collector.Text(), result, err}
	}()
	return done
}

type outcome struct {
	text   string
	result stream.Result
	err    error
}

// busy returns the index of the engine that runs something.
func (f *fleet) busy(t *testing.T) int {
	t.Helper()
	for i, info := range f.infos {
		if report, err := f.direct.Load(context.Background(), info.Address); err == nil && report.Running > 0 {
			return i
		}
	}
	t.Fatal("no engine is busy")
	return -1
}

const answerTokens = 200

// TestAnswersAreWhole breaks endpoints under a stream in every way they break.
func TestAnswersAreWhole(t *testing.T) {
	cases := []struct {
		name    string
		disturb func(t *testing.T, f *fleet)
	}{
		{"nothing happens", func(*testing.T, *fleet) {}},
		{"the endpoint dies without notice", func(t *testing.T, f *fleet) { f.direct.Kill(f.infos[f.busy(t)].Address) }},
		{"the endpoint freezes", func(t *testing.T, f *fleet) { f.direct.Freeze(f.infos[f.busy(t)].Address, true) }},
		{"two endpoints die in turn", func(t *testing.T, f *fleet) {
			f.direct.Kill(f.infos[f.busy(t)].Address)
			time.Sleep(700 * time.Millisecond)
			f.direct.Kill(f.infos[f.busy(t)].Address)
		}},
		{"the endpoint gets notice and goes", func(t *testing.T, f *fleet) { f.reclaim(f.busy(t), time.Second) }},
		{"the endpoint gets notice and dies before it is over", func(t *testing.T, f *fleet) {
			at := f.busy(t)
			f.reclaim(at, time.Second)
			time.Sleep(50 * time.Millisecond)
			f.direct.Kill(f.infos[at].Address)
		}},
		{"every endpoint doubles its frames", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{Double: true}) }},
		{"every endpoint mixes in frames of an older attempt", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{OldAttempt: true}) }},
		{"an endpoint loses a frame", func(t *testing.T, f *fleet) {
			f.direct.SetFaults(f.infos[f.busy(t)].Address, engines.StreamFaults{SkipAt: 60})
		}},
		{"every endpoint cuts each stream after 60 frames", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{CutAfter: 60}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				done := f.start(request("r", answerTokens))
				time.Sleep(500 * time.Millisecond)
				c.disturb(t, f)
				got := <-done
				if got.err != nil {
					t.Fatalf("got error %v, want a whole answer", got.err)
				}
				if got.text != want(answerTokens) {
					t.Errorf("got %d characters, want the %d of the undisturbed answer", len(got.text), len(want(answerTokens)))
				}
				time.Sleep(time.Minute) // Let the engines forget their streams.
			})
		})
	}
}

func (f *fleet) setFaults(faults engines.StreamFaults) {
	for _, info := range f.infos {
		f.direct.SetFaults(info.Address, faults)
	}
}

// reclaim gives an endpoint notice and ends it when that is over.
func (f *fleet) reclaim(at int, notice time.Duration) {
	info := f.infos[at]
	info.State = endpoint.Leaving
	info.LeaveBy = time.Now().Add(notice)
	f.directory.Merge(info)
	time.AfterFunc(notice, func() { f.direct.Kill(info.Address) })
}

// TestMoveSavesRecomputing compares the plan with leaving every stream to
// break off: moved KV cache is not computed again.
func TestMoveSavesRecomputing(t *testing.T) {
	recomputed := func(planned bool) int64 {
		var total int64
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			if !planned {
				f.directory.OnLeaving(func(endpoint.Info) {})
			}
			done := f.start(request("r", 400))
			time.Sleep(2 * time.Second)
			f.reclaim(f.busy(t), time.Second)
			if got := <-done; got.err != nil || got.text != want(400) {
				t.Errorf("got %d characters, error %v; want a whole answer", len(got.text), got.err)
			}
			for _, e := range f.engines {
				_, again := e.Counts()
				total += again
			}
			time.Sleep(time.Minute)
		})
		return total
	}
	planned, naive := recomputed(true), recomputed(false)
	if planned*5 > naive {
		t.Errorf("tokens computed again: got %d with the plan, %d without; want a fifth at most", planned, naive)
	}
}

// TestLeavingEndpointGetsNoNewWork sends requests before, at and after the news
// that an endpoint leaves.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.reclaim(1, time.Minute)
		before := f.direct.Sent("a1")
		for i := range 30 {
			got := <-f.start(request(fmt.Sprintf("r%d", i), 5))
			if got.err != nil {
				t.Fatal(got.err)
			}
		}
		if got := f.direct.Sent("a1") - before; got != 0 {
			t.Errorf("attempts at the leaving endpoint: got %d, want 0", got)
		}
		// Late news that it lives does not bring it back.
		f.directory.Merge(f.infos[1])
		if info, _ := f.directory.Get("e1"); info.State != endpoint.Leaving {
			t.Errorf("state after late news: got %v, want leaving", info.State)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestRefusedRequestGetsItsAnswerAtOnce checks that a request the module gives
// up on is answered when its patience is over, not at its deadline.
func TestRefusedRequestGetsItsAnswerAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.direct.Kill("a0")
		f.directory.Update(f.infos[0].Ref(), func(i *endpoint.Info) { i.State = endpoint.Gone })
		begun := time.Now()
		got := <-f.start(request("r", 5))
		if number := code.Of(got.err).Number(); number != code.NoEndpoint.Number() {
			t.Errorf("code: got %d, want %d", number, code.NoEndpoint.Number())
		}
		if took := time.Since(begun); took > 6*time.Second {
			t.Errorf("answered after %v, want at most twice the patience of 3s", took)
		}
	})
}

// TestCallerWhoLeavesEndsTheRequest checks that a caller's error is returned
// and nothing is tried again.
func TestCallerWhoLeavesEndsTheRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		gone := errors.New("caller is gone")
		_, err := f.runner.Run(context.Background(), request("r", 50), failingSink{gone})
		if !errors.Is(err, gone) {
			t.Errorf("got %v, want %v", err, gone)
		}
		if sent := f.direct.Sent("a0") + f.direct.Sent("a1"); sent != 1 {
			t.Errorf("attempts: got %d, want 1", sent)
		}
		time.Sleep(time.Minute)
	})
}

type failingSink struct{ err error }

func (s failingSink) Token(stream.Token) error { return s.err }
func (s failingSink) Flush() error             { return s.err }
