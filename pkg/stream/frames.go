package stream

import (
	"context"
	"errors"
	"io"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/route"
)

// frameReader passes one attempt's frames on.
type frameReader struct {
	runner   *Runner
	progress *progress
	run      *run
	stall    *time.Timer
	started  time.Time
	attempt  int
	first    time.Time
	count    int
}

// errGap says that frames were lost on the way.
var errGap = errors.New("stream: a frame is missing")

// errShort says that a stream ended before its last frame.
var errShort = errors.New("stream: ended without its last frame")

func (f *frameReader) readAll(ctx context.Context, stream engine.Stream) ending {
	var last engine.Frame
	ended := false
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) && ended {
			return finished{last}
		}
		if errors.Is(err, io.EOF) {
			return broken{errShort}
		}
		if err != nil {
			return f.runner.endingOf(ctx, err)
		}
		if f.attempt == anyAttempt {
			f.attempt = frame.Attempt
		}
		if frame.Attempt != f.attempt {
			f.runner.counters.ForeignFrames.Inc()
			continue
		}
		if frame.FinishReason != "" && frame.Offset == len(f.progress.tokens) {
			last, ended = frame, true
			continue
		}
		if end := f.take(frame); end != nil {
			return end
		}
		if !stream.Buffered() {
			if err := f.progress.sink.Flush(); err != nil {
				return callerGone{err}
			}
		}
	}
}

// take passes one token on: repeats are dropped, a gap breaks the attempt.
func (f *frameReader) take(frame engine.Frame) ending {
	p := f.progress
	switch {
	case frame.Offset < len(p.tokens):
		return nil
	case frame.Offset > len(p.tokens):
		return broken{errGap}
	case frame.Text == "":
		return nil
	}
	if f.count == 0 {
		f.first = time.Now()
		p.tries = 0
	}
	f.stall.Reset(stallTime)
	p.tokens = append(p.tokens, frame.Text)
	f.count++
	f.run.advance(len(p.tokens))
	f.runner.counters.Tokens.Inc()
	if err := p.sink.Token(Token{frame.Offset, frame.Text, f.run.endpoint.ID}); err != nil {
		return callerGone{err}
	}
	return nil
}

// result is what the router learns from the attempt.
func (f *frameReader) result(end ending) route.Result {
	result := route.Result{Tokens: f.count}
	if f.count > 0 {
		result.FirstToken = f.first.Sub(f.started)
		result.Decode = time.Since(f.first)
	}
	if done, ok := end.(finished); ok {
		usage := done.frame.Usage
		result.TokensReported = usage.PromptTokens > 0
		result.PromptTokens = usage.PromptTokens
		result.CachedTokens = usage.CachedTokens
	}
	return result
}
