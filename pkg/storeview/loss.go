package storeview

import (
	"sync"
	"time"

	"github.com/phuslu/log"
)

// lossLog writes one line when a dependency is lost and one when it is back.
type lossLog struct {
	mu    sync.Mutex
	since map[string]time.Time
}

func (l *lossLog) note(logger *log.Logger, what string, err error, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	since, isLost := l.since[what]
	switch {
	case err != nil && !isLost:
		if l.since == nil {
			l.since = map[string]time.Time{}
		}
		l.since[what] = now
		logger.Warn().Str("feed", what).Err(err).Msg("store lost")
	case err == nil && isLost:
		delete(l.since, what)
		logger.Info().Str("feed", what).Dur("after", now.Sub(since)).Msg("store back")
	}
}
