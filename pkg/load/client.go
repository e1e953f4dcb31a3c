// Package load is a client of an ironhollow fleet for demonstrations, load runs
// and tests. It asks the fleet for its list of entry hosts, caches the list for
// the time the response states, and resumes broken streams at another entry.
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
	"ironhollow/pkg/code"
)

// Client calls the fleet with the API key of one team.
type Client struct {
	key   string
	http  *http.Client
	seeds []string

	mu        sync.Mutex
	entries   []string
	expiresAt time.Time
	nextIndex int
}

// NewClient returns a client that gets its first list of entries from the seeds.
func NewClient(key string, seeds []string, httpClient *http.Client) *Client {
	return &Client{key: key, http: httpClient, seeds: seeds}
}

// entriesResponse is the response body of /v1/entries.
type entriesResponse struct {
	Entries []struct {
		Address string `json:"address"`
	} `json:"entries"`
	KeepSeconds int `json:"keep_seconds"`
}

// errNoEntry means that no known entry returned a list of entries.
var errNoEntry = errors.New("load: no entry host answers")

// Entries returns the entries to use and fetches the list again once the cached one has expired.
func (c *Client) Entries(ctx context.Context) ([]string, error) {
	c.mu.Lock()
	if time.Now().Before(c.expiresAt) && len(c.entries) > 0 {
		cached := c.entries
		c.mu.Unlock()
		return cached, nil
	}
	candidates := append(append([]string(nil), c.entries...), c.seeds...)
	c.mu.Unlock()
	for _, address := range candidates {
		var answer entriesResponse
		if c.getJSON(ctx, address, "/v1/entries", &answer) != nil || len(answer.Entries) == 0 {
			continue
		}
		entries := make([]string, len(answer.Entries))
		for i, e := range answer.Entries {
			entries[i] = e.Address
		}
		c.mu.Lock()
		c.entries = entries
		c.expiresAt = time.Now().Add(time.Duration(answer.KeepSeconds) * time.Second)
		c.mu.Unlock()
		return entries, nil
	}
	return nil, errNoEntry
}

// InvalidateEntries makes the next request fetch the list of entries again, after an entry failed.
func (c *Client) InvalidateEntries() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.expiresAt = time.Time{}
}

// NextEntry returns the entry for the next request. It rotates over the first
// maxEntriesInUse of the list, as a caller with several connections does.
func (c *Client) NextEntry(ctx context.Context) (string, error) {
	entries, err := c.Entries(ctx)
	if err != nil {
		return "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.nextIndex++
	return entries[c.nextIndex%min(len(entries), maxEntriesInUse)], nil
}

// maxEntriesInUse is the number of entries of the list that a client uses at a time.
const maxEntriesInUse = 3

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

// APIError is an error response of the system, identified by its number.
type APIError struct {
	Status     int
	Number     int
	Outcome    string
	Message    string
	RetryAfter string
}

// Error returns the number, the outcome and the message.
func (r *APIError) Error() string {
	return fmt.Sprintf("%d (%s): %s", r.Number, r.Outcome, r.Message)
}

// errorResponse is the body of an error response.
type errorResponse struct {
	Error struct {
		Message string `json:"message"`
		Number  int    `json:"number"`
		Outcome string `json:"outcome"`
	} `json:"error"`
}

func responseError(response *http.Response) error {
	data, err := io.ReadAll(io.LimitReader(response.Body, 1<<20))
	if err != nil {
		return err
	}
	var decoded errorResponse
	if json.Unmarshal(data, &decoded) != nil || decoded.Error.Number == 0 {
		return fmt.Errorf("load: %s: %s", response.Status, bytes.TrimSpace(data))
	}
	e := decoded.Error
	return &APIError{response.StatusCode, e.Number, e.Outcome, e.Message, response.Header.Get("Retry-After")}
}

// Prompt is a request for a chat completion.
type Prompt struct {
	Service   string
	Text      string
	MaxTokens int
}

// body encodes the prompt as a chat completion request.
func (p Prompt) body(stream bool) []byte {
	encoded, _ := json.Marshal(struct {
		Model     string          `json:"model"`
		Messages  json.RawMessage `json:"messages"`
		MaxTokens int             `json:"max_tokens"`
		Stream    bool            `json:"stream"`
	}{p.Service, p.Messages(), p.MaxTokens, stream})
	return encoded
}

// Messages returns the prompt's messages byte for byte as they are sent.
func (p Prompt) Messages() json.RawMessage {
	encoded, _ := json.Marshal([]struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	}{{"user", p.Text}})
	return encoded
}

// Answer is a streamed answer, joined over all its connections.
type Answer struct {
	Text             string
	Tokens           int
	TimeToFirstToken time.Duration
	TotalTime        time.Duration
	// InterTokenLatencies are the times between consecutive tokens.
	InterTokenLatencies []time.Duration
	// Attempts counts the attempts that the answer took: the first one, and one
	// for each time that the stream was resumed.
	Attempts  int
	RequestID string
}

// maxAttempts bounds the attempts of a request, the first one included.
const maxAttempts = 10

// Stream requests a streamed answer. If the stream breaks, it is resumed at
// another entry after the last event received.
func (c *Client) Stream(ctx context.Context, p Prompt) (Answer, error) {
	s := streamReader{client: c, prompt: p, start: time.Now()}
	var err error
	for s.answer.Attempts < maxAttempts {
		err = s.attempt(ctx)
		s.answer.Attempts++
		var apiErr *APIError
		if err == nil || errors.As(err, &apiErr) || ctx.Err() != nil {
			break
		}
		c.InvalidateEntries()
		time.Sleep(retryDelay)
	}
	s.answer.TotalTime = time.Since(s.start)
	s.answer.Text = s.text.String()
	return s.answer, err
}

const retryDelay = 50 * time.Millisecond

type streamReader struct {
	client      *Client
	prompt      Prompt
	start       time.Time
	lastTokenAt time.Time
	lastEventID string
	text        strings.Builder
	answer      Answer
}

// errStreamBroken means that a stream ended without its [DONE] event.
var errStreamBroken = errors.New("load: stream broke off")

func (s *streamReader) attempt(ctx context.Context) error {
	address, err := s.client.NextEntry(ctx)
	if err != nil {
		return err
	}
	header := http.Header{}
	if s.lastEventID != "" {
		header.Set("Last-Event-ID", s.lastEventID)
	}
	response, err := s.client.request(ctx, http.MethodPost, address, "/v1/chat/completions", s.prompt.body(true), header)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return responseError(response)
	}
	s.answer.RequestID = response.Header.Get("Ironhollow-Request")
	return s.readEvents(response.Body)
}

// chunk holds the fields of a stream event that the client uses.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	errorResponse
}

func (s *streamReader) readEvents(body io.Reader) error {
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
			s.appendToken(c.Choices[0].Delta.Content)
			s.lastEventID = event.LastEventID
		}
	}
	return errStreamBroken
}

func (s *streamReader) appendToken(text string) {
	now := time.Now()
	if s.answer.Tokens == 0 {
		s.answer.TimeToFirstToken = now.Sub(s.start)
	} else {
		s.answer.InterTokenLatencies = append(s.answer.InterTokenLatencies, now.Sub(s.lastTokenAt))
	}
	s.lastTokenAt = now
	s.answer.Tokens++
	s.text.WriteString(text)
}

// Job is the state of a job as the API returns it.
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

// PostJob submits a job to an entry; key is its idempotency key, empty for none.
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
		return Job{}, responseError(response)
	}
	var j Job
	return j, json.NewDecoder(response.Body).Decode(&j)
}

// GetJob returns the state of a job; the entry holds the request for up to wait until the job ends.
func (c *Client) GetJob(ctx context.Context, address, id string, wait time.Duration) (Job, error) {
	response, err := c.request(ctx, http.MethodGet, address, "/v1/jobs/"+id+"?wait="+wait.String(), nil, nil)
	if err != nil {
		return Job{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return Job{}, responseError(response)
	}
	var j Job
	return j, json.NewDecoder(response.Body).Decode(&j)
}

// CallResponse is the response of a plain service.
type CallResponse struct {
	Body     []byte
	Status   int
	Replayed bool
}

// Call calls a plain service through an entry; key is the idempotency key, empty for none.
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
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 {
		// The response ends with its connection, so that its end does not show that it is whole.
		data, err := io.ReadAll(response.Body)
		if err != nil {
			return CallResponse{}, err
		}
		message := fmt.Sprintf("the end of the answer of %d bytes is not marked", len(data))
		return CallResponse{}, &APIError{Status: response.StatusCode, Outcome: string(code.Unknown), Message: message}
	}
	if response.Header.Get("Ironhollow-Outcome") != string(code.Done) {
		return CallResponse{}, responseError(response)
	}
	data, err := io.ReadAll(response.Body)
	return CallResponse{data, response.StatusCode, response.Header.Get("Idempotent-Replayed") == "true"}, err
}

// SeedOf returns the seed that the system derives for a request that sets none.
func SeedOf(request string) int64 { return chat.SeedOf(request) }
