package node

import (
	"sync/atomic"

	"ironhollow/pkg/gossip"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// originSender sends datagrams about the origins of streams once the exchange with other hosts has
// been set.
type originSender struct {
	exchange atomic.Pointer[gossip.Exchange]
}

func newOriginSender() *originSender { return &originSender{} }

func (s *originSender) set(e *gossip.Exchange) { s.exchange.Store(e) }

// SendOrigins implements origin.Sender.
func (s *originSender) SendOrigins(records []origin.Record, unknown []origin.Key, to string) {
	if e := s.exchange.Load(); e != nil {
		e.SendOrigins(records, unknown, to)
	}
}

// QueryOrigin implements origin.Sender.
func (s *originSender) QueryOrigin(key origin.Key, to string) {
	if e := s.exchange.Load(); e != nil {
		e.QueryOrigin(key, to)
	}
}

// newOrigins returns a directory that shares its records with the advertised hosts: others serve callers
// for a moment only, and do not know of each other in a large fleet.
func newOrigins(view *storeview.View, s Settings, sender *originSender, clock *storeclock.Clock) *origin.Directory {
	peers := func() []origin.Peer {
		var list []origin.Peer
		for _, h := range view.Roster().AdvertisedHosts() {
			if h.Node != s.Node && h.PeerAddress != "" {
				list = append(list, origin.Peer{Node: h.Node, Address: h.PeerAddress})
			}
		}
		return list
	}
	return origin.New(s.PeerAddress, peers, sender, clock.Now)
}
