package discovery

import (
	"fmt"
	"sort"
	"strings"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
)

// maxLinesPerBatch is the number of changes of a batch up to which each gets a log line. A larger
// batch gets one line with the number of changes of each kind, as thousands of endpoints may change
// at once.
const maxLinesPerBatch = 16

// changeLog logs the changes of a batch. Only one goroutine may use it at a time.
type changeLog struct {
	log     *log.Logger
	pending []func()
	counts  map[string]int
}

func newChangeLog(logger *log.Logger) *changeLog {
	return &changeLog{log: logger, counts: map[string]int{}}
}

// stateChanged records an endpoint's new state according to its row.
func (l *changeLog) stateChanged(info endpoint.Info, state endpoint.State, version int64) {
	l.add(fmt.Sprintf("%s %s", info.Service, state), func() {
		l.log.Info().Str("endpoint", info.ID).Str("service", info.Service).Str("dc", info.DataCenter).Str("address", info.Address).
			Str("state", state.String()).Bool("reclaimable", info.Reclaimable).Int64("row", version).Msg("endpoint")
	})
}

// gone records that an endpoint was removed.
func (l *changeLog) gone(info endpoint.Info, reason string) {
	l.add(fmt.Sprintf("%s gone, %s", info.Service, reason), func() {
		l.log.Info().Str("endpoint", info.ID).Str("address", info.Address).Str("why", reason).Msg("endpoint gone")
	})
}

// keptInGrace records that an endpoint is kept although its row has expired.
func (l *changeLog) keptInGrace(id string) {
	l.add("lapsed", func() {
		l.log.Info().Str("endpoint", id).Dur("kept", RenewalGrace).Msg("endpoint's row lapsed while the store was away")
	})
}

// decodeFailed records a row that could not be decoded.
func (l *changeLog) decodeFailed(err error, version int64) {
	l.add("not decoded", func() { l.log.Error().Err(err).Int64("row", version).Msg("cannot decode endpoint's row") })
}

func (l *changeLog) add(kind string, write func()) {
	l.counts[kind]++
	if len(l.pending) < maxLinesPerBatch {
		l.pending = append(l.pending, write)
	}
}

// flush writes the log lines of a batch, or a single summary line if there are too many.
func (l *changeLog) flush() {
	total := 0
	kinds := make([]string, 0, len(l.counts))
	for kind, count := range l.counts {
		total += count
		kinds = append(kinds, fmt.Sprintf("%s: %d", kind, count))
	}
	if total > maxLinesPerBatch {
		sort.Strings(kinds)
		l.log.Info().Int("changes", total).Str("kinds", strings.Join(kinds, "; ")).Msg("endpoints")
	} else {
		for _, write := range l.pending {
			write()
		}
	}
	l.pending = nil
	clear(l.counts)
}
