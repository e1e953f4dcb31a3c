// Package load calls an ironhollow fleet as its callers do, for demonstrations,
// load runs and tests: it asks which entry hosts to use, keeps the answer for
// the time it is told, and takes up broken streams elsewhere.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tmaxmax/go-sse"

	"ironhollow/pkg/chat"
)

// Client is one caller with one team's key.
type Client struct {
	key   string
	http  *http.Client
	seeds []string

	mu      sync.Mutex
	entries []string
	until   time.Time
	turn    int
}

// NewClient returns a caller that first asks the seeds which entries to use.
func NewClient(key string, seeds []string, client *http.Client) *Client {
	return &Client{key: key, http: client, seeds: seeds}
}

// entriesAnswer is /v1/entries' answer.
type entriesAnswer struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepSeconds int `json:"keep_seconds"`
}

// errNoEntry says that no entry host could be reached.
var errNoEntry = errors.New("load: no entry host answers")

// Entries returns the entries to use, asking anew once the answer is too old.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	if time.Now().Before(c.until) && len(c.entries) > 0 {
		held := c.entries
		c.mu.Unlock()
		return held, nil
	}
	known := append(append([]string(nil), c.entries...), c.seeds...)
	c.mu.Unlock()
	for _, address := range known {
		var answer entriesAnswer
		if c.getJSON(ctx, address, "/v1/entries", &answer) != nil || len(answer.Entries) == 0 {
			continue
		}
		entries := make([]string, len(answer.Entries))
		for i, e := range answer.Entries {
			entries[i] = e.Address
		}
		c.mu.Lock()
		c.entries = entries
		c.until = time.Now().Add(time.Duration(answer.KeepSeconds) * time.Second)
		c.mu.Unlock()
		return entries, nil
	}
	return nil, errNoEntry
}

// InvalidateEntries drops the kept answer after an entry failed.
func (c *Client) InvalidateEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.until = time.Time{}
}

// NextEntry returns the next entry to use: the answer's first ones in turn, as a
// caller with several connections spreads them.
func (c *Client) NextEntry(ctx context.Context) (string, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.turn++
	return entries[c.turn%min(len(entries), spread)], nil
}

// spread is how many of the entries named a caller uses at a time.
const spread = 3

func (c *Client) request(ctx context.Context, method, address, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	return c.http.Do(request)
}

func (c *Client) getJSON(ctx context.Context, address, path string, out any) error {
	response, err := c.request(ctx, http.MethodGet, address, path, nil, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("load: %s: %s", path, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(out)
}

// APIError is a numbered error of the system.
type APIError struct {
	Status  int
	Number  int
	Outcome string
	Message string
	RetryAfter   string
}

// Error gives number and message.
func (r *APIError) Error() string {
	return fmt.Sprintf("%d (%s): %s", r.Number, r.Outcome, r.Message)
}

// errorAnswer is the system's error body.
type errorAnswer struct {
	Error struct {
		Message string `json:"message"`
		Number  int    `json:"number"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func refusedOf(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return err
	}
	var answer errorAnswer
	if json.Unmarshal(data, &answer) != nil || answer.Error.Number == 0 {
		return fmt.Errorf("load: %s: %s", response.Status, bytes.TrimSpace(data))
	}
	e := answer.Error
	return &APIError{response.StatusCode, e.Number, e.Outcome, e.Message, response.Header.Get("Retry-After")}
}

// Prompt is a model call.
type Prompt struct {
	Service   string
	Text      string
	MaxTokens int
}

// body gives the prompt in the usual form.
func (p Prompt) body(stream bool) []byte {
	encoded, _ := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
	}{p.Service, p.Messages(), p.MaxTokens, stream})
	return encoded
}

// Messages gives the prompt's messages as they are sent, byte for byte.
func (p Prompt) Messages() json.RawMessage {
	encoded, _ := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", p.Text}})
	return encoded
}

// Answer is a whole streamed answer.
type Answer struct {
	Text       string
	Tokens     int
	TimeToFirstToken time.Duration
	TotalTime      time.Duration
	// InterTokenLatencies are the times between tokens.
	InterTokenLatencies []time.Duration
	// Attempts counts the connections it took.
	Attempts  int
	RequestID string
}

// mostPieces bounds how often a broken stream is taken up.
const mostPieces = 10

// Stream asks for an answer as a stream. A stream that breaks is taken up at
// another entry from where it broke.
func (c *Client) Stream(ctx context.Context, p Prompt) (Answer, error) {
	s := streaming{client: c, prompt: p, begun: time.Now()}
	var err error
	for s.answer.Attempts < mostPieces {
		err = s.piece(ctx)
		s.answer.Attempts++
		var refused *APIError
		if err == nil || errors.As(err, &refused) || ctx.Err() != nil {
			break
		}
		c.InvalidateEntries()
		time.Sleep(piecePause)
	}
	s.answer.TotalTime = time.Since(s.begun)
	s.answer.Text = s.text.String()
	return s.answer, err
}

const piecePause = 50 * time.Millisecond

type streaming struct {
	client *Client
	prompt Prompt
	begun  time.Time
	last   time.Time
	mark   string
	text   strings.Builder
	answer Answer
}

// errBroken says that a stream ended without its last mark.
var errBroken = errors.New("load: stream broke off")

func (s *streaming) piece(ctx context.Context) error {
	address, err := s.client.NextEntry(ctx)
	if err != nil {
		return err
	}
	header := http.Header{}
	if s.mark != "" {
		header.Set("Last-Event-ID", s.mark)
	}
	response, err := s.client.request(ctx, http.MethodPost, address, "/v1/chat/completions", s.prompt.body(true), header)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return refusedOf(response)
	}
	s.answer.RequestID = response.Header.Get("Ironhollow-Request")
	return s.read(response.Body)
}

// chunk is the part of an event that is read.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorAnswer
}

func (s *streaming) read(body io.Reader) error {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return err
		}
		if event.Data == "[DONE]" {
			return nil
		}
		var c chunk
		if err := json.Unmarshal([]byte(event.Data), &c); err != nil {
			return err
		}
		if c.Error.Number != 0 {
			return &APIError{Status: http.StatusOK, Number: c.Error.Number, Outcome: c.Error.Outcome, Message: c.Error.Message}
		}
		if len(c.Choices) > 0 && c.Choices[0].Delta.Content != "" {
			s.take(c.Choices[0].Delta.Content)
			s.mark = event.LastEventID
		}
	}
	return errBroken
}

func (s *streaming) take(text string) {
	now := time.Now()
	if s.answer.Tokens == 0 {
		s.answer.TimeToFirstToken = now.Sub(s.begun)
	} else {
		s.answer.InterTokenLatencies = append(s.answer.InterTokenLatencies, now.Sub(s.last))
	}
	s.last = now
	s.answer.Tokens++
	s.text.WriteString(text)
}

// Job is a job as its caller sees it.
type Job struct {
	ID     string `json:"id"`
	Status string `json:"status"`
	Runs   int    `json:"runs"`
	Result *struct {
		Text string `json:"text"`
	} `json:"result"`
	Error *struct {
		Message string `json:"message"`
		Number  int    `json:"number"`
	} `json:"error"`
}

// PostJob asks an entry to accept a job.
func (c *Client) PostJob(ctx context.Context, address, key string, p Prompt) (Job, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.request(ctx, http.MethodPost, address, "/v1/jobs", p.body(false), header)
	if err != nil {
		return Job{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusAccepted && response.StatusCode != http.StatusOK {
		return Job{}, refusedOf(response)
	}
	var j Job
	return j, json.NewDecoder(response.Body).Decode(&j)
}

// GetJob asks an entry for a job, waiting there for its end for a while.
func (c *Client) GetJob(ctx context.Context, address, id string, wait time.Duration) (Job, error) {
	response, err := c.request(ctx, http.MethodGet, address, "/v1/jobs/"+id+"?wait="+wait.String(), nil, nil)
	if err != nil {
		return Job{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Job{}, refusedOf(response)
	}
	var j Job
	return j, json.NewDecoder(response.Body).Decode(&j)
}

// CallResponse is a plain service's answer.
type CallResponse struct {
	Body     []byte
	Status   int
	Replayed bool
}

// Call calls a plain service through an entry.
func (c *Client) Call(ctx context.Context, address, method, service, path, key string, body []byte) (CallResponse, error) {
	header := http.Header{}
	if key != "" {
		header.Set("Idempotency-Key", key)
	}
	response, err := c.request(ctx, method, address, "/v1/services/"+service+path, body, header)
	if err != nil {
		return CallResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.Header.Get("Ironhollow-Outcome") != "done" {
		return CallResponse{}, refusedOf(response)
	}
	data, err := io.ReadAll(response.Body)
	return CallResponse{data, response.StatusCode, response.Header.Get("Idempotent-Replayed") == "true"}, err
}

// SeedOf returns the seed the system gives a request without one of its own.
func SeedOf(request string) int64 { return chat.SeedOf(request) }
