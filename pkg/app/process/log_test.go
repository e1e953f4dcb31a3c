package process_test

import (
	"io"
	"testing"
	"time"

	"ironhollow/pkg/app/process"
)

// The reader of the log does not read: no line is waited for.
func TestLogIsNotWaitedFor(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	logger := process.NewAsyncLogger(writer, "node")
	const lines = 20_000
	done := make(chan time.Duration)
	go func() {
		began := time.Now()
		for i := range lines {
			logger.Info().Int("line", i).Msg("line")
		}
		done <- time.Since(began)
	}()
	select {
	case took := <-done:
		t.Logf("%d lines in %v", lines, took)
	case <-time.After(10 * time.Second):
		t.Fatalf("%d lines were not taken in 10 s", lines)
	}
}

func BenchmarkLogLine(b *testing.B) {
	logger := process.NewAsyncLogger(io.Discard, "node")
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("outcome", "served").Dur("took", time.Millisecond).Msg("request")
	}
}
