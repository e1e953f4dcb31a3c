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

// fleet is a runner with in-memory engines.
type fleet struct {
	direct    *engines.MemoryClient
	directory *endpoint.Directory
	runner    *stream.Runner
	router    *route.Router
	infos     []endpoint.Info
	engines   []*engines.Engine
}

// newFleet returns a fleet of count engines that have loaded the model.
func newFleet(t *testing.T, count int) *fleet {
	t.Helper()
	f := &fleet{direct: engines.NewMemoryClient(), directory: endpoint.NewDirectory()}
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

// wantText returns the complete answer.
func wantText(tokens int) string {
	return strings.Join(engines.Completion(engines.ModelRef{Model: model, Version: "1"}, messages, 7, tokens), "")
}

// start runs a request in a goroutine; its outcome is sent on the channel.
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

// busyEngine returns the index of an engine that runs a stream.
func (f *fleet) busyEngine(t *testing.T) int {
	t.Helper()
	for i, info := range f.infos {
		if report, err := f.direct.Load(context.Background(), info.Address); err == nil && report.Running > 0 {
			return i
		}
	}
	t.Fatal("no engine runs a stream")
	return -1
}

const answerTokens = 200

// TestAnswersAreCompleteDespiteFaults checks that a stream yields the complete answer for each
// kind of endpoint fault.
func TestAnswersAreCompleteDespiteFaults(t *testing.T) {
	cases := []struct {
		name   string
		inject func(t *testing.T, f *fleet)
	}{
		{"no fault", func(*testing.T, *fleet) {}},
		{"the endpoint is killed without notice", func(t *testing.T, f *fleet) { f.direct.Kill(f.infos[f.busyEngine(t)].Address) }},
		{"the endpoint freezes", func(t *testing.T, f *fleet) { f.direct.Freeze(f.infos[f.busyEngine(t)].Address, true) }},
		{"two endpoints are killed one after the other", func(t *testing.T, f *fleet) {
			f.direct.Kill(f.infos[f.busyEngine(t)].Address)
			time.Sleep(700 * time.Millisecond)
			f.direct.Kill(f.infos[f.busyEngine(t)].Address)
		}},
		{"the endpoint gets notice and is killed at its end", func(t *testing.T, f *fleet) { f.reclaim(f.busyEngine(t), time.Second) }},
		{"the endpoint gets notice and is killed before its end", func(t *testing.T, f *fleet) {
			index := f.busyEngine(t)
			f.reclaim(index, time.Second)
			time.Sleep(50 * time.Millisecond)
			f.direct.Kill(f.infos[index].Address)
		}},
		{"every endpoint sends each frame twice", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{Duplicate: true}) }},
		{"every endpoint also sends frames of an older attempt", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{StaleAttempt: true}) }},
		{"an endpoint omits a frame", func(t *testing.T, f *fleet) {
			f.direct.SetFaults(f.infos[f.busyEngine(t)].Address, engines.StreamFaults{SkipOffset: 60})
		}},
		{"every endpoint interrupts each stream after 60 frames", func(_ *testing.T, f *fleet) { f.setFaults(engines.StreamFaults{CutAfter: 60}) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 4)
				done := f.start(request("r", answerTokens))
				time.Sleep(500 * time.Millisecond)
				c.inject(t, f)
				got := <-done
				if got.err != nil {
					t.Fatalf("got error %v, want the complete answer", got.err)
				}
				if got.text != wantText(answerTokens) {
					t.Errorf("got %d characters, want the %d of an answer without faults", len(got.text), len(wantText(answerTokens)))
				}
				time.Sleep(time.Minute) // until the engines drop their streams
			})
		})
	}
}

func (f *fleet) setFaults(faults engines.StreamFaults) {
	for _, info := range f.infos {
		f.direct.SetFaults(info.Address, faults)
	}
}

// reclaim gives notice to an endpoint and kills it at the end of the notice.
func (f *fleet) reclaim(index int, notice time.Duration) {
	info := f.infos[index]
	info.State = endpoint.Leaving
	info.LeaveBy = time.Now().Add(notice)
	f.directory.Merge(info)
	time.AfterFunc(notice, func() { f.direct.Kill(info.Address) })
}

// TestMovedCacheIsNotRecomputed compares a planned reclaim with an unplanned one, in which
// every stream is interrupted: KV cache that was moved is not computed again.
func TestMovedCacheIsNotRecomputed(t *testing.T) {
	recomputedTokens := func(planned bool) int64 {
		var total int64
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			if !planned {
				f.directory.OnLeaving(func(endpoint.Info) {})
			}
			done := f.start(request("r", 400))
			time.Sleep(2 * time.Second)
			f.reclaim(f.busyEngine(t), time.Second)
			if got := <-done; got.err != nil || got.text != wantText(400) {
				t.Errorf("got %d characters, error %v; want the complete answer", len(got.text), got.err)
			}
			for _, e := range f.engines {
				_, recomputed := e.Counts()
				total += recomputed
			}
			time.Sleep(time.Minute)
		})
		return total
	}
	planned, unplanned := recomputedTokens(true), recomputedTokens(false)
	if planned*5 > unplanned {
		t.Errorf("recomputed tokens: got %d with the plan and %d without; want at most a fifth", planned, unplanned)
	}
}

// TestLeavingEndpointGetsNoNewWork checks that no request is sent to an endpoint that is
// leaving.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3)
		f.reclaim(1, time.Minute)
		before := f.direct.AttemptCount("a1")
		for i := range 30 {
			got := <-f.start(request(fmt.Sprintf("r%d", i), 5))
			if got.err != nil {
				t.Fatal(got.err)
			}
		}
		if got := f.direct.AttemptCount("a1") - before; got != 0 {
			t.Errorf("attempts at the leaving endpoint: got %d, want 0", got)
		}
		// A late report that the endpoint is live does not change its state.
		f.directory.Merge(f.infos[1])
		if info, _ := f.directory.Get("e1"); info.State != endpoint.Leaving {
			t.Errorf("state after a late report: got %v, want leaving", info.State)
		}
		time.Sleep(2 * time.Minute)
	})
}

// TestEndpointTimeoutIsRespected checks that a request for which there is no endpoint fails
// after its EndpointTimeout, not at its deadline.
func TestEndpointTimeoutIsRespected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 1)
		f.direct.Kill("a0")
		f.directory.Update(f.infos[0].Ref(), func(i *endpoint.Info) { i.State = endpoint.Gone })
		start := time.Now()
		got := <-f.start(request("r", 5))
		if number := code.Of(got.err).Number(); number != code.NoEndpoint.Number() {
			t.Errorf("code: got %d, want %d", number, code.NoEndpoint.Number())
		}
		if took := time.Since(start); took > 6*time.Second {
			t.Errorf("answered after %v, want at most twice the EndpointTimeout of 3s", took)
		}
	})
}

// TestCallerDisconnectEndsRequest checks that the sink's error is returned and the request is
// not retried.
func TestCallerDisconnectEndsRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		disconnected := errors.New("caller has disconnected")
		_, err := f.runner.Run(context.Background(), request("r", 50), failingSink{disconnected})
		if !errors.Is(err, disconnected) {
			t.Errorf("got %v, want %v", err, disconnected)
		}
		if sent := f.direct.AttemptCount("a0") + f.direct.AttemptCount("a1"); sent != 1 {
			t.Errorf("attempts: got %d, want 1", sent)
		}
		time.Sleep(time.Minute)
	})
}

type failingSink struct{ err error }

func (s failingSink) Token(stream.Token) error { return s.err }
func (s failingSink) Flush() error             { return s.err }

// Guards against streams that are resumed while the engine before continues their run.
func TestResumedStreamRunsAtOneEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2)
		done := f.start(request("r", answerTokens))
		time.Sleep(500 * time.Millisecond)
		f.direct.SetFaults(f.infos[f.busyEngine(t)].Address, engines.StreamFaults{CutAfter: 60})
		if got := <-done; got.err != nil || got.text != wantText(answerTokens) {
			t.Fatalf("got %d characters, %v, want the complete answer", len(got.text), got.err)
		}
		time.Sleep(time.Minute)
		generated := int64(0)
		for _, e := range f.engines {
			tokens, _ := e.Counts()
			generated += tokens
		}
		if generated > answerTokens+5 {
			t.Errorf("got %d tokens generated for an answer of %d, want each once", generated, answerTokens)
		}
	})
}
