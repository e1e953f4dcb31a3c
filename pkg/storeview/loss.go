package storeview

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// outageLog logs one line when calls to a dependency begin to fail and one when they succeed again.
type outageLog struct {
	mu       sync.Mutex
	failedAt map[string]time.Time
}

func (l *outageLog) record(logger *log.Logger, name string, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	failedAt, isFailing := l.failedAt[name]
	switch {
	case err != nil && !isFailing:
		if l.failedAt == nil {
			l.failedAt = map[string]time.Time{}
		}
		l.failedAt[name] = now
		logger.Warn().Str("feed", name).Err(err).Msg("store lost")
	case err == nil && isFailing:
		delete(l.failedAt, name)
		logger.Info().Str("feed", name).Dur("after", now.Sub(failedAt)).Msg("store back")
	}
}
