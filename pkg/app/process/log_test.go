package process_test

import (
	"io"
	"testing"
	"time"

	"ironhollow/pkg/app/process"
)

// The logger must not block if the reader of the log does not read.
func TestLoggerDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	logger := process.NewAsyncLogger(writer, "node")
	const lines = 20_000
	done := make(chan time.Duration)
	go func() {
		start := time.Now()
		for i := range lines {
			logger.Info().Int("line", i).Msg("line")
		}
		done <- time.Since(start)
	}()
	select {
	case took := <-done:
		t.Logf("%d lines in %v", lines, took)
	case <-time.After(10 * time.Second):
		t.Fatalf("logging %d lines blocked for 10 s", lines)
	}
}

func BenchmarkAsyncLogger(b *testing.B) {
	logger := process.NewAsyncLogger(io.Discard, "node")
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("outcome", "served").Dur("took", time.Millisecond).Msg("request")
	}
}
