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

// Cursor is a position in a streamed answer, up to which the caller has received it. With it
// any entry can continue the answer, and can check that it continues the same text.
type Cursor struct {
	RequestID string
	// Offset is the number of tokens that the caller has received.
	Offset int
	// EndpointID is the endpoint that ran the stream last.
	EndpointID string
	// Sum is a hash of the text of the received tokens.
	Sum uint64
}

// String returns the cursor as the ID of a server-sent event.
func (c Cursor) String() string {
	return string(c.Append(nil))
}

// Append appends the form that String returns to b.
func (c Cursor) Append(b []byte) []byte {
	b = append(b, c.RequestID...)
	b = append(b, ':')
	b = strconv.AppendInt(b, int64(c.Offset), 10)
	b = append(b, ':')
	b = append(b, c.EndpointID...)
	b = append(b, ':')
	return strconv.AppendUint(b, c.Sum, 16)
}

// errBadCursor is returned if a text is not a valid cursor.
var errBadCursor = errors.New("is no event id of a stream")

// ParseCursor parses the form that Cursor.String returns.
func ParseCursor(text string) (Cursor, error) {
	parts := strings.Split(text, ":")
	if len(parts) != 4 || len(parts[0]) != RequestIDLength || strings.Trim(parts[0], "0123456789abcdef") != "" {
		return Cursor{}, errBadCursor
	}
	offset, err := strconv.Atoi(parts[1])
	if err != nil || offset < 0 {
		return Cursor{}, errBadCursor
	}
	sum, err := strconv.ParseUint(parts[3], 16, 64)
	if err != nil {
		return Cursor{}, errBadCursor
	}
	return Cursor{parts[0], offset, parts[2], sum}, nil
}

// RequestIDLength is the length of a request ID.
const RequestIDLength = 32

// ErrMismatch is returned if the regenerated tokens differ from those that the caller has
// received.
var ErrMismatch = errors.New("chat: the pieces do not join")

// ReplayFilter drops the tokens that a caller has already received, and checks that their text
// is the same.
type ReplayFilter struct {
	cursor Cursor
	digest *xxhash.Digest
}

// NewReplayFilter returns a filter for a caller that has received the answer up to the cursor.
// It drops nothing if the cursor's offset is 0.
func NewReplayFilter(cursor Cursor) *ReplayFilter {
	return &ReplayFilter{cursor: cursor, digest: xxhash.New()}
}

// Next processes the next token of the regenerated answer. It returns whether the token is new
// to the caller, and the cursor after it.
func (f *ReplayFilter) Next(t stream.Token) (isNew bool, cursor Cursor, err error) {
	_, _ = f.digest.WriteString(t.Text)
	after := Cursor{f.cursor.RequestID, t.Offset + 1, t.EndpointID, f.digest.Sum64()}
	if after.Offset < f.cursor.Offset {
		return false, after, nil
	}
	if after.Offset == f.cursor.Offset {
		if after.Sum != f.cursor.Sum {
			return false, after, ErrMismatch
		}
		return false, after, nil
	}
	return true, after, nil
}

// Collector is a stream.Sink that stores a complete answer. It is safe for concurrent use.
type Collector struct {
	mu      sync.Mutex
	tokens  []string
	version string
}

// NewCollector returns a collector for an answer of which some tokens are received already.
func NewCollector(version string, received []string) *Collector {
	return &Collector{tokens: append([]string(nil), received...), version: version}
}

// Token appends a token. It returns an error for a token that is out of order, which a
// stream.Runner never sends.
func (c *Collector) Token(t stream.Token) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t.Offset != len(c.tokens) {
		return fmt.Errorf("chat: token %d after %d", t.Offset, len(c.tokens))
	}
	c.tokens = append(c.tokens, t.Text)
	return nil
}

// Flush does nothing, as the tokens are not buffered.
func (c *Collector) Flush() error { return nil }

// Text returns the answer so far.
func (c *Collector) Text() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return strings.Join(c.tokens, "")
}

// Tokens returns the tokens so far and the model version that generated them.
func (c *Collector) Tokens() (string, []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.version, append([]string(nil), c.tokens...)
}
