package stream

import (
	"context"
	"errors"
	"io"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/route"
)

// frameReader forwards the frames of one attempt to the sink.
type frameReader struct {
	runner        *Runner
	progress      *progress
	activeAttempt *activeAttempt
	stallTimer    *time.Timer
	started       time.Time
	attempt       int
	firstTokenAt  time.Time
	tokenCount    int
}

// errMissingFrame is returned if a frame was lost.
var errMissingFrame = errors.New("stream: a frame is missing")

// errTruncated is returned if a stream ended before its last frame.
var errTruncated = errors.New("stream: ended without its last frame")

// readAll reads and forwards frames until the attempt ends. Frames of other attempts are
// dropped.
func (f *frameReader) readAll(ctx context.Context, stream engine.Stream) outcome {
	var last engine.Frame
	hasLast := false
	for {
		frame, err := stream.Next()
		if errors.Is(err, io.EOF) && hasLast {
			return finished{last}
		}
		if errors.Is(err, io.EOF) {
			return broken{errTruncated}
		}
		if err != nil {
			return f.runner.classifyError(ctx, err)
		}
		if f.attempt == anyAttempt {
			f.attempt = frame.Attempt
		}
		if frame.Attempt != f.attempt {
			f.runner.counters.ForeignFrames.Inc()
			continue
		}
		if frame.FinishReason != "" && frame.Offset == len(f.progress.tokens) {
			last, hasLast = frame, true
			continue
		}
		if end := f.forward(frame); end != nil {
			return end
		}
		if !stream.Buffered() {
			if err := f.progress.sink.Flush(); err != nil {
				return callerDisconnected{err}
			}
		}
	}
}

// forward sends one token to the sink. Repeated tokens are dropped, and a missing one ends
// the attempt as broken.
func (f *frameReader) forward(frame engine.Frame) outcome {
	p := f.progress
	switch {
	case frame.Offset < len(p.tokens):
		return nil
	case frame.Offset > len(p.tokens):
		return broken{errMissingFrame}
	case frame.Text == "":
		return nil
	}
	if f.tokenCount == 0 {
		f.firstTokenAt = time.Now()
		p.triesSinceToken = 0
		f.runner.watch.AnswerBegan(p.identity, f.firstTokenAt)
	}
	f.stallTimer.Reset(stallTimeout)
	p.tokens = append(p.tokens, frame.Text)
	f.tokenCount++
	f.activeAttempt.setTokens(len(p.tokens))
	f.runner.counters.Tokens.Inc()
	if err := p.sink.Token(Token{frame.Offset, frame.Text, f.activeAttempt.endpoint.ID}); err != nil {
		return callerDisconnected{err}
	}
	return nil
}

// result returns the measurements of the attempt for the router.
func (f *frameReader) result(end outcome) route.Result {
	result := route.Result{Tokens: f.tokenCount}
	if f.tokenCount > 0 {
		result.FirstToken = f.firstTokenAt.Sub(f.started)
		result.Decode = time.Since(f.firstTokenAt)
	}
	if done, ok := end.(finished); ok {
		usage := done.frame.Usage
		result.TokensReported = usage.PromptTokens > 0
		result.PromptTokens = usage.PromptTokens
		result.CachedTokens = usage.CachedTokens
	}
	return result
}
