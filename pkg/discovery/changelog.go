package discovery

import (
	"fmt"
	"sort"
	"strings"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
)

// mostLines is how many changes of one batch get a log line each; a larger batch gets one line
// with the number of each kind, as thousands of endpoints may change at once.
const mostLines = 16

// lines writes what changes with a batch. One goroutine uses it at a time.
type lines struct {
	log     *log.Logger
	waiting []func()
	sums    map[string]int
}

func newLines(logger *log.Logger) *lines { return &lines{log: logger, sums: map[string]int{}} }

// seen notes an endpoint's new state by its row.
func (l *lines) seen(heard endpoint.Info, state endpoint.State, row int64) {
	l.add(fmt.Sprintf("%s %s", heard.Service, state), func() {
		l.log.Info().Str("endpoint", heard.ID).Str("service", heard.Service).Str("dc", heard.DataCenter).Str("address", heard.Address).
			Str("state", state.String()).Bool("reclaimable", heard.Reclaimable).Int64("row", row).Msg("endpoint")
	})
}

// gone notes that an endpoint is gone.
func (l *lines) gone(info endpoint.Info, why string) {
	l.add(fmt.Sprintf("%s gone, %s", info.Service, why), func() {
		l.log.Info().Str("endpoint", info.ID).Str("address", info.Address).Str("why", why).Msg("endpoint gone")
	})
}

// lapsed notes that an endpoint is kept though its row lapsed.
func (l *lines) lapsed(id string) {
	l.add("lapsed", func() {
		l.log.Info().Str("endpoint", id).Dur("kept", RenewalGrace).Msg("endpoint's row lapsed while the store was away")
	})
}

// unread notes a row that was not taken.
func (l *lines) unread(err error, row int64) {
	l.add("not taken", func() { l.log.Error().Err(err).Int64("row", row).Msg("endpoint's row not taken") })
}

func (l *lines) add(kind string, write func()) {
	l.sums[kind]++
	if len(l.waiting) < mostLines {
		l.waiting = append(l.waiting, write)
	}
}

// flush writes the lines of a batch, or one for all where they are many.
func (l *lines) flush() {
	sum := 0
	kinds := make([]string, 0, len(l.sums))
	for kind, count := range l.sums {
		sum += count
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, count))
	}
	if sum > mostLines {
		sort.Strings(kinds)
		l.log.Info().Int("changes", sum).Str("kinds", strings.Join(kinds, "; ")).Msg("endpoints")
	} else {
		for _, write := range l.waiting {
			write()
		}
	}
	l.waiting = nil
	clear(l.sums)
}
