package gossip

import (
	"slices"

	"ironhollow/pkg/roster"
)

// LinkState is what a host reports about its links to endpoints.
type LinkState uint8

// The states. A host that has not been cut recently reports nothing.
const (
	// LinksUnreported means that the update reports nothing about links.
	LinksUnreported LinkState = iota
	// LinksCut means that the host has lost its links to endpoints.
	LinksCut
	// LinksRestored means that it has them again.
	LinksRestored
)

// SendLinks sends a state of this host's links at once to all hosts with which it exchanges datagrams
// while it serves callers.
func (e *Exchange) SendLinks(state LinkState) {
	recipients := e.roster.Recipients(e.self, roster.Activity{ServesCallers: true}, e.now())
	peers := slices.Concat(recipients.Frequent, recipients.Infrequent, recipients.Aggregators, recipients.Subscribers)
	slices.Sort(peers)
	e.sendMapMessage(mapMessage{Incarnation: e.self.Incarnation, Links: state}, slices.Compact(peers))
}
