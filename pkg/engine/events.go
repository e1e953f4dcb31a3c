package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strconv"

	"github.com/tidwall/gjson"

	"ironhollow/pkg/endpoint"
)

// eventReader is a Stream that reads server-sent events from a response body. It supports only
// what engines send: an ID and one line of data. It is used instead of a library as it is the
// hottest path of an entry, and as it can report whether another event is buffered, so that
// several events are sent to the caller in one write (docs/measurements/hop.md).
type eventReader struct {
	body       io.ReadCloser
	reader     *bufio.Reader
	loadHeader string
	notice     endpoint.Notice
}

// eventBufferBytes is the size of the reader's buffer; maxLineBytes is the maximum length of a
// line.
const (
	eventBufferBytes = 16 << 10
	maxLineBytes     = 1 << 20
)

func newEventReader(body io.ReadCloser, load string, notice endpoint.Notice) *eventReader {
	return &eventReader{body: body, reader: bufio.NewReaderSize(body, eventBufferBytes), loadHeader: load, notice: notice}
}

// Notice returns the engine's notice from the response headers.
func (r *eventReader) Notice() endpoint.Notice { return r.notice }

// Report returns the load report from the response headers.
func (r *eventReader) Report() (Report, bool) { return parseReport(r.loadHeader) }

// parseReport parses the value of HeaderLoad.
func parseReport(header string) (Report, bool) {
	var w WireReport
	if header == "" || json.Unmarshal([]byte(header), &w) != nil {
		return Report{}, false
	}
	return w.ToReport(), true
}

// Close closes the connection.
func (r *eventReader) Close() { _ = r.body.Close() }

// Buffered reports whether Next returns without waiting for the engine.
func (r *eventReader) Buffered() bool {
	buffered, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(buffered, []byte("\n\n"))
}

// doneMarker is the data of the last event of a stream.
const doneMarker = "[DONE]"

// errLineTooLong is returned if a line exceeds maxLineBytes.
var errLineTooLong = errors.New("engine: event is too long")

// Next returns the next frame. The error is io.ErrUnexpectedEOF if the stream ends before its
// doneMarker.
func (r *eventReader) Next() (Frame, error) {
	var frame Frame
	hasID := false
	for {
		line, err := r.readLine()
		if err != nil {
			return Frame{}, err
		}
		switch {
		case bytes.HasPrefix(line, []byte("id: ")):
			if err := parseID(line[len("id: "):], &frame); err != nil {
				return Frame{}, err
			}
			hasID = true
		case bytes.HasPrefix(line, []byte("data: ")):
			data := line[len("data: "):]
			if string(data) == doneMarker {
				return Frame{}, io.EOF
			}
			if !hasID {
				return Frame{}, fmt.Errorf("engine: event without id")
			}
			return frame, decodeChunk(data, &frame)
		}
	}
}

// readLine returns the next line without its end. It is valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.readLongLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

// readLongLine returns the rest of a line that does not fit in the buffer, with its start.
func (r *eventReader) readLongLine(start []byte) ([]byte, error) {
	line := bytes.Clone(start)
	for len(line) < maxLineBytes {
		part, err := r.reader.ReadSlice('\n')
		line = append(line, part...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errLineTooLong
}

// parseID parses an event ID of the form attempt.offset.
func parseID(id []byte, frame *Frame) error {
	attempt, offset, ok := bytes.Cut(id, []byte("."))
	var err, offsetErr error
	frame.Attempt, err = strconv.Atoi(string(attempt))
	frame.Offset, offsetErr = strconv.Atoi(string(offset))
	if !ok || err != nil || offsetErr != nil || frame.Offset < 0 {
		return fmt.Errorf("engine: bad event id %q", id)
	}
	return nil
}

// decodeChunk sets the fields of a frame from a chunk. It reads only the members that are
// needed, as it is in the hottest path of an entry.
func decodeChunk(data []byte, frame *Frame) error {
	choice := gjson.GetBytes(data, "choices.0")
	frame.Text = choice.Get("delta.content").String()
	frame.FinishReason = choice.Get("finish_reason").String()
	if frame.Text != "" {
		return nil
	}
	if !gjson.ValidBytes(data) {
		return errBadChunk
	}
	if usage := gjson.GetBytes(data, "usage"); usage.Exists() {
		frame.Usage = Usage{
			PromptTokens: int(usage.Get("prompt_tokens").Int()), CompletionTokens: int(usage.Get("completion_tokens").Int()),
			CachedTokens: int(usage.Get("prompt_tokens_details.cached_tokens").Int()),
		}
	}
	return nil
}

// errBadChunk is returned if the data of an event is not a valid chunk.
var errBadChunk = errors.New("engine: bad chunk")

// ReadFrames reads all frames of a stream. It is used by tests only.
func ReadFrames(body io.ReadCloser) ([]Frame, error) {
	reader := newEventReader(body, "", endpoint.Notice{})
	var frames []Frame
	for {
		frame, err := reader.Next()
		if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
			return frames, nil
		}
		if err != nil {
			return frames, err
		}
		frames = append(frames, frame)
	}
}
