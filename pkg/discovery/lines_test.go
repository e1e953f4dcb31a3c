package discovery_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/discovery"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/storeclock"
)

// A batch with many changes is logged in one line with the number of changes of each kind.
func TestLargeBatchIsLoggedInOneLine(t *testing.T) {
	for _, c := range []struct {
		endpoints, lines int
		last             string
	}{{3, 3, `"e2"`}, {3000, 1, "svc live: 3000"}} {
		var output bytes.Buffer
		logger := &log.Logger{Writer: &log.IOWriter{Writer: &output}}
		rows := discovery.New(endpoint.NewDirectory(), decode, time.Second, func(time.Duration) bool { return false }, storeclock.New(), logger)
		batch := feed.Batch{Full: true}
		for i := range c.endpoints {
			batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("e", i), Value: []byte("live"), Version: int64(i + 1)})
		}
		rows.Apply(batch)
		lines := strings.Split(strings.TrimSpace(output.String()), "\n")
		if got := len(lines); got != c.lines || !strings.Contains(lines[got-1], c.last) {
			t.Errorf("%d endpoints: got %d lines, the last %s, want %d, the last with %s", c.endpoints, got, lines[got-1], c.lines, c.last)
		}
	}
}
