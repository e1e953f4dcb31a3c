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

// eventReader reads an engine's server-sent events. Only what engines send is
// read: an id and one line of data. It stands here in place of a library's
// reader because it is the hottest path of an entry, and because it can tell
// whether another event is there already, so that several are passed on by one
// write (docs/measurements/hop.md).
type eventReader struct {
	body   io.ReadCloser
	reader *bufio.Reader
	load   string
	notice endpoint.Notice
}

// eventBuffer is the reader's buffer; maxEvent bounds one line.
const (
	eventBuffer = 16 << 10
	maxEvent    = 1 << 20
)

func newEventReader(body io.ReadCloser, load string, notice endpoint.Notice) *eventReader {
	return &eventReader{body: body, reader: bufio.NewReaderSize(body, eventBuffer), load: load, notice: notice}
}

// Notice returns what the answer's headers say of the engine.
func (r *eventReader) Notice() endpoint.Notice { return r.notice }

// Report reads the report that came with the answer's headers.
func (r *eventReader) Report() (Report, bool) { return parseReport(r.load) }

// parseReport reads a report from an answer's header.
func parseReport(header string) (Report, bool) {
	var w WireReport
	if header == "" || json.Unmarshal([]byte(header), &w) != nil {
		return Report{}, false
	}
	return w.Report(), true
}

// Close lets go of the stream.
func (r *eventReader) Close() { _ = r.body.Close() }

// Buffered reports whether Next will not wait for the engine.
func (r *eventReader) Buffered() bool {
	ahead, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(ahead, []byte("\n\n"))
}

// doneMark ends a stream in the usual protocol.
const doneMark = "[DONE]"

// errLong says that an event is longer than any engine sends.
var errLong = errors.New("engine: event is too long")

// Next returns the next frame. A stream that ends before its mark is broken.
func (r *eventReader) Next() (Frame, error) {
	var frame Frame
	hasID := false
	for {
		line, err := r.line()
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
			if string(data) == doneMark {
				return Frame{}, io.EOF
			}
			if !hasID {
				return Frame{}, fmt.Errorf("engine: event without id")
			}
			return frame, decodeChunk(data, &frame)
		}
	}
}

// line returns the next line without its end; it is valid until the next call.
func (r *eventReader) line() ([]byte, error) {
	line, err := r.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		line, err = r.longLine(line)
	}
	if errors.Is(err, io.EOF) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return bytes.TrimRight(line, "\r\n"), nil
}

func (r *eventReader) longLine(begin []byte) ([]byte, error) {
	line := bytes.Clone(begin)
	for len(line) < maxEvent {
		more, err := r.reader.ReadSlice('\n')
		line = append(line, more...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, err
		}
	}
	return nil, errLong
}

// parseID reads attempt.offset.
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

// decodeChunk reads what a frame needs of a chunk, and no more: this is the
// hottest line of an entry.
func decodeChunk(data []byte, frame *Frame) error {
	choice := gjson.GetBytes(data, "choices.0")
	frame.Text = choice.Get("delta.content").String()
	frame.FinishReason = choice.Get("finish_reason").String()
	if frame.Text != "" {
		return nil
	}
	if !gjson.ValidBytes(data) {
		return errChunk
	}
	if usage := gjson.GetBytes(data, "usage"); usage.Exists() {
		frame.Usage = Usage{
			PromptTokens: int(usage.Get("prompt_tokens").Int()), CompletionTokens: int(usage.Get("completion_tokens").Int()),
			CachedTokens: int(usage.Get("prompt_tokens_details.cached_tokens").Int()),
		}
	}
	return nil
}

// errChunk says that an event's data is no chunk.
var errChunk = errors.New("engine: bad chunk")

// ReadFrames reads all frames of a stream, for tests and fuzzing.
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
