package forward

import (
	"sync"
	"time"
)

// logLimiter is a token bucket for the log lines of requests. Lines of served requests
// are dropped first: they may use only half of the bucket.
type logLimiter struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	dropped    int
	reportedAt time.Time
}

// Parameters of the limiter.
const (
	// logLinesPerSecond is about five times a host's usual requests, and 100 KB/s.
	logLinesPerSecond = 200.0
	// logLineBurst is the size of the bucket.
	logLineBurst = 400.0
	// dropReportInterval is the time between two reports of the number of dropped lines.
	dropReportInterval = 5 * time.Second
)

func newLogLimiter(now time.Time) *logLimiter {
	return &logLimiter{tokens: logLineBurst, refilledAt: now, reportedAt: now}
}

// allow reports whether a line may be written. dropped is the number of lines dropped
// since the last report; it is 0 unless a report is due.
func (l *logLimiter) allow(failed bool, now time.Time) (write bool, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if elapsed := now.Sub(l.refilledAt); elapsed > 0 {
		l.tokens = min(logLineBurst, l.tokens+elapsed.Seconds()*logLinesPerSecond)
		l.refilledAt = now
	}
	threshold := 1.0
	if !failed {
		threshold = logLineBurst / 2
	}
	if l.tokens < threshold {
		l.dropped++
		return false, 0
	}
	l.tokens--
	if l.dropped > 0 && now.Sub(l.reportedAt) >= dropReportInterval {
		dropped, l.dropped, l.reportedAt = l.dropped, 0, now
	}
	return true, dropped
}
