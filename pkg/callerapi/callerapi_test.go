package callerapi_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/phuslu/log"

	"ironhollow/pkg/code"
	"ironhollow/pkg/load"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/standin/services"
	"ironhollow/pkg/standin/tables"
)

func expectedText(p load.Prompt, request string) string {
	return strings.Join(engines.Completion(engines.ModelRef{Model: "m", Version: "1"}, string(p.Messages()), load.SeedOf(request), p.MaxTokens), "")
}

// TestOfficialClientLibrary calls the API with the official OpenAI client library.
func TestOfficialClientLibrary(t *testing.T) {
	e := newSite(t).newEntry(t, "n1")
	client := openai.NewClient(option.WithBaseURL(e.server.URL+"/v1/"), option.WithAPIKey("secret"), option.WithMaxRetries(0))
	ctx := context.Background()
	models, err := client.Models.List(ctx)
	if err != nil || len(models.Data) != 1 || models.Data[0].ID != "talk" {
		t.Fatalf("models: got %+v, %v; want talk", models, err)
	}
	params := openai.ChatCompletionNewParams{
		Model: "talk", MaxTokens: openai.Int(40), Seed: openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	completion, err := client.Chat.Completions.New(ctx, params)
	if err != nil {
		t.Fatal(err)
	}
	stream := client.Chat.Completions.NewStreaming(ctx, params)
	text, finish := "", ""
	for stream.Next() {
		for _, choice := range stream.Current().Choices {
			text += choice.Delta.Content
			finish += choice.FinishReason
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if text != completion.Choices[0].Message.Content || text == "" || finish != "length" {
		t.Errorf("got %q (%s) streamed and %q not streamed, want the same", text, finish, completion.Choices[0].Message.Content)
	}
	if completion.Usage.CompletionTokens != 40 {
		t.Errorf("usage: got %d tokens, want 40", completion.Usage.CompletionTokens)
	}
	params.Model = "nothing"
	_, err = client.Chat.Completions.New(ctx, params)
	var apiErr *openai.Error
	if !errors.As(err, &apiErr) || apiErr.StatusCode != http.StatusNotFound || apiErr.Code != "unknown-service" {
		t.Errorf("unknown service: got %v, want 404 unknown-service", err)
	}
}

// TestRefusalsHaveCodes checks the code and the status for each kind of invalid request.
func TestRefusalsHaveCodes(t *testing.T) {
	e := newSite(t, services.Options{}).newEntry(t, "n1")
	chat := `{"model":"talk","messages":[{"role":"user"}]}`
	cases := []struct {
		name, method, path, key, body string
		want                          code.Code
	}{
		{"unknown key", "POST", "/v1/chat/completions", "wrong", chat, code.UnknownKey},
		{"unknown path", "GET", "/v2", "secret", "", code.UnknownPath},
		{"body too long", "POST", "/v1/chat/completions", "secret", `{"model":"` + strings.Repeat("x", 5000) + `"}`, code.BodyTooLong},
		{"body that is not JSON", "POST", "/v1/chat/completions", "secret", "{", code.BadBody},
		{"plain service called as a model", "POST", "/v1/chat/completions", "secret", strings.Replace(chat, "talk", "ledger", 1), code.WrongKind},
		{"model called as a plain service", "GET", "/v1/services/talk/x", "secret", "", code.WrongKind},
		{"service that the team may not call", "GET", "/v1/services/ledger/x", "slow", "", code.UnknownService},
		{"unknown job", "GET", "/v1/jobs/abc", "secret", "", code.UnknownJob},
		{"invalid wait", "GET", "/v1/jobs/abc?wait=long", "secret", "", code.BadHeader},
	}
	for _, c := range cases {
		request, _ := http.NewRequest(c.method, e.server.URL+c.path, strings.NewReader(c.body))
		request.Header.Set("Authorization", "Bearer "+c.key)
		response := e.do(t, request)
		if got := response.Header.Get("Ironhollow-Code"); got != strconv.Itoa(c.want.Number()) || response.StatusCode != c.want.Status() {
			t.Errorf("%s: got code %s with status %d, want %d with %d", c.name, got, response.StatusCode, c.want.Number(), c.want.Status())
		}
	}
}

func TestTeamOverRateGetsRetryAfter(t *testing.T) {
	e := newSite(t).newEntry(t, "n1")
	var last *http.Response
	for range 2 {
		request, _ := http.NewRequest("POST", e.server.URL+"/v1/chat/completions", strings.NewReader(`{"model":"talk","max_tokens":1,"messages":[{"role":"user"}]}`))
		request.Header.Set("Authorization", "Bearer slow")
		last = e.do(t, request)
	}
	if got := last.Header.Get("Retry-After"); last.StatusCode != http.StatusTooManyRequests || got != "100" {
		t.Errorf("got status %d, Retry-After %q; want 429 and 100", last.StatusCode, got)
	}
}

// TestBrokenStreamGoesOnAtAnotherEntry guards against gaps and repeats in a stream that a
// caller resumes at another entry by the last event's ID, after its entry was lost: while the
// engine still runs the stream, and after that engine was lost too.
func TestBrokenStreamGoesOnAtAnotherEntry(t *testing.T) {
	for _, engineDies := range []bool{false, true} {
		site := newSite(t)
		first, second := site.newEntry(t, "n1"), site.newEntry(t, "n2")
		prompt := load.Prompt{Service: "talk", Text: "hello", MaxTokens: 300}
		body, _ := json.Marshal(map[string]any{"model": "talk", "messages": prompt.Messages(), "max_tokens": 300, "stream": true})
		request, _ := http.NewRequest("POST", first.server.URL+"/v1/chat/completions", bytes.NewReader(body))
		response := first.do(t, request)
		id := response.Header.Get("Ironhollow-Request")
		events := make([]byte, 4000)
		if _, err := io.ReadFull(response.Body, events); err != nil {
			t.Fatal(err)
		}
		text, lastEventID := readEvents(string(events))
		first.server.CloseClientConnections()
		if engineDies {
			site.memoryEngines.Kill("e0")
			site.memoryEngines.Kill("e1")
			replacement := newSite(t)
			second = replacement.newEntry(t, "n2")
		}
		request, _ = http.NewRequest("POST", second.server.URL+"/v1/chat/completions", bytes.NewReader(body))
		request.Header.Set("Last-Event-ID", lastEventID)
		rest, err := io.ReadAll(second.do(t, request).Body)
		if err != nil {
			t.Fatal(err)
		}
		more, _ := readEvents(string(rest))
		if text == "" || more == "" || text+more != expectedText(prompt, id) {
			t.Errorf("engine dies %v: got %d + %d characters, want all %d in total", engineDies, len(text), len(more), len(expectedText(prompt, id)))
		}
		if !strings.HasSuffix(string(rest), "data: [DONE]\n\n") {
			t.Error("the resumed stream does not end with [DONE]")
		}
	}
}

// readEvents returns the text of the complete events and the ID of the last one.
func readEvents(events string) (text, lastEventID string) {
	parts := strings.Split(events, "\n\n")
	for _, event := range parts[:len(parts)-1] {
		id, data, ok := strings.Cut(event, "\n")
		if !ok {
			continue
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(strings.TrimPrefix(data, "data: ")), &chunk) == nil && len(chunk.Choices) > 0 {
			text += chunk.Choices[0].Delta.Content
			lastEventID = strings.TrimPrefix(id, "id: ")
		}
	}
	return text, lastEventID
}

// TestPlainCallEndsAreToldApart checks the reported outcome and the number of runs of a call
// that must not be repeated, with and without a key, for each way in which it can end.
func TestPlainCallEndsAreToldApart(t *testing.T) {
	cases := []struct {
		name    string
		options []services.Options
		down    bool
		key     string
		want    string
		runs    int
	}{
		{"done", []services.Options{{}}, false, "k", "done", 1},
		{"done without a key", []services.Options{{}}, false, "", "done", 1},
		{"response cut off after the run", []services.Options{{CutAfterRun: true}}, false, "k", "unknown", 1},
		{"response cut off after the run, without a key", []services.Options{{CutAfterRun: true}}, false, "", "unknown", 1},
		{"no endpoint", nil, false, "k", "not-run", 0},
		{"store down", []services.Options{{}}, true, "k", "not-run", 0},
	}
	for _, c := range cases {
		site := newSite(t, c.options...)
		if c.down {
			site.rows.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
		}
		first, second := site.newEntry(t, "n1"), site.newEntry(t, "n2")
		for i, e := range []*entry{first, second} {
			if i == 1 && c.key == "" {
				continue
			}
			request, _ := http.NewRequest("POST", e.server.URL+"/v1/services/ledger/confirmations", strings.NewReader("x"))
			if c.key != "" {
				request.Header.Set("Idempotency-Key", c.key)
			}
			response := e.do(t, request)
			if got := response.Header.Get("Ironhollow-Outcome"); got != c.want {
				t.Errorf("%s, request %d: got %q (status %d), want %q", c.name, i+1, got, response.StatusCode, c.want)
			}
		}
		if got := site.ledger.Runs(c.key); got != c.runs {
			t.Errorf("%s: got %d runs, want %d", c.name, got, c.runs)
		}
	}
}

// TestRepeatableCallIsRetriedAtAnotherEndpoint checks that a repeatable call succeeds, with its
// path and body unchanged, although one of two endpoints cuts off its responses.
func TestRepeatableCallIsRetriedAtAnotherEndpoint(t *testing.T) {
	site := newSite(t, services.Options{CutAfterRun: true}, services.Options{})
	e := site.newEntry(t, "n1")
	for range 4 {
		request, _ := http.NewRequest("POST", e.server.URL+"/v1/services/ledger/notes?x=1", strings.NewReader("body"))
		request.Header.Set("Connection", "X-Private")
		request.Header.Set("X-Private", "1")
		response := e.do(t, request)
		var answer services.Response
		if err := json.NewDecoder(response.Body).Decode(&answer); err != nil || answer.Path != "/notes" || answer.Body != "body" {
			t.Errorf("got %+v, %v; want the call's path and body", answer, err)
		}
	}
}

// TestNoticesOfPlainEndpointsAreApplied checks that an endpoint gets no further call of any
// kind after it refused one with a backoff or announced in a response that it leaves, and
// that the other endpoint serves the calls.
func TestNoticesOfPlainEndpointsAreApplied(t *testing.T) {
	const calls = 40
	for name, options := range map[string]services.Options{
		"backoff":         {RefusesCalls: true, Backoff: time.Minute},
		"leaves":          {Leaving: true},
		"leaves, refuses": {Leaving: true, RefusesCalls: true},
	} {
		for _, path := range []string{"notes", "confirmations"} {
			var received atomic.Int64
			options.Received = &received
			e := newSite(t, options, services.Options{}).newEntry(t, "n1")
			for range calls {
				request, _ := http.NewRequest("POST", e.server.URL+"/v1/services/ledger/"+path, strings.NewReader("body"))
				if got := e.do(t, request); got.StatusCode != http.StatusOK {
					t.Errorf("%s, %s: got status %d, want 200", name, path, got.StatusCode)
				}
			}
			if got, want := received.Load(), int64(1); got > want {
				t.Errorf("%s, %s: endpoint got %d of %d calls, want at most %d", name, path, got, calls, want)
			}
		}
	}
}

// TestPlainEndpointsLimitIsKept guards against exceeding the limit of calls per second that a
// plain endpoint sets in its responses.
func TestPlainEndpointsLimitIsKept(t *testing.T) {
	const calls = 60
	for _, path := range []string{"notes", "confirmations"} {
		var received atomic.Int64
		e := newSite(t, services.Options{RequestLimit: 1, Received: &received}, services.Options{}).newEntry(t, "n1")
		start := time.Now()
		for range calls {
			request, _ := http.NewRequest("POST", e.server.URL+"/v1/services/ledger/"+path, strings.NewReader("body"))
			if got := e.do(t, request); got.StatusCode != http.StatusOK {
				t.Errorf("%s: got status %d, want 200 from the other endpoint", path, got.StatusCode)
			}
		}
		if got, limit := received.Load(), int64(1.5*time.Since(start).Seconds())+5; got > limit {
			t.Errorf("%s: endpoint with a limit of 1 call per second got %d of %d calls, want at most %d", path, got, calls, limit)
		}
	}
}

// TestLeavingHostNamesOtherEntries checks that a leaving host still serves a call and names
// the other host in the response, and that the list of entries names only the other host.
func TestLeavingHostNamesOtherEntries(t *testing.T) {
	site := newSite(t)
	e, other := site.newEntry(t, "n1"), site.newEntry(t, "n2")
	e.nodes.Merge(other.self)
	leaving := e.self
	leaving.Leaving = true
	leaving.Counter++
	e.nodes.Merge(leaving)
	request, _ := http.NewRequest("POST", e.server.URL+"/v1/chat/completions", strings.NewReader(`{"model":"talk","max_tokens":2,"messages":[{"role":"user"}]}`))
	response := e.do(t, request)
	if response.StatusCode != http.StatusOK || response.Header.Get("Ironhollow-Entries") != other.address() {
		t.Errorf("got status %d, entries %q; want status 200 and entries %q", response.StatusCode, response.Header.Get("Ironhollow-Entries"), other.address())
	}
	request, _ = http.NewRequest("GET", e.server.URL+"/v1/entries", nil)
	data, _ := io.ReadAll(e.do(t, request).Body)
	if strings.Contains(string(data), e.address()) || !strings.Contains(string(data), other.address()) {
		t.Errorf("entries: got %s, want only %s", data, other.address())
	}
}

// TestJobIsAcceptedOnceAndReturnedByAnyEntry posts the same job to two entries over HTTP and
// reads its result.
func TestJobIsAcceptedOnceAndReturnedByAnyEntry(t *testing.T) {
	site := newSite(t)
	first, second := site.newEntry(t, "n1"), site.newEntry(t, "n2")
	c := load.NewClient("secret", []string{first.address()}, http.DefaultClient)
	prompt := load.Prompt{Service: "talk", Text: "review", MaxTokens: 50}
	ctx := context.Background()
	j, err := c.PostJob(ctx, first.address(), "k", prompt)
	if err != nil {
		t.Fatal(err)
	}
	again, err := c.PostJob(ctx, second.address(), "k", prompt)
	if err != nil || again.ID != j.ID {
		t.Errorf("repeated key: got job %s, error %v; want job %s", again.ID, err, j.ID)
	}
	finished, err := c.GetJob(ctx, second.address(), j.ID, 30*time.Second)
	if err != nil || finished.Result == nil || finished.Result.Text != expectedText(prompt, j.ID) {
		t.Errorf("got %+v, %v; want the complete result", finished, err)
	}
}

// TestChunkedBodyIsBounded guards against reading a body of unlimited size: the caller sends
// an endless body without a length.
func TestChunkedBodyIsBounded(t *testing.T) {
	e := newSite(t).newEntry(t, "n1")
	reader, writer := io.Pipe()
	go func() {
		chunk := bytes.Repeat([]byte("x"), 1024)
		for {
			if _, err := writer.Write(chunk); err != nil {
				return
			}
		}
	}()
	request, _ := http.NewRequest("POST", e.server.URL+"/v1/chat/completions", reader)
	response := e.do(t, request)
	_ = reader.Close()
	if got := response.Header.Get("Ironhollow-Code"); got != strconv.Itoa(code.BodyTooLong.Number()) {
		t.Errorf("got code %s, want %d", got, code.BodyTooLong.Number())
	}
}

// panickingService is a plain service whose response body panics after its first part.
type panickingService struct{ reads int }

func (s *panickingService) Send(context.Context, string, plainservice.Call) (plainservice.Response, error) {
	return plainservice.Response{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(s)}, nil
}

func (s *panickingService) Read(data []byte) (int, error) {
	if s.reads++; s.reads > 1 {
		panic("fault after the response has begun")
	}
	return copy(data, "first part"), nil
}

// Guards against an error body at the end of a response that the caller takes for complete.
func TestPanicAfterResponseHasBegunBreaksConnection(t *testing.T) {
	e := newSite(t, services.Options{}).newEntry(t, "n1")
	e.api.PlainServices = &panickingService{}
	request, _ := http.NewRequest("GET", e.server.URL+"/v1/services/ledger/x", nil)
	request.Header.Set("Authorization", "Bearer secret")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return // The connection was closed before the status was sent.
	}
	defer func() { _ = response.Body.Close() }()
	if body, err := io.ReadAll(response.Body); err == nil {
		t.Errorf("got the complete response %d %q, want a broken one", response.StatusCode, body)
	}
}

// Guards against a panic that an operator sees as a count only, without its place in the code.
func TestPanicIsLoggedWithItsPlace(t *testing.T) {
	e := newSite(t, services.Options{}).newEntry(t, "n1")
	e.api.PlainServices = &panickingService{}
	var logged bytes.Buffer
	e.api.Log = &log.Logger{Writer: &log.IOWriter{Writer: &logged}}
	request := httptest.NewRequest(http.MethodGet, "/v1/services/ledger/x", nil)
	request.Header.Set("Authorization", "Bearer secret")
	func() {
		defer func() { _ = recover() }()
		e.api.ServeHTTP(httptest.NewRecorder(), request)
	}()
	if got := logged.String(); !strings.Contains(got, "panickingService") {
		t.Errorf("got log %q, want the stack of the panic", got)
	}
}
