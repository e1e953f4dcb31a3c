package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"

	"ironhollow/pkg/route"
	"ironhollow/pkg/upstream"
)

// stream is the state of one caller's stream across endpoints.
type stream struct {
	call *call
	// choice is that of the current endpoint.
	choice route.Choice
	// lastEventID is the id of the last complete event forwarded.
	lastEventID string
	// eventCount is how many complete events came from the current endpoint, totalEvents how many
	// came from all.
	eventCount, totalEvents int
	// relayed is the stream from the current endpoint as the mover sees it, nil if it cannot be moved.
	relayed *relayedStream
}

// copyEvents forwards complete events until the stream ends. It returns nil if the stream ended
// between events. An incomplete event at its end is dropped.
func (s *stream) copyEvents(e *upstream.Exchange) error {
	buffer, taken := make([]byte, 0, streamBufferBytes), int64(0)
	defer func() { s.call.f.eventBuffers.Return(taken) }()
	for {
		if len(buffer) >= maxEventBytes {
			return errEventTooLong
		}
		if len(buffer) == cap(buffer) {
			if !s.call.f.eventBuffers.Take(int64(cap(buffer))) {
				return errNoEventBuffer
			}
			taken += int64(cap(buffer))
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := e.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		complete := completeEventsLen(buffer)
		if complete > 0 {
			if writeErr := s.writeEvents(buffer[:complete]); writeErr != nil {
				return errors.Join(errCallerDisconnected, writeErr)
			}
			buffer = buffer[:copy(buffer, buffer[complete:])]
		}
		switch {
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			if len(bytes.Trim(buffer, "\r\n")) > 0 {
				return errInsideEvent
			}
			return nil
		case err != nil:
			return err
		}
	}
}

func (s *stream) writeEvents(events []byte) error {
	if id, ok := parseLastEventID(events); ok {
		s.lastEventID = id
	}
	s.call.logEntry.bytes += len(events)
	count := countEvents(events)
	if s.eventCount == 0 && count > 0 {
		s.call.hasBegun = true
		s.call.recordBeginning(s.choice)
	}
	s.call.settleOrigin()
	s.eventCount += count
	s.totalEvents += count
	s.relayed.relayedEvents(events, count)
	if _, err := s.call.w.Write(events); err != nil {
		return err
	}
	return http.NewResponseController(s.call.w).Flush()
}

// completeEventsLen returns how many leading bytes of b are complete events.
func completeEventsLen(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + 2
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+4)
	}
	return end
}

// countEvents returns the number of events in a sequence of complete events.
func countEvents(events []byte) int {
	return max(bytes.Count(events, []byte("\n\n")), bytes.Count(events, []byte("\r\n\r\n")))
}

// parseLastEventID returns the id of the last event that has one.
func parseLastEventID(events []byte) (string, bool) {
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
