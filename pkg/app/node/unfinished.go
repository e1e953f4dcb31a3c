package node

import (
	"time"

	"ironhollow/pkg/routetable"
)

// logUnfinished names the requests that the end of the process cuts.
func (n *node) logUnfinished(after time.Duration) {
	streams := 0
	for _, r := range n.forwarder.InProgress() {
		if r.Kind == routetable.Stream {
			streams++
			continue
		}
		n.log.Warn().Str("request", r.ID).Str("service", r.Service).Stringer("kind", r.Kind).Str("endpoint", r.Endpoint).Dur("age", r.Age).Dur("after", after).
			Msg("request cut by the end of the process")
	}
	if streams > 0 {
		n.log.Warn().Int("streams", streams).Dur("after", after).Msg("streams cut by the end of the process")
	}
}
