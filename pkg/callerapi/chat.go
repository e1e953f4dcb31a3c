package callerapi

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/tidwall/gjson"
	"go.opentelemetry.io/otel/attribute"

	"ironhollow/pkg/chat"
	"ironhollow/pkg/code"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/explain"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/stream"
)

// readBody reads a body within the limit.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.Limits.BodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, code.New(code.BodyTooLong, fmt.Sprintf("the limit is %d bytes", tooLong.Limit))
	case err != nil:
		return nil, code.New(code.BadBody, "the body broke off: "+err.Error())
	}
	return data, nil
}

// headerResume is the usual header of a client that takes up an event stream.
const headerResume = "Last-Event-ID"

func (a *API) serveChat(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	call, err := a.prepareChat(w, r, c, team)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, span := a.startSpan(r, "entry.chat")
	defer span.End()
	span.SetAttributes(attribute.String("service", call.service.Name()), attribute.String("team", team.Name()))
	ticket, err := a.enter(ctx, call.service, team, call.firstTokenBy)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { ticket.Release(time.Now()) }()
	w.Header().Set(headerRequest, call.request.Prompt.RequestID)
	if call.body.Stream() {
		a.streamChat(ctx, w, call)
		return
	}
	a.wholeChat(ctx, w, call)
}

// chatCall is one model call, checked and admitted.
type chatCall struct {
	service      fleet.Service
	team         fleet.Team
	body         chat.Body
	request      stream.Request
	mark         chat.Cursor
	firstTokenBy time.Time
	begun        time.Time
}

func (a *API) prepareChat(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) (chatCall, error) {
	data, err := a.readBody(w, r)
	if err != nil {
		return chatCall{}, err
	}
	body, err := chat.Parse(data)
	if err != nil {
		return chatCall{}, err
	}
	s, err := service(c, team, body.Service(), fleet.Model)
	if err != nil {
		return chatCall{}, err
	}
	if err := a.admit(team); err != nil {
		return chatCall{}, err
	}
	now := time.Now()
	call := chatCall{service: s, team: team, body: body, begun: now, mark: chat.Cursor{RequestID: newID()}}
	if text := r.Header.Get(headerResume); text != "" {
		call.mark, err = chat.ParseCursor(text)
		if err != nil {
			return chatCall{}, code.New(code.BadHeader, headerResume+" "+err.Error())
		}
	}
	call.request = body.Request(call.mark.RequestID, s)
	call.request.LastEndpointID = call.mark.EndpointID
	call.request.Prompt.Deadline = now.Add(s.Deadline())
	call.request.EndpointTimeout = patience(s)
	call.request.Strategy = strategyOf(c)
	call.firstTokenBy = now.Add(patience(s))
	return call, nil
}

// patienceFactor is how many latency targets a caller waits for an endpoint:
// after that an answer would be late past mending, and an early refusal with
// the time to come back serves it better.
const patienceFactor = 3

// patience is how long a request waits for a place and an endpoint.
func patience(s fleet.Service) time.Duration {
	if s.MayWait() {
		return s.Deadline()
	}
	return min(patienceFactor*s.LatencyTarget(), s.Deadline())
}

// remember keeps how the request was served, for explain.
func (a *API) remember(call chatCall, result stream.Result, err error) {
	took := time.Since(call.begun)
	record := explain.Record{
		Request: call.request.Prompt.RequestID, Team: call.team.Name(), Service: call.service.Name(),
		StartedAt: call.begun, Duration: took, Tokens: result.Usage.CompletionTokens, Hops: result.AttemptRecords,
	}
	if err != nil {
		record.Failure = err.Error()
		record.Code = code.Of(err).Number()
	}
	a.History.Add(record)
	a.Metrics.Duration.WithLabelValues(call.service.Name()).Observe(took.Seconds())
}

// completion is a whole answer in the usual form.
type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Created int64              `json:"created"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   engine.ChunkUsage  `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func usageOf(u engine.Usage) engine.ChunkUsage {
	return engine.ChunkUsage{
		PromptTokens: u.PromptTokens, CompletionTokens: u.CompletionTokens, TotalTokens: u.PromptTokens + u.CompletionTokens,
		Details: &engine.TokenDetails{CachedTokens: u.CachedTokens},
	}
}

func (a *API) wholeChat(ctx context.Context, w http.ResponseWriter, call chatCall) {
	collector := chat.NewCollector("", nil)
	result, err := a.Runner.Run(ctx, call.request, collector)
	a.remember(call, result, err)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set(headerOutcome, string(code.Done))
	httpx.WriteJSON(w, http.StatusOK, completion{
		ID: call.request.Prompt.RequestID, Object: "chat.completion", Created: call.begun.Unix(), Model: call.service.Name(),
		Choices: []completionChoice{{Message: completionMessage{"assistant", collector.Text()}, FinishReason: result.FinishReason}},
		Usage:   usageOf(result.Usage),
	})
}

func (a *API) streamChat(ctx context.Context, w http.ResponseWriter, call chatCall) {
	sink := newEventSink(w, a.Limits.WriteTimeout, call)
	sink.firstToken = func() {
		a.Metrics.FirstToken.WithLabelValues(call.service.Name()).Observe(time.Since(call.begun).Seconds())
	}
	result, err := a.Runner.Run(ctx, call.request, sink)
	a.remember(call, result, err)
	switch {
	case errors.Is(err, chat.ErrMismatch):
		sink.fail(w, code.New(code.CannotResume, err.Error()))
	case err != nil:
		sink.fail(w, err)
	default:
		sink.finish(result, call.body.IncludeUsage())
	}
}

// eventSink writes an answer as server-sent events.
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the write deadline in force.
	deadline time.Time
	joiner   *chat.ReplayFilter
	chunk    engine.Chunk
	begun    bool
	// counted says that the first token was noted.
	counted    bool
	firstToken func()
	// head is the part of a token's event before its text, the same for all.
	head []byte
	// buffer holds events that are not written yet.
	buffer []byte
}

func newEventSink(w http.ResponseWriter, timeout time.Duration, call chatCall) *eventSink {
	s := &eventSink{
		w: w, controller: http.NewResponseController(w), timeout: timeout, joiner: chat.NewReplayFilter(call.mark),
		chunk: engine.Chunk{
			ID: call.mark.RequestID, Object: "chat.completion.chunk", Created: call.begun.Unix(), Model: call.service.Name(),
			Choices: []engine.ChunkChoice{{}},
		},
		firstToken: func() {},
	}
	// Ids, names of services and numbers need no escapes in JSON.
	s.head = fmt.Appendf(nil, `data: {"id":"%s","object":"%s","created":%d,"model":"%s","choices":[{"index":0,"delta":{"content":`,
		s.chunk.ID, s.chunk.Object, s.chunk.Created, s.chunk.Model)
	return s
}

// tokenTail is the part of a token's event after its text.
const tokenTail = "},\"finish_reason\":null}]}\n\n"

// mostBuffered is how many bytes of events wait for a flush at most.
const mostBuffered = 8 << 10

// Token takes one token; ErrMismatch where the pieces would not join.
func (s *eventSink) Token(t stream.Token) error {
	isNew, mark, err := s.joiner.Next(t)
	if err != nil || !isNew {
		return err
	}
	if !s.counted {
		s.counted = true
		s.firstToken()
	}
	if mark.Offset == 1 {
		s.chunk.Choices[0] = engine.ChunkChoice{Delta: engine.ChunkDelta{Role: "assistant", Content: t.Text}}
		return s.write(mark.String())
	}
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = mark.Append(s.buffer)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.head...)
	s.buffer = gjson.AppendJSONString(s.buffer, t.Text)
	s.buffer = append(s.buffer, tokenTail...)
	if len(s.buffer) > mostBuffered {
		return s.Flush()
	}
	return nil
}

// write adds the chunk as one event.
func (s *eventSink) write(id string) error {
	data, err := json.Marshal(s.chunk)
	if err != nil {
		return err
	}
	if id != "" {
		s.buffer = append(s.buffer, "id: "...)
		s.buffer = append(s.buffer, id...)
		s.buffer = append(s.buffer, '\n')
	}
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	return nil
}

func (s *eventSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// Flush sends the events gathered. A caller that does not read is cut off after
// the timeout, so that it holds nothing up.
func (s *eventSink) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	s.begin()
	// The deadline is moved seldom: it costs as much as a small write.
	if now := time.Now(); s.deadline.Sub(now) < s.timeout/2 {
		s.deadline = now.Add(s.timeout)
		_ = s.controller.SetWriteDeadline(s.deadline)
	}
	_, err := s.w.Write(s.buffer)
	s.buffer = s.buffer[:0]
	if err != nil {
		return err
	}
	return s.controller.Flush()
}

// finish writes the last chunk and the mark that says the answer is whole.
func (s *eventSink) finish(result stream.Result, withUsage bool) {
	finish := result.FinishReason
	s.chunk.Choices[0] = engine.ChunkChoice{FinishReason: &finish}
	if s.write("") != nil {
		return
	}
	if withUsage {
		usage := usageOf(result.Usage)
		s.chunk.Choices = []engine.ChunkChoice{}
		s.chunk.Usage = &usage
		if s.write("") != nil {
			return
		}
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	_ = s.Flush()
}

// fail tells the error: as the answer itself if none has begun, else as a last
// event without the mark of a whole answer.
func (s *eventSink) fail(w http.ResponseWriter, err error) {
	if !s.begun && len(s.buffer) == 0 {
		writeError(w, err)
		return
	}
	data, _ := json.Marshal(bodyOf(err))
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush()
}
