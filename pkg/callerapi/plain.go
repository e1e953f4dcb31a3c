package callerapi

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"ironhollow/pkg/claim"
	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/route"
)

// servePlain passes a call on to a plain service.
func (a *API) servePlain(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	s, err := service(c, team, r.PathValue("service"), fleet.Plain)
	if err == nil {
		err = a.admit(team)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	deadline := time.Now().Add(s.Deadline())
	spanned, span := a.startSpan(r, "entry.call")
	defer span.End()
	ctx, cancel := context.WithDeadline(spanned, deadline)
	defer cancel()
	ticket, err := a.enter(ctx, s, team, deadline)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { ticket.Release(time.Now()) }()
	call := plainCall{api: a, service: s, team: team, config: c, request: r, path: "/" + r.PathValue("path"), deadline: deadline}
	if s.MayRepeat(r.Method, call.path) {
		call.serveRepeatable(ctx, w)
		return
	}
	call.serveOnce(ctx, w)
}

// plainCall is one call to a plain service.
type plainCall struct {
	api      *API
	service  fleet.Service
	team     fleet.Team
	config   *fleet.Config
	request  *http.Request
	path     string
	deadline time.Time
}

func (p plainCall) call(body io.Reader, length int64, once bool) plainservice.Call {
	path := p.path
	if query := p.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return plainservice.Call{
		Method: p.request.Method, Path: path, Header: p.request.Header, Body: body, Length: length,
		Deadline: p.deadline, Once: once,
	}
}

// mostSends bounds the endpoints one call is sent to.
const mostSends = 3

// sendRepeatable sends a call until one endpoint answers, within the budget.
func (p plainCall) sendRepeatable(ctx context.Context, body []byte) (plainservice.Answer, error) {
	p.api.Budget.RecordFirstSend(time.Now())
	var avoid []endpoint.Ref
	var last error
	for try := 1; try <= mostSends; try++ {
		if try > 1 && !p.api.Budget.Take(time.Now()) {
			break
		}
		choice, ok := p.choose(avoid)
		if !ok {
			break
		}
		answer, err := p.send(ctx, choice, p.call(bytes.NewReader(body), int64(len(body)), false))
		p.api.Router.Done(choice, route.Result{Failed: err != nil && ctx.Err() == nil}, time.Now())
		if err == nil {
			return answer, nil
		}
		if ctx.Err() != nil {
			return answer, err
		}
		last = err
		avoid = append(avoid, choice.Endpoint.Ref())
	}
	if last == nil {
		last = fmt.Errorf("%w: no endpoint of %s takes calls", plainservice.ErrNotSent, p.service.Name())
	}
	return plainservice.Answer{}, last
}

// send sends a call once and takes in what the answer, or a refusal, says of its
// endpoint.
func (p plainCall) send(ctx context.Context, choice route.Choice, call plainservice.Call) (plainservice.Answer, error) {
	sent := time.Now()
	answer, err := p.api.Plain.Send(ctx, choice.Endpoint.Address, call)
	var away *plainservice.TurnedAway
	switch {
	case err == nil:
		p.api.Notices.ApplyResponse(choice.Endpoint, answer.Notice, sent, time.Now())
	case errors.As(err, &away):
		p.api.Notices.ApplyResponse(choice.Endpoint, away.Notice, sent, time.Now())
	}
	return answer, err
}

func (p plainCall) choose(avoid []endpoint.Ref) (route.Choice, bool) {
	q := route.Query{Target: targetOf(p.service), RiskWeight: 1, Avoid: avoid}
	return p.api.Router.Choose(q, strategyOf(p.config), time.Now())
}

func (p plainCall) serveRepeatable(ctx context.Context, w http.ResponseWriter) {
	body, err := p.api.readBody(w, p.request)
	if err != nil {
		writeError(w, err)
		return
	}
	answer, err := p.sendRepeatable(ctx, body)
	if err != nil {
		writeError(w, endOfCall(err))
		return
	}
	defer func() { _ = answer.Body.Close() }()
	copyHeader(w.Header(), answer.Header)
	w.Header().Set(headerOutcome, string(code.Done))
	w.WriteHeader(answer.Status)
	// Once the status is out, only a cut connection tells of a broken answer.
	if _, err := io.Copy(w, answer.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// endOfCall gives the numbered end of a call without an answer.
func endOfCall(err error) error {
	if errors.Is(err, plainservice.ErrNotSent) || errors.Is(err, claim.ErrNotSent) {
		return code.New(code.CallNotRun, err.Error())
	}
	return code.New(code.CallUnknown, err.Error())
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}

// serveOnce serves a call that may not be repeated: under a claim where the
// caller gave a key, else with one attempt.
func (p plainCall) serveOnce(ctx context.Context, w http.ResponseWriter) {
	body, err := p.api.readBody(w, p.request)
	if err != nil {
		writeError(w, err)
		return
	}
	send := func(ctx context.Context) (claim.Response, error) { return p.sendOnce(ctx, body) }
	key := p.request.Header.Get(plainservice.HeaderKey)
	if key == "" {
		answer, err := send(ctx)
		if err != nil {
			writeError(w, endOfCall(err))
			return
		}
		writeAnswer(w, answer, false)
		return
	}
	// The call goes on when its caller has gone: its end is to be recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.deadline)
	defer cancel()
	id := claim.Key{Team: p.team.Name(), Service: p.service.Name(), Key: key}
	p.writeEnd(w, p.api.Claims.Run(ctx, id, p.fingerprint(body), p.deadline, send))
}

// fingerprint tells a repeat of a call from a key that is used again.
func (p plainCall) fingerprint(body []byte) string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s %s?%s\n", p.request.Method, p.path, p.request.URL.RawQuery)
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// sendOnce sends the call to one endpoint. Only where nothing was sent is
// another one tried.
func (p plainCall) sendOnce(ctx context.Context, body []byte) (claim.Response, error) {
	var avoid []endpoint.Ref
	last := errors.New("no endpoint takes calls")
	for range mostSends {
		choice, ok := p.choose(avoid)
		if !ok {
			break
		}
		answer, err := p.send(ctx, choice, p.call(bytes.NewReader(body), int64(len(body)), true))
		if err == nil {
			kept, err := p.keep(answer)
			p.api.Router.Done(choice, route.Result{Failed: err != nil}, time.Now())
			return kept, err
		}
		p.api.Router.Done(choice, route.Result{Failed: true}, time.Now())
		if !errors.Is(err, plainservice.ErrNotSent) {
			return claim.Response{}, err
		}
		last = err
		avoid = append(avoid, choice.Endpoint.Ref())
	}
	return claim.Response{}, errors.Join(claim.ErrNotSent, last)
}

// keep reads an answer whole, so that a repeat gets the same.
func (p plainCall) keep(answer plainservice.Answer) (claim.Response, error) {
	defer func() { _ = answer.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(answer.Body, p.api.Limits.AnswerBytes+1))
	if err != nil {
		return claim.Response{}, err
	}
	if int64(len(data)) > p.api.Limits.AnswerBytes {
		return claim.Response{}, fmt.Errorf("the answer is longer than %d bytes", p.api.Limits.AnswerBytes)
	}
	return claim.Response{Status: answer.Status, ContentType: answer.Header.Get("Content-Type"), Body: data}, nil
}

func (p plainCall) writeEnd(w http.ResponseWriter, end claim.Outcome) {
	switch end := end.(type) {
	case claim.Ran:
		writeAnswer(w, end.Response, end.Replayed)
	case claim.NotRun:
		writeError(w, code.New(code.CallNotRun, end.Err.Error()))
	case claim.Unknown:
		writeError(w, code.New(code.CallUnknown, end.Err.Error()))
	case claim.InProgress:
		writeError(w, code.New(code.CallInProgress, "a call with this key is under way"))
	case claim.KeyReused:
		writeError(w, code.New(code.KeyReused, "the key was used for a different call"))
	}
}

// headerReplayed says that the answer is that of an earlier run.
const headerReplayed = "Idempotent-Replayed"

func writeAnswer(w http.ResponseWriter, answer claim.Response, replayed bool) {
	if answer.ContentType != "" {
		w.Header().Set("Content-Type", answer.ContentType)
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.Header().Set(headerOutcome, string(code.Done))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
