package process_test

import (
	"io"
	"strings"
	"testing"
	"time"

	"ironhollow/pkg/app/process"
)

// The logger must not block if the reader of the log does not read.
func TestLoggerDoesNotBlock(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	queue := process.NewLogQueue(writer)
	logger := process.NewQueuedLogger(queue, "node")
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
	if got := queue.Dropped(); got < lines/2 || got >= lines {
		t.Errorf("dropped lines: got %d, want those of %d that the queue had no room for", got, lines)
	}
}

// Guards against a process that does not end, or panics, since the reader of its log has stopped or a goroutine still logs.
func TestLoggerClosesWithoutItsReader(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { _ = reader.Close() }()
	queue := process.NewLogQueue(writer)
	logger := process.NewQueuedLogger(queue, "node")
	logger.Info().Msg("line")
	closed := make(chan error)
	go func() { closed <- queue.Close() }()
	select {
	case err := <-closed:
		if err == nil {
			t.Error("closing: got no error, want one for the line that was not written")
		}
	case <-time.After(5 * time.Second):
		t.Fatal("closing blocked for 5 s")
	}
	logger.Info().Msg("late line")
	if got := queue.Dropped(); got != 1 {
		t.Errorf("dropped lines: got %d, want 1", got)
	}
}

// Lines that are queued when the process ends must be written.
func TestLoggerWritesQueuedLinesAtItsEnd(t *testing.T) {
	var text strings.Builder
	queue := process.NewLogQueue(&text)
	logger := process.NewQueuedLogger(queue, "node")
	const lines = 100
	for i := range lines {
		logger.Info().Int("line", i).Msg("line")
	}
	if err := queue.Close(); err != nil {
		t.Fatal(err)
	}
	if got := strings.Count(text.String(), "\n"); got != lines || queue.Dropped() != 0 {
		t.Errorf("got %d lines and %d dropped, want %d and 0", got, queue.Dropped(), lines)
	}
}

func BenchmarkAsyncLogger(b *testing.B) {
	logger := process.NewQueuedLogger(process.NewLogQueue(io.Discard), "node")
	for b.Loop() {
		logger.Info().Str("request", "9c41d07be2a35f68").Str("outcome", "served").Dur("took", time.Millisecond).Msg("request")
	}
}
