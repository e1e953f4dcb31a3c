package forward

import (
	"context"
	"encoding/hex"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/upstream"
)

// A caller that resumes a stream has abandoned its previous request, which this system may still relay: the
// caller's connection may have been reset at its side only, or have stalled. The host that relays the
// previous request ends it, and its run, before the stream continues.

const (
	// StreamsPath is the path at which hosts ask each other to end a stream; its key follows, in hex.
	StreamsPath = "/streams/"
	// headerTakenUpBy holds the address of the host at which the caller has resumed the stream. headerForwarded is set if
	// the host that was asked first knew that another one relays the stream.
	headerTakenUpBy = "Ironhollow-Taken-Up-By"
	// headerTakenUpAge is the age of the request that resumes the stream, in milliseconds. Hosts of earlier versions do
	// not send it; it is 0 then.
	headerTakenUpAge = "Ironhollow-Taken-Up-Age"
	headerForwarded  = "Ironhollow-Forwarded"
	// takeUpWait is how long the resuming host waits for an answer of the host that relays the previous request. One
	// that has not ended it answers within endRunWait, and is asked again, for maxTakeUpWait in all.
	takeUpWait    = endRunWait + 100*time.Millisecond
	maxTakeUpWait = endRunTimeout + 100*time.Millisecond
	// askAgainPause is the time before a host that has not ended a stream is asked again.
	askAgainPause = 20 * time.Millisecond
)

// streamKeys returns the keys by which the caller resumes the stream.
func (c *call) streamKeys() []origin.Key {
	attempt := c.meta.ID
	if c.meta.Resumes != "" {
		attempt = c.meta.Resumes
	}
	return c.attemptKeys(attempt)
}

// trackTakeable registers the request's stream if its caller may resume it, and returns the stream of an earlier
// request that it replaces, nil if there is none.
func (c *call) trackTakeable() (earlier *takeable) {
	if c.takeable != nil || !c.mayRepeat() {
		return nil
	}
	c.takeable = &takeable{keys: c.streamKeys(), since: c.started, ended: make(chan struct{}), until: c.deadline, interrupt: func() {
		c.cancel()
		// Unblocks a write to a caller that does not read. If the connection has no deadlines, the request
		// ends at its own deadline.
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Now())
	}}
	return c.f.takeables.add(c.takeable)
}

// endTakeable records that the request has ended with err.
func (c *call) endTakeable(err error) {
	s := c.takeable
	if s == nil {
		return
	}
	s.mu.Lock()
	s.interrupt = nil
	if s.isTakenUp {
		c.logEntry.addNote("ended: its caller has taken the stream up")
		// The request may have been complete already, and its connection may serve another one.
		_ = http.NewResponseController(c.w).SetWriteDeadline(time.Time{})
	}
	s.mu.Unlock()
	if n := len(c.usedHosts); n > 0 && c.open == nil {
		s.hop = c.usedHosts[n-1]
	}
	s.runs = c.openRuns()
	close(s.ended)
	if err == nil || len(s.runs) == 0 && s.hop == "" {
		c.f.takeables.drop(s)
	}
}

// streamEnd is the state of a stream after a call to end it.
type streamEnd int

const (
	// notRelayed means that this host relays no such stream.
	notRelayed streamEnd = iota
	// streamEnded means that the request and its runs have ended, streamContinues that they may not have yet.
	streamEnded
	streamContinues
)

// endEarlier ends the previous request of a stream that the caller resumes here: at the host that relays it under a key, or
// relayed it last, and at this one, which may have relayed it for another host. The caller may abandon this request
// too meanwhile, and resume the stream once more: isOutdated is set if another host has received that request first.
func (c *call) endEarlier(ctx context.Context, host string, key origin.Key) (outcome string, isOutdated bool) {
	earlier := c.trackTakeable()
	ctx, cancel := context.WithTimeout(ctx, maxTakeUpWait)
	defer cancel()
	endedHere := make(chan streamEnd, 1)
	go func() { endedHere <- c.f.endStream(ctx, earlier) }()
	outcome = "none"
	if host != "" {
		outcome = "ended"
		by := takeUpBy{host: c.f.origins.Self(), at: c.started}
		if err := c.f.endAtHost(ctx, host, key, by); err != nil {
			isOutdated = errors.Is(err, errOutdatedTakeUp)
			c.f.log.Warn().Err(err).Str("host", host).Str("request", c.meta.ID).Msg("failed to end the earlier attempt at a stream")
			outcome = "unanswered"
		}
	}
	switch <-endedHere {
	case streamEnded:
		outcome = "ended here"
	case streamContinues:
		outcome = "not ended here"
	}
	return outcome, isOutdated
}

// interruptTimeout bounds the end of a stream after its request was interrupted.
const interruptTimeout = 2 * time.Second

// endStream ends a stream that this host relays, nil for none, and its run if the endpoint may continue it. It waits
// for that until ctx ends; the stream ends also if ctx does.
func (f *Forwarder) endStream(ctx context.Context, s *takeable) streamEnd {
	if s == nil {
		return notRelayed
	}
	s.mu.Lock()
	if s.interrupt != nil {
		s.isTakenUp = true
		s.interrupt()
	}
	isFirst := s.ending == nil
	if isFirst {
		s.ending = &streamEnding{done: make(chan struct{})}
	}
	ending := s.ending
	s.mu.Unlock()
	if isFirst {
		go f.tryToEnd(context.WithoutCancel(ctx), s, ending)
	}
	select {
	case <-ending.done:
		if ending.hasEnded {
			return streamEnded
		}
	case <-ctx.Done():
	}
	return streamContinues
}

// tryToEnd ends an interrupted stream and removes it. One that has not ended in time can be tried again.
func (f *Forwarder) tryToEnd(ctx context.Context, s *takeable, ending *streamEnding) {
	ctx, cancel := context.WithTimeout(ctx, interruptTimeout)
	defer cancel()
	ending.hasEnded = f.endInterrupted(ctx, s)
	if ending.hasEnded {
		f.takeables.drop(s)
	} else {
		s.mu.Lock()
		s.ending = nil
		s.mu.Unlock()
	}
	close(ending.done)
}

// endInterrupted ends what remains of a stream once its request has ended. It returns false if that has not ended.
func (f *Forwarder) endInterrupted(ctx context.Context, s *takeable) bool {
	select {
	case <-s.ended:
	case <-ctx.Done():
		f.log.Warn().Err(ctx.Err()).Msg("the earlier request of a resumed stream did not end in time")
		return false
	}
	var ending sync.WaitGroup
	if s.hop != "" {
		// The other host may know the stream by one of the keys only: by its configuration the caller may be of
		// another team.
		for _, key := range s.keys {
			ending.Go(func() {
				if err := f.endAtHost(ctx, s.hop, key, takeUpBy{}); err != nil {
					f.log.Warn().Err(err).Str("host", s.hop).Msg("failed to end a stream at the host that it was forwarded to")
				}
			})
		}
		ending.Wait()
	}
	if !time.Now().Before(s.until) {
		return true
	}
	for _, run := range s.runs {
		ending.Go(func() { f.endUnusedRun(ctx, run) })
	}
	ending.Wait()
	return true
}

// takeUpBy is the request that resumes a stream, empty if none does.
type takeUpBy struct {
	// host is the address of the host that received it, at the given time.
	host string
	at   time.Time
	// isForwarded is set if the host that was asked first knew that another one relays the stream.
	isForwarded bool
}

func (f *Forwarder) encodeTakeUp(by takeUpBy) http.Header {
	h := http.Header{}
	if by.host != "" {
		h.Set(headerTakenUpBy, by.host)
		h.Set(headerTakenUpAge, strconv.FormatInt(f.clock().Sub(by.at).Milliseconds(), 10))
	}
	if by.isForwarded {
		h.Set(headerForwarded, "1")
	}
	return h
}

func (f *Forwarder) decodeTakeUp(h http.Header) takeUpBy {
	// A missing or malformed age counts as 0.
	ms, _ := strconv.ParseInt(h.Get(headerTakenUpAge), 10, 64)
	age := time.Duration(min(max(ms, 0), maxTakeUpAge.Milliseconds())) * time.Millisecond
	return takeUpBy{host: h.Get(headerTakenUpBy), at: f.clock().Add(-age), isForwarded: h.Get(headerForwarded) != ""}
}

// maxTakeUpAge bounds the age of a request that resumes a stream.
const maxTakeUpAge = time.Hour

var (
	// errStreamNotEnded means that another host did not confirm the end of a stream.
	errStreamNotEnded = errors.New("the other host did not end the stream")
	// errOutdatedTakeUp means that a later request of the caller has resumed the stream.
	errOutdatedTakeUp = errors.New("a later request has resumed the stream")
)

// endAtHost asks another host to end a stream, until it has, does not answer, or ctx ends.
func (f *Forwarder) endAtHost(ctx context.Context, host string, key origin.Key, by takeUpBy) error {
	if f.detours == nil {
		return nil
	}
	for {
		hasEnded, err := f.askToEnd(ctx, host, key, by)
		if hasEnded || err != nil {
			return err
		}
		if !pause.For(ctx, askAgainPause) {
			return ctx.Err()
		}
	}
}

// askToEnd asks another host to end a stream, once. It returns false without an error if the host has begun to.
func (f *Forwarder) askToEnd(ctx context.Context, host string, key origin.Key, by takeUpBy) (hasEnded bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, takeUpWait)
	defer cancel()
	request := upstream.Request{
		Method: http.MethodDelete, Target: StreamsPath + hex.EncodeToString(key[:]), Host: host,
		Header: f.encodeTakeUp(by), MaxIdle: nonRepeatableMaxIdle,
	}
	switch o := f.detours.pool.Send(ctx, host, 0, request).(type) {
	case upstream.NotSent:
		return false, o.Err
	case upstream.MaybeSent:
		return false, o.Err
	case upstream.Answered:
		defer o.Exchange.Close()
		switch o.Exchange.Status() {
		case http.StatusNoContent:
			return true, nil
		case http.StatusAccepted:
			drainBody(o.Exchange)
			return false, nil
		case http.StatusConflict:
			drainBody(o.Exchange)
			return false, errOutdatedTakeUp
		}
	}
	return false, errStreamNotEnded
}

// ServeStreamEnd answers another host that asks this one to end a stream: with 204 once it has ended, with 202 if it
// has not within endRunWait, and with 409 if a later request has resumed the stream.
func (f *Forwarder) ServeStreamEnd(w http.ResponseWriter, r *http.Request) {
	raw, err := hex.DecodeString(strings.TrimPrefix(r.URL.Path, StreamsPath))
	if err != nil || len(raw) != len(origin.Key{}) {
		http.Error(w, "malformed key of a stream", http.StatusBadRequest)
		return
	}
	key, by := origin.Key(raw), f.decodeTakeUp(r.Header)
	s, previous, isOutdated := f.takeables.get(key), "", false
	if by.host != "" {
		previous, isOutdated = f.recordTakeUp(s, key, by)
	}
	if isOutdated {
		w.WriteHeader(http.StatusConflict)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), endRunWait)
	defer cancel()
	forwarded := make(chan error, 1)
	go func() { forwarded <- f.forwardEnd(ctx, previous, key, by) }()
	end := f.endStream(ctx, s)
	err = <-forwarded
	switch {
	case errors.Is(err, errOutdatedTakeUp):
		w.WriteHeader(http.StatusConflict)
	case err != nil:
		f.log.Warn().Err(err).Str("host", previous).Msg("failed to end a stream at the host that relays it now")
		w.WriteHeader(http.StatusBadGateway)
	case end == streamContinues:
		w.WriteHeader(http.StatusAccepted)
	default:
		w.WriteHeader(http.StatusNoContent)
	}
}

// recordTakeUp records that the request of another host resumes the stream with a key, under all of its keys if this
// host relays it, nil if not. It returns the other host that relays the stream, empty if there is none, and whether a later
// request has resumed it already.
func (f *Forwarder) recordTakeUp(s *takeable, key origin.Key, by takeUpBy) (previous string, isOutdated bool) {
	age := f.clock().Sub(by.at)
	previous, isOutdated = f.origins.TakeUp(key, by.host, age)
	if s == nil {
		return previous, isOutdated
	}
	for _, other := range s.keys {
		if other != key && !isOutdated {
			_, isOutdated = f.origins.TakeUp(other, by.host, age)
		}
	}
	return previous, isOutdated || s.since.After(by.at)
}

// forwardEnd asks the host that relays a stream by the record here to end it: the record of the host that asked this
// one is outdated.
func (f *Forwarder) forwardEnd(ctx context.Context, previous string, key origin.Key, by takeUpBy) error {
	if previous == "" || previous == by.host || by.isForwarded {
		return nil
	}
	by.isForwarded = true
	return f.endAtHost(ctx, previous, key, by)
}
