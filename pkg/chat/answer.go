package chat

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"ironhollow/pkg/stream"
)

// Cursor is where a caller stands in a streamed answer: enough for any entry to
// go on from there, and to tell whether the pieces would join.
type Cursor struct {
	RequestID string
	// Offset is how many tokens the caller has.
	Offset int
	// EndpointID ran the stream last.
	EndpointID string
	// Sum is a hash of the text of those tokens.
	Sum uint64
}

// String gives the mark as an event's id.
func (m Cursor) String() string {
	return string(m.Append(nil))
}

// Append appends the mark to b.
func (m Cursor) Append(b []byte) []byte {
	b = append(b, m.RequestID...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(m.Offset), 10)
	b = append(b, ':')
	b = append(b, m.EndpointID...)
	b = append(b, ':')
	return strconv.AppendUint(b, m.Sum, 16)
}

// errMark says that a text is no mark.
var errMark = errors.New("is no event id of a stream")

// ParseCursor reads an event's id.
func ParseCursor(text string) (Cursor, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 || len(parts[0]) != RequestIDLength || strings.Trim(parts[0], "0123456789abcdef") != "" {
		return Cursor{}, errMark
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return Cursor{}, errMark
	}
	sum, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return Cursor{}, errMark
	}
	return Cursor{parts[0], offset, parts[2], sum}, nil
}

// RequestIDLength is the length of a request's id.
const RequestIDLength = 32

// ErrMismatch says that the tokens made anew differ from those the caller has.
var ErrMismatch = errors.New("chat: the pieces do not join")

// ReplayFilter drops the tokens a caller has already and checks that what follows
// joins on to them.
type ReplayFilter struct {
	mark   Cursor
	digest *xxhash.Digest
}

// NewReplayFilter returns a joiner for a caller that stands at mark; one with offset
// 0 drops nothing.
func NewReplayFilter(mark Cursor) *ReplayFilter {
	return &ReplayFilter{mark: mark, digest: xxhash.New()}
}

// Next takes a token and returns whether it is new to the caller, and the mark
// after it.
func (j *ReplayFilter) Next(t stream.Token) (isNew bool, mark Cursor, err error) {
	_, _ = j.digest.WriteString(t.Text)
	after := Cursor{j.mark.RequestID, t.Offset + 1, t.EndpointID, j.digest.Sum64()}
	if after.Offset < j.mark.Offset {
		return false, after, nil
	}
	if after.Offset == j.mark.Offset {
		if after.Sum != j.mark.Sum {
			return false, after, ErrMismatch
		}
		return false, after, nil
	}
	return true, after, nil
}

// Collector keeps a whole answer.
type Collector struct {
	mu      sync.Mutex
	tokens  []string
	version string
}

// NewCollector returns a collector that starts with tokens had before.
func NewCollector(version string, received []string) *Collector {
	return &Collector{tokens: append([]string(nil), received...), version: version}
}

// Token takes a token; it returns an error for one out of order, which the
// runner never sends.
func (c *Collector) Token(t stream.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Offset != len(c.tokens) {
		return fmt.Errorf("chat: token %d after %d", t.Offset, len(c.tokens))
	}
	c.tokens = append(c.tokens, t.Text)
	return nil
}

// Flush has nothing to do: the answer is kept here.
func (c *Collector) Flush() error { return nil }

// Text returns the answer so far.
func (c *Collector) Text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.tokens, "")
}

// Tokens returns the tokens so far and the version they are of.
func (c *Collector) Tokens() (string, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, append([]string(nil), c.tokens...)
}
