package process

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// logQueueSize is the number of lines that are queued for a slow reader.
	logQueueSize = 1024
	// logCloseTimeout is how long closing a log waits until the queued lines are written.
	logCloseTimeout = 100 * time.Millisecond
)

// LogQueue writes the lines of a log without blocking on their reader. Lines are dropped and counted while the queue is
// full, and once it is closed. It is safe for concurrent use.
type LogQueue struct {
	queue   *log.AsyncWriter
	dropped atomic.Int64
	mu      sync.RWMutex
	closed  bool
}

// NewLogQueue returns a queue before w.
func NewLogQueue(w io.Writer) *LogQueue {
	return &LogQueue{queue: &log.AsyncWriter{ChannelSize: logQueueSize, DiscardOnFull: true, Writer: &log.IOWriter{Writer: w}}}
}

// NewQueuedLogger returns a logger that writes through a queue.
func NewQueuedLogger(queue *LogQueue, node string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer:     queue,
	}
}

// WriteEntry queues a line.
func (q *LogQueue) WriteEntry(e *log.Entry) (int, error) {
	q.mu.RLock()
	defer q.mu.RUnlock()
	if q.closed {
		q.dropped.Add(1)
		return 0, errLogClosed
	}
	n, err := q.queue.WriteEntry(e)
	if err != nil {
		q.dropped.Add(1)
	}
	return n, err
}

var (
	errLogClosed = errors.New("process: the log is closed")
	errLogStuck  = errors.New("process: the reader of the log has stopped reading")
)

// Dropped returns the number of lines that were dropped.
func (q *LogQueue) Dropped() int64 { return q.dropped.Load() }

// Describe describes the metric.
func (q *LogQueue) Describe(descriptions chan<- *prometheus.Desc) { descriptions <- droppedLines }

// Collect sends the number of lines that were dropped.
func (q *LogQueue) Collect(metrics chan<- prometheus.Metric) {
	metrics <- prometheus.MustNewConstMetric(droppedLines, prometheus.CounterValue, float64(q.Dropped()))
}

var droppedLines = prometheus.NewDesc("ironhollow_log_queue_dropped_total", "Log lines dropped as their reader was too slow.", nil, nil)

// Close writes out the queued lines, unless their reader takes too long.
func (q *LogQueue) Close() error {
	q.mu.Lock()
	wasClosed := q.closed
	q.closed = true
	q.mu.Unlock()
	if wasClosed {
		return nil
	}
	written := make(chan error, 1)
	go func() { written <- q.queue.Close() }()
	select {
	case err := <-written:
		return err
	case <-time.After(logCloseTimeout):
		return errLogStuck
	}
}
