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
	"strconv"
	"time"

	"ironhollow/pkg/claim"
	"ironhollow/pkg/code"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/plainservice"
	"ironhollow/pkg/route"
)

// servePlain forwards a call to a plain service.
func (a *API) servePlain(w http.ResponseWriter, r *http.Request, c *fleet.Config, team fleet.Team) {
	s, err := findService(c, team, r.PathValue("service"), fleet.Plain)
	deadline := time.Now().Add(s.Deadline())
	if err == nil {
		err = a.checkDrain(deadline)
	}
	if err == nil {
		err = a.checkRate(team)
	}
	if err != nil {
		writeError(w, err)
		return
	}
	spanCtx, span := a.startSpan(r, "entry.call")
	defer span.End()
	ctx, cancel := context.WithDeadline(spanCtx, deadline)
	defer cancel()
	permit, err := a.acquirePermit(ctx, s, team, deadline)
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { permit.Release(time.Now()) }()
	call := plainCall{api: a, service: s, team: team, config: c, request: r, path: "/" + r.PathValue("path"), deadline: deadline}
	if s.MayRepeat(r.Method, call.path) {
		call.serveRepeatable(ctx, w)
		return
	}
	call.serveOnce(ctx, w)
}

// plainCall is a call to a plain service.
type plainCall struct {
	api      *API
	service  fleet.Service
	team     fleet.Team
	config   *fleet.Config
	request  *http.Request
	path     string
	deadline time.Time
}

func (p plainCall) newCall(body io.Reader, length int64, once bool) plainservice.Call {
	path := p.path
	if query := p.request.URL.RawQuery; query != "" {
		path += "?" + query
	}
	return plainservice.Call{
		Method: p.request.Method, Path: path, Header: p.request.Header, Body: body, Length: length,
		Deadline: p.deadline, AtMostOnce: once,
	}
}

// maxSends is the maximum number of endpoints to which a call is sent.
const maxSends = 3

// sendWithRetries sends a call to one endpoint after another until one responds, within the
// retry budget.
func (p plainCall) sendWithRetries(ctx context.Context, body []byte) (plainservice.Response, error) {
	p.api.RetryBudget.RecordFirstSend(time.Now())
	var avoid []endpoint.Ref
	var lastErr error
	for attempt := 1; attempt <= maxSends; attempt++ {
		if attempt > 1 && !p.api.RetryBudget.Take(time.Now()) {
			break
		}
		choice, ok := p.choose(avoid)
		if !ok {
			break
		}
		response, err := p.send(ctx, choice, p.newCall(bytes.NewReader(body), int64(len(body)), false))
		p.api.Router.Done(choice, route.Result{Failed: err != nil && ctx.Err() == nil}, time.Now())
		if err == nil {
			return response, nil
		}
		// The outcome is that of an attempt that may have run, if there is one.
		if lastErr == nil || errors.Is(lastErr, plainservice.ErrNotSent) {
			lastErr = err
		}
		if ctx.Err() != nil {
			break
		}
		avoid = append(avoid, choice.Endpoint.Ref())
	}
	if lastErr == nil {
		lastErr = fmt.Errorf("%w: no endpoint of %s takes calls", plainservice.ErrNotSent, p.service.Name())
	}
	return plainservice.Response{}, lastErr
}

// send sends a call once and applies the notice about the endpoint in its response or refusal.
func (p plainCall) send(ctx context.Context, choice route.Choice, call plainservice.Call) (plainservice.Response, error) {
	sent := time.Now()
	response, err := p.api.PlainServices.Send(ctx, choice.Endpoint.Address, call)
	var refused *plainservice.RejectedError
	switch {
	case err == nil:
		p.api.Notices.ApplyResponse(choice.Endpoint, response.Notice, sent, time.Now())
	case errors.As(err, &refused):
		p.api.Notices.ApplyResponse(choice.Endpoint, refused.Notice, sent, time.Now())
	}
	return response, err
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
	response, err := p.sendWithRetries(ctx, body)
	if err != nil {
		writeError(w, callError(err))
		return
	}
	defer func() { _ = response.Body.Close() }()
	copyHeader(w.Header(), response.Header)
	p.setOutcome(w.Header(), response.EndUnmarked)
	w.WriteHeader(response.Status)
	// After the status is sent, only closing the connection shows that the response is
	// incomplete.
	if _, err := io.Copy(w, response.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
}

// callError returns the error for a call that got no response: CallNotRun if it certainly did
// not run, otherwise CallUnknown.
func callError(err error) error {
	if errors.Is(err, plainservice.ErrNotSent) || errors.Is(err, claim.ErrNotSent) {
		return code.New(code.CallNotRun, err.Error())
	}
	return code.New(code.CallUnknown, err.Error())
}

func copyHeader(dst, src http.Header) {
	for name, values := range src {
		dst[name] = values
	}
}

// serveOnce serves a call that must not be repeated: under a claim if the caller sent an
// idempotency key, otherwise with a single attempt.
func (p plainCall) serveOnce(ctx context.Context, w http.ResponseWriter) {
	body, err := p.api.readBody(w, p.request)
	if err != nil {
		writeError(w, err)
		return
	}
	send := func(ctx context.Context) (claim.Response, error) { return p.sendOnce(ctx, body) }
	key := p.request.Header.Get(plainservice.HeaderKey)
	if key == "" {
		response, err := send(ctx)
		if err != nil {
			writeError(w, callError(err))
			return
		}
		p.writeResponse(w, response, false)
		return
	}
	// The call continues if the caller disconnects, so that its outcome is recorded.
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), p.deadline)
	defer cancel()
	ctx, release := p.api.untilProcessEnds(ctx)
	defer release()
	id := claim.Key{Team: p.team.Name(), Service: p.service.Name(), Key: key}
	p.writeOutcome(w, p.api.Claims.Run(ctx, id, p.fingerprint(body), p.deadline, send))
}

// fingerprint returns a hash of the call. It distinguishes a repeated call from a
// different one with the same key.
func (p plainCall) fingerprint(body []byte) string {
	digest := sha256.New()
	_, _ = fmt.Fprintf(digest, "%s %s?%s\n", p.request.Method, p.path, p.request.URL.RawQuery)
	_, _ = digest.Write(body)
	return hex.EncodeToString(digest.Sum(nil))
}

// sendOnce sends the call to one endpoint. It tries another one only if the call certainly did
// not run.
func (p plainCall) sendOnce(ctx context.Context, body []byte) (claim.Response, error) {
	var avoid []endpoint.Ref
	lastErr := errors.New("no endpoint takes calls")
	for range maxSends {
		choice, ok := p.choose(avoid)
		if !ok {
			break
		}
		response, err := p.send(ctx, choice, p.newCall(bytes.NewReader(body), int64(len(body)), true))
		if err == nil {
			buffered, err := p.bufferResponse(response)
			p.api.Router.Done(choice, route.Result{Failed: err != nil}, time.Now())
			return buffered, err
		}
		p.api.Router.Done(choice, route.Result{Failed: true}, time.Now())
		if !errors.Is(err, plainservice.ErrNotSent) {
			return claim.Response{}, err
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
		avoid = append(avoid, choice.Endpoint.Ref())
	}
	return claim.Response{}, errors.Join(claim.ErrNotSent, lastErr)
}

// bufferResponse reads the complete response, so that a repeated call gets the same one.
func (p plainCall) bufferResponse(response plainservice.Response) (claim.Response, error) {
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, p.api.Limits.ResponseBytes+1))
	if err != nil {
		return claim.Response{}, err
	}
	if int64(len(data)) > p.api.Limits.ResponseBytes {
		return claim.Response{}, fmt.Errorf("the answer is longer than %d bytes", p.api.Limits.ResponseBytes)
	}
	return claim.Response{
		Status: response.Status, ContentType: response.Header.Get("Content-Type"), Body: data, EndUnmarked: response.EndUnmarked,
	}, nil
}

func (p plainCall) writeOutcome(w http.ResponseWriter, outcome claim.Outcome) {
	switch outcome := outcome.(type) {
	case claim.Ran:
		p.writeResponse(w, outcome.Response, outcome.Replayed)
	case claim.NotRun:
		writeError(w, code.New(code.CallNotRun, outcome.Err.Error()))
	case claim.Unknown:
		writeError(w, code.New(code.CallUnknown, outcome.Err.Error()))
	case claim.InProgress:
		writeError(w, code.New(code.CallInProgress, "a call with this key is under way"))
	case claim.KeyReused:
		writeError(w, code.New(code.KeyReused, "the key was used for a different call"))
	}
}

// headerReplayed is set if the response is from an earlier request with the same key.
const headerReplayed = "Idempotent-Replayed"

// setOutcome sets the outcome of a call that returned a response. If the endpoint did not mark the end
// of the response, it may have crashed during the call.
func (p plainCall) setOutcome(h http.Header, endUnmarked bool) {
	if !endUnmarked {
		h.Set(headerOutcome, string(code.Done))
		return
	}
	h.Set(headerOutcome, string(code.Unknown))
	leaveEndUnmarked(h)
	p.api.APICounters.UnmarkedEnds.WithLabelValues(p.service.Name()).Inc()
}

func (p plainCall) writeResponse(w http.ResponseWriter, response claim.Response, replayed bool) {
	if response.ContentType != "" {
		w.Header().Set("Content-Type", response.ContentType)
	}
	if replayed {
		w.Header().Set(headerReplayed, "true")
	}
	if len(response.Body) > 0 {
		w.Header().Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
	p.setOutcome(w.Header(), response.EndUnmarked)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
}
