package gossip

import (
	"context"
	"slices"
	"time"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/roster"
)

// urgentIntervalPerPeer is the minimum interval between two brief rounds for each recipient. It
// limits a host to 600 brief datagrams per second.
const urgentIntervalPerPeer = time.Second / 600

// UrgentInterval returns the minimum interval between two brief rounds to a number of hosts.
func UrgentInterval(hosts int) time.Duration {
	return urgentIntervalPerPeer * time.Duration(max(hosts, 1))
}

// SendUrgent sends load changes of single endpoints to the hosts that share this one's callers as
// they occur, until ctx ends. updateFor returns the current load of the given endpoints. Otherwise,
// between two full rounds, several hosts would choose an endpoint whose queue one of them has
// just filled.
func (e *Exchange) SendUrgent(ctx context.Context, urgent <-chan string, updateFor func(endpoints []string) Update) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-urgent:
			endpoints := drain(urgent, []string{first})
			peers := e.roster.Recipients(e.self, roster.Activity{}, e.now()).Frequent
			e.sendBrief(updateFor(endpoints), peers)
			pause.For(ctx, UrgentInterval(len(peers)))
		}
	}
}

// drain appends the endpoints waiting in a channel, without duplicates.
func drain(urgent <-chan string, endpoints []string) []string {
	for {
		select {
		case next := <-urgent:
			if !slices.Contains(endpoints, next) {
				endpoints = append(endpoints, next)
			}
		default:
			return endpoints
		}
	}
}

// SendRollouts sends roll-out directives or reports immediately: to one host, or to all known
// hosts if the address is empty.
func (e *Exchange) SendRollouts(data []byte, to string) {
	peers := []string{to}
	if to == "" {
		frequent, infrequent := e.roster.PeerAddresses(e.self)
		peers = append(frequent, infrequent...)
	}
	host := roster.Host{Incarnation: e.self.Incarnation, PeerAddress: e.self.PeerAddress}
	e.sendBrief(Update{Status: roster.Status{Host: host}, Rollouts: data}, peers)
}

func (e *Exchange) sendBrief(update Update, peers []string) {
	update.Brief = true
	data, _, err := encode(update, e.sequence.Add(1))
	if err != nil {
		e.log.Error().Err(err).Msg("failed to encode brief update")
		return
	}
	e.write(data, peers)
	e.sendCasesAndNotices(update, peers)
}
