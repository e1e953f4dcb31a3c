package gossip

import (
	"context"
	"slices"
	"time"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/roster"
)

// urgentPause is the least time between two brief rounds for each recipient: at most 600 brief
// datagrams a second leave a host.
const urgentPause = time.Second / 600

// UrgentInterval is the least time between two brief rounds to a number of hosts.
func UrgentInterval(hosts int) time.Duration { return urgentPause * time.Duration(max(hosts, 1)) }

// SendUrgent sends the state of single endpoints to the hosts that share this one's callers as
// it changes, until ctx ends; own returns what is under way at them. Between two rounds several
// hosts would choose the endpoint whose queue one of them has just filled.
func (e *Exchange) SendUrgent(ctx context.Context, urgent <-chan string, own func(endpoints []string) Update) {
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-urgent:
			endpoints := drain(urgent, []string{first})
			near := e.roster.Recipients(e.self, roster.Activity{}, e.now()).Frequent
			e.sendBrief(own(endpoints), near)
			pause.For(ctx, UrgentInterval(len(near)))
		}
	}
}

// drain adds what waits in a channel, each once.
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

// SendRollouts sends words or reports of roll-outs at once: to one host, or to all that are
// known where to is empty.
func (e *Exchange) SendRollouts(data []byte, to string) {
	peers := []string{to}
	if to == "" {
		near, far := e.roster.PeerAddresses(e.self)
		peers = append(near, far...)
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
	e.sendEvents(update, peers)
}
