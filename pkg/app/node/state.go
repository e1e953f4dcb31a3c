package node

import (
	"github.com/phuslu/log"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/notice"
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// hostState is the state that hosts ask each other for: what the view holds, and the limits of
// endpoints. A host that did not know these would send endpoints as much as they have slots.
type hostState struct {
	*storeview.View
	notices *notice.Tracker
	clock   *storeclock.Clock
	log     *log.Logger
}

func newHostState(view *storeview.View, notices *notice.Tracker, clock *storeclock.Clock, logger *log.Logger) *hostState {
	return &hostState{view, notices, clock, logger}
}

// State implements statetransfer.Provider.
func (s *hostState) State(after int64, withTables bool) statetransfer.State {
	state := s.View.State(after, withTables)
	var err error
	if state.Limits, err = gossip.EncodeNotices(s.notices.Limits(s.clock.Now())); err != nil {
		s.log.Error().Err(err).Msg("failed to encode the limits of endpoints")
	}
	return state
}

// Apply implements statetransfer.View.
func (s *hostState) Apply(state statetransfer.State) {
	s.View.Apply(state)
	for _, data := range state.Limits {
		reports, err := gossip.DecodeNotices(data)
		if err != nil {
			s.log.Warn().Err(err).Msg("failed to decode the limits of endpoints from another host")
			continue
		}
		s.notices.ApplyReports(reports, s.clock.Now())
	}
}
