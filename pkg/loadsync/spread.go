package loadsync

import "ironhollow/pkg/route"

// Factors of the slowest endpoint of a service from which on its endpoints are reported to differ,
// and up to which they are reported to be equal again. The distance keeps an estimate that varies
// from being reported again and again.
const (
	differingFactor = 1.4
	equalFactor     = 1.1
)

// SpeedChange reports that the endpoints of a service began to differ in speed, or no longer do.
type SpeedChange struct {
	route.SpeedSpread
	Differs bool
}

// SpeedChanges returns the changes since the previous call. It must not be called concurrently.
func (s *Sync) SpeedChanges() []SpeedChange {
	var changes []SpeedChange
	for _, spread := range s.router.SpeedSpreads() {
		service := spread.Target.Service
		if was := s.differing[service]; !was && spread.Greatest >= differingFactor || was && spread.Greatest <= equalFactor {
			s.differing[service] = !was
			changes = append(changes, SpeedChange{spread, !was})
		}
	}
	return changes
}
