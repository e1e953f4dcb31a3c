package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

func splitList(field string) []string {
	names := strings.Split(field, ",")
	for i := range names {
		names[i] = strings.TrimSpace(names[i])
	}
	return names
}

// writeHead passes on an endpoint's status and headers.
func (c *call) writeHead(status int, header http.Header) {
	h := c.w.Header()
	for name, values := range endToEnd(header) {
		h[name] = values
	}
	// The server must add nothing that the endpoint did not say.
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := h[name]; !ok {
			h[name] = nil
		}
	}
	c.w.WriteHeader(status)
	c.trail.status = status
}

// relay passes an answer on.
func (c *call) relay(a answered) error {
	if a.rest == nil {
		c.w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	} else if n := a.rest.Length(); n >= 0 {
		c.w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	}
	c.writeHead(a.status, a.header)
	c.trail.bytes += len(a.body)
	if _, err := c.w.Write(a.body); err != nil {
		return c.cutOff(a.rest, err)
	}
	if a.rest == nil {
		return nil
	}
	defer a.rest.Close()
	n, err := io.Copy(c.w, a.rest)
	c.trail.bytes += int(n)
	if err != nil {
		if a.rest.IsBroken() {
			c.noteBreak(a.choice, err)
		}
		return c.cutOff(a.rest, err)
	}
	c.noteWhole(a.status, a.rest.HasEnd())
	return nil
}

func (c *call) cutOff(e *upstream.Exchange, err error) error {
	if e != nil {
		e.Close()
	}
	if c.in.Context().Err() != nil {
		return errors.Join(errCut, errCallerLeft)
	}
	return errors.Join(errCut, err)
}

const (
	// streamBytes is the buffer for events on their way: a few of them.
	streamBytes = 8 << 10
	// mostEvent bounds one event, which is held until it is whole: some thousand
	// times those of a model's answer.
	mostEvent = 256 << 10
)

var errLongEvent = errors.New("an event is longer than is held")

// relayStream passes a stream on event by event; first is how long its head took.
// Where it breaks off it goes on at another endpoint if the route allows that, after
// the last whole event.
func (c *call) relayStream(ctx context.Context, choice route.Choice, begun streaming, first time.Duration) error {
	e := begun.exchange
	c.writeHead(e.Status(), e.Header())
	s := &stream{call: c, lastEvent: c.meta.LastEventID}
	shown := route.Result{PrefillDone: true, FirstToken: first}
	for {
		began := c.f.clock()
		s.events = 0
		err := s.copy(e)
		e.Close()
		shown.Failed = err != nil && ctx.Err() == nil
		shown.Decode = c.f.clock().Sub(began)
		shown.Tokens = (s.events - 1) * c.service.Stride
		c.showStream(begun.tracked, choice, shown)
		c.done(choice, begun.tracked, shown)
		// What went on elsewhere read the answer so far too: it shows no speed.
		shown.FirstToken = 0
		if err == nil {
			c.noteWhole(e.Status(), e.HasEnd())
			return nil
		}
		if e.IsBroken() {
			c.noteBreak(choice, err)
		}
		c.trail.note("stream broke off: " + err.Error())
		if errors.Is(err, errCallerLeft) || ctx.Err() != nil {
			return errors.Join(errCut, err)
		}
		c.avoid = append(c.avoid, refOf(choice))
		var ok bool
		if choice, begun, ok = c.resume(ctx, s.lastEvent); !ok {
			return errors.Join(errCut, err)
		}
		e = begun.exchange
	}
}

// resume finds another endpoint to go on at.
func (c *call) resume(ctx context.Context, lastEvent string) (route.Choice, streaming, bool) {
	last := result(unclear{errCut})
	for c.mayResend(ctx, last) && c.f.budget.Take(c.service.Name, c.f.fleet.Sharing(), c.f.clock()) {
		choice, ok := c.choose(ctx)
		if !ok {
			return choice, streaming{}, false
		}
		sent := c.f.clock()
		tracked := c.track(choice)
		last = c.send(ctx, choice, lastEvent)
		c.noteAttempt(choice, last, c.f.clock().Sub(sent))
		c.noteRun(ctx, choice, last)
		c.showAnswer(ctx, tracked, last)
		if s, isStream := last.(streaming); isStream {
			c.f.router.PrefillDone(choice)
			s.tracked = tracked
			return choice, s, true
		}
		c.done(choice, tracked, ending(last))
		c.avoid = append(c.avoid, refOf(choice))
		if a, isAnswer := last.(answered); isAnswer {
			if a.rest != nil {
				a.rest.Close()
			}
			last = unclear{fmt.Errorf("answered %d when asked to go on", a.status)}
		}
	}
	return route.Choice{}, streaming{}, false
}

// stream is the state of one caller's stream over its endpoints.
type stream struct {
	call *call
	// lastEvent is the id of the last whole event passed on.
	lastEvent string
	// events is how many whole events came from the endpoint of now.
	events int
}

// copy passes on whole events until the stream ends; nil means that the
// endpoint ended it in order. What remains of an event that broke off is
// dropped.
func (s *stream) copy(e *upstream.Exchange) error {
	buffer := make([]byte, 0, streamBytes)
	for {
		if len(buffer) >= mostEvent {
			return errLongEvent
		}
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, 0)[:len(buffer)]
		}
		n, err := e.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		whole := wholeEvents(buffer)
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			// A stream that ends in order may close without a blank line.
			whole = len(buffer)
		}
		if whole > 0 {
			if writeErr := s.pass(buffer[:whole]); writeErr != nil {
				return errors.Join(errCallerLeft, writeErr)
			}
			buffer = buffer[:copy(buffer, buffer[whole:])]
		}
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return nil
		case err != nil:
			return err
		}
	}
}

func (s *stream) pass(events []byte) error {
	if id, ok := lastID(events); ok {
		s.lastEvent = id
	}
	s.call.trail.bytes += len(events)
	s.events += countEvents(events)
	if _, err := s.call.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(s.call.w).Flush()
}

// wholeEvents returns how many leading bytes are whole events.
func wholeEvents(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// countEvents returns how many events end in whole events.
func countEvents(events []byte) int {
	return max(bytes.Count(events, []byte("\n\n")), bytes.Count(events, []byte("\r\n\r\n")))
}

// lastID returns the id of the last event that has one.
func lastID(events []byte) (string, bool) {
	for len(events) > 0 {
		at := bytes.LastIndex(events, []byte("id:"))
		if at < 0 {
			return "", false
		}
		if at == 0 || events[at-1] == '\n' {
			line, _, _ := bytes.Cut(events[at+len("id:"):], []byte("\n"))
			return string(bytes.TrimSpace(line)), true
		}
		events = events[:at]
	}
	return "", false
}
