package node

import (
	"context"
	"time"

	"ironhollow/pkg/pause"
	"ironhollow/pkg/routetable"
)

// Timing of a shutdown.
const (
	// stopMargin is the part of the grace period that is not used: the process must have exited
	// before the period ends.
	stopMargin = 300 * time.Millisecond
	// closeTimeout is the time at the end of a shutdown in which no request is accepted and idle connections are closed.
	closeTimeout = 400 * time.Millisecond
	// answerTime is the time at the end in which requests that still run are ended and answered.
	answerTime = 150 * time.Millisecond
	// exitMargin is the part of stopMargin that a process which is late leaves unused.
	exitMargin = 100 * time.Millisecond
	// peersCloseTimeout bounds the wait for responses to other hosts that are being written at the end.
	peersCloseTimeout = 30 * time.Millisecond
)

// shutDown lets callers leave for other hosts until the grace period is nearly over, and then ends the requests in
// progress.
func (n *node) shutDown(background context.Context, servers servers, started time.Time) {
	end := started.Add(max(n.settings.GracePeriod-stopMargin, closeTimeout))
	n.lifecycle.Leave(time.Until(end) - answerTime)
	n.log.Info().Dur("grace", n.settings.GracePeriod).Int("requests", len(n.forwarder.InProgress())).Msg("stopping")
	if n.writesRow() {
		go n.writeRow(background)
	}
	pause.For(background, time.Until(end)-closeTimeout)
	n.log.Info().Dur("after", time.Since(started)).Int("requests", len(n.forwarder.InProgress())).Msg("closing idle connections")
	closeCtx, cancelClose := context.WithDeadline(background, end.Add(stopMargin-exitMargin))
	defer cancelClose()
	idle := make(chan struct{})
	go func() {
		defer close(idle)
		// Connections that are open at the end are closed by the end of the process.
		_ = servers.callers.Shutdown(closeCtx)
		n.detours.AwaitIdle(closeCtx)
	}()
	awaitUntil(idle, end.Add(-answerTime))
	n.forwarder.EndRequests()
	awaitUntil(idle, latest(end, time.Now().Add(answerTime)))
	peersCtx, cancelPeers := context.WithTimeout(closeCtx, peersCloseTimeout)
	defer cancelPeers()
	_ = servers.peers.Shutdown(peersCtx)
	n.logUnfinished(time.Since(started))
	n.log.Info().Dur("after", time.Since(started)).Int64("dropped-lines", n.logQueue.Dropped()).Msg("stopped")
}

// endForFault answers the requests in progress before the process ends for a fault.
func (n *node) endForFault() {
	n.forwarder.EndRequests()
	time.Sleep(answerTime)
	n.logUnfinished(0)
}

// awaitUntil waits until the channel is closed, until the given time at most.
func awaitUntil(done <-chan struct{}, end time.Time) {
	select {
	case <-done:
	case <-time.After(time.Until(end)):
	}
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

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
