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

// readBody reads a request body up to the limit.
func (a *API) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// A caller that sends its body slowly must not delay the answer at the end of the process.
	stop := context.AfterFunc(r.Context(), func() { _ = http.NewResponseController(w).SetReadDeadline(time.Now()) })
	defer stop()
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, a.Limits.BodyBytes))
	var tooLong *http.MaxBytesError
	switch {
	case err != nil && endedByProcess(r.Context()):
		return nil, errNotSent()
	case errors.As(err, &tooLong):
		return nil, code.New(code.BodyTooLong, fmt.Sprintf("the limit is %d bytes", tooLong.Limit))
	case err != nil:
		return nil, code.New(code.BadBody, "the body broke off: "+err.Error())
	}
	return data, nil
}

// headerLastEventID is the standard header with which a client resumes an event stream.
const headerLastEventID = "Last-Event-ID"

func (a *API) serveChat(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	call, err := a.prepareChat(w, r, c, team)
	if err != nil {
		writeError(w, err)
		return
	}
	ctx, span := a.startSpan(r, "entry.chat")
	defer span.End()
	span.SetAttributes(attribute.String("service", call.service.Name()), attribute.String("team", team.Name()))
	permit, err := a.acquirePermit(ctx, call.service, team, call.firstTokenDeadline)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { permit.Release(time.Now()) }()
	w.Header().Set(headerRequest, call.request.Prompt.RequestID)
	if call.body.Stream() {
		a.streamChat(ctx, w, call)
		return
	}
	a.completeChat(ctx, w, call)
}

// chatCall is a valid model call whose team is within its rate.
type chatCall struct {
	service            fleet.Service
	team               fleet.Team
	body               chat.Body
	request            stream.Request
	cursor             chat.Cursor
	firstTokenDeadline time.Time
	started            time.Time
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
	s, err := findService(c, team, body.Service(), fleet.Model)
	if err != nil {
		return chatCall{}, err
	}
	now := time.Now()
	if err := a.checkDrain(now.Add(s.Deadline())); err != nil {
		return chatCall{}, err
	}
	if err := a.checkRate(team); err != nil {
		return chatCall{}, err
	}
	call := chatCall{service: s, team: team, body: body, started: now, cursor: chat.Cursor{RequestID: newID()}}
	if lastEventID := r.Header.Get(headerLastEventID); lastEventID != "" {
		call.cursor, err = chat.ParseCursor(lastEventID)
		if err != nil {
			return chatCall{}, code.New(code.BadHeader, headerLastEventID+" "+err.Error())
		}
	}
	call.request = body.Request(call.cursor.RequestID, s)
	call.request.LastEndpointID = call.cursor.EndpointID
	call.request.Prompt.Deadline = now.Add(s.Deadline())
	call.request.EndpointTimeout = queueTimeout(s)
	call.request.Strategy = strategyOf(c)
	call.firstTokenDeadline = now.Add(queueTimeout(s))
	return call, nil
}

// queueTimeoutFactor is the number of latency targets that a call may wait for an endpoint.
// After that the response would be far too late, and it is better to refuse the call early
// with a Retry-After header.
const queueTimeoutFactor = 3

// queueTimeout returns how long a request may wait for a permit and an endpoint.
func queueTimeout(s fleet.Service) time.Duration {
	if s.MayWait() {
		return s.Deadline()
	}
	return min(queueTimeoutFactor*s.LatencyTarget(), s.Deadline())
}

// recordResult adds the call to the history for explain and to the metrics.
func (a *API) recordResult(call chatCall, result stream.Result, err error) {
	duration := time.Since(call.started)
	record := explain.Record{
		Request: call.request.Prompt.RequestID, Team: call.team.Name(), Service: call.service.Name(),
		StartedAt: call.started, Duration: duration, Tokens: result.Usage.CompletionTokens, Hops: result.AttemptRecords,
	}
	if err != nil {
		record.Failure = err.Error()
		record.Code = code.Of(err).Number()
	}
	a.History.Add(record)
	a.APICounters.Duration.WithLabelValues(call.service.Name()).Observe(duration.Seconds())
}

// processEndError returns the error for a call without a response that the end of the process ended.
func (c chatCall) processEndError(result stream.Result) error {
	if len(result.AttemptRecords) == 0 && c.request.LastEndpointID == "" {
		return errNotSent()
	}
	return code.New(code.StreamLost, "the process of this host ends while an endpoint generates the answer")
}

// completion is a complete response in the OpenAI format.
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

// completeChat serves a call with one complete response.
func (a *API) completeChat(ctx context.Context, w http.ResponseWriter, call chatCall) {
	collector := chat.NewCollector("", nil)
	result, err := a.Runner.Run(ctx, call.request, collector)
	a.recordResult(call, result, err)
	if err != nil {
		if endedByProcess(ctx) {
			err = call.processEndError(result)
		}
		writeError(w, err)
		return
	}
	w.Header().Set(headerOutcome, string(code.Done))
	httpx.WriteJSON(w, http.StatusOK, completion{
		ID: call.request.Prompt.RequestID, Object: "chat.completion", Created: call.started.Unix(), Model: call.service.Name(),
		Choices: []completionChoice{{Message: completionMessage{"assistant", collector.Text()}, FinishReason: result.FinishReason}},
		Usage:   usageOf(result.Usage),
	})
}

// streamChat serves a call with a stream of events.
func (a *API) streamChat(ctx context.Context, w http.ResponseWriter, call chatCall) {
	sink := newEventSink(w, a.Limits.WriteTimeout, call)
	sink.onFirstToken = func() {
		a.APICounters.FirstToken.WithLabelValues(call.service.Name()).Observe(time.Since(call.started).Seconds())
	}
	result, err := a.Runner.Run(ctx, call.request, sink)
	a.recordResult(call, result, err)
	switch {
	case err != nil && endedByProcess(ctx):
		if sink.headerSent {
			// The caller resumes a stream that breaks off at another host.
			panic(http.ErrAbortHandler)
		}
		writeError(w, call.processEndError(result))
	case errors.Is(err, chat.ErrMismatch):
		sink.sendError(w, code.New(code.CannotResume, err.Error()))
	case err != nil:
		sink.sendError(w, err)
	default:
		sink.finish(result, call.body.IncludeUsage())
	}
}

// eventSink writes a response as server-sent events.
type eventSink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
	// deadline is the current write deadline of the connection.
	deadline     time.Time
	replayFilter *chat.ReplayFilter
	chunk        engine.Chunk
	headerSent   bool
	// firstTokenSeen is set once onFirstToken was called.
	firstTokenSeen bool
	onFirstToken   func()
	// tokenPrefix is the part of a token's data line before its text, the same for all tokens.
	tokenPrefix []byte
	// buffer holds events that are not yet written.
	buffer []byte
}

func newEventSink(w http.ResponseWriter, timeout time.Duration, call chatCall) *eventSink {
	s := &eventSink{
		w: w, controller: http.NewResponseController(w), timeout: timeout, replayFilter: chat.NewReplayFilter(call.cursor),
		chunk: engine.Chunk{
			ID: call.cursor.RequestID, Object: "chat.completion.chunk", Created: call.started.Unix(), Model: call.service.Name(),
			Choices: []engine.ChunkChoice{{}},
		},
		onFirstToken: func() {},
	}
	// IDs, service names and numbers need no escaping in JSON.
	s.tokenPrefix = fmt.Appendf(nil, `data: {"id":"%s","object":"%s","created":%d,"model":"%s","choices":[{"index":0,"delta":{"content":`,
		s.chunk.ID, s.chunk.Object, s.chunk.Created, s.chunk.Model)
	return s
}

// tokenSuffix is the part of a token's event after its text.
const tokenSuffix = "},\"finish_reason\":null}]}\n\n"

// maxBufferedBytes is the size of the buffer above which events are written at once.
const maxBufferedBytes = 8 << 10

// Token adds an event for a token that the caller does not have yet. It returns
// chat.ErrMismatch if the regenerated tokens differ from those that the caller has.
func (s *eventSink) Token(t stream.Token) error {
	isNew, cursor, err := s.replayFilter.Next(t)
	if err != nil || !isNew {
		return err
	}
	if !s.firstTokenSeen {
		s.firstTokenSeen = true
		s.onFirstToken()
	}
	if cursor.Offset == 1 {
		s.chunk.Choices[0] = engine.ChunkChoice{Delta: engine.ChunkDelta{Role: "assistant", Content: t.Text}}
		return s.appendChunk(cursor.String())
	}
	s.buffer = append(s.buffer, "id: "...)
	s.buffer = cursor.Append(s.buffer)
	s.buffer = append(s.buffer, '\n')
	s.buffer = append(s.buffer, s.tokenPrefix...)
	s.buffer = gjson.AppendJSONString(s.buffer, t.Text)
	s.buffer = append(s.buffer, tokenSuffix...)
	if len(s.buffer) > maxBufferedBytes {
		return s.Flush()
	}
	return nil
}

// appendChunk appends the chunk to the buffer as one event.
func (s *eventSink) appendChunk(id string) error {
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

func (s *eventSink) sendHeader() {
	if s.headerSent {
		return
	}
	s.headerSent = true
	header := s.w.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Cache-Control", "no-cache")
	s.w.WriteHeader(http.StatusOK)
}

// Flush sends the buffered events. A caller that does not read is disconnected after the
// timeout, so that it does not block the stream.
func (s *eventSink) Flush() error {
	if len(s.buffer) == 0 {
		return nil
	}
	s.sendHeader()
	// The deadline is moved only if less than half of it is left: moving it costs as much as
	// a small write.
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

// finish writes the last chunk and the marker that the response is complete.
func (s *eventSink) finish(result stream.Result, withUsage bool) {
	reason := result.FinishReason
	s.chunk.Choices[0] = engine.ChunkChoice{FinishReason: &reason}
	if s.appendChunk("") != nil {
		return
	}
	if withUsage {
		usage := usageOf(result.Usage)
		s.chunk.Choices = []engine.ChunkChoice{}
		s.chunk.Usage = &usage
		if s.appendChunk("") != nil {
			return
		}
	}
	s.buffer = append(s.buffer, "data: [DONE]\n\n"...)
	_ = s.Flush()
}

// sendError sends an error: as the response if nothing was sent or buffered, and otherwise as
// the last event, without the marker that the response is complete.
func (s *eventSink) sendError(w http.ResponseWriter, err error) {
	if !s.headerSent && len(s.buffer) == 0 {
		writeError(w, err)
		return
	}
	data, _ := json.Marshal(errorBodyOf(err))
	s.buffer = append(s.buffer, "data: "...)
	s.buffer = append(s.buffer, data...)
	s.buffer = append(s.buffer, "\n\n"...)
	_ = s.Flush()
}
