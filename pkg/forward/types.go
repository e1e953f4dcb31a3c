// Package forward carries callers' raw HTTP requests to endpoints and the
// answers back: routes, keys, limits, the choice of endpoint, what may be sent
// again, and streams that go on at another endpoint.
package forward

import (
	"net/http"
	"time"

	"ironhollow/pkg/endpoint"
)

// PromptPart is one part of a prompt; parts with the same hash are the same.
type PromptPart struct {
	Hash   uint64
	Tokens int
}

// RequestMeta is what a caller's request says about itself beside path and body.
type RequestMeta struct {
	// ID is the caller's, new with each of its attempts.
	ID string
	// Key is the bearer key, empty if there is none.
	Key string
	// Timeout is how long the caller waits; HasWait is false if it did not say.
	Timeout    time.Duration
	HasTimeout bool
	Model      string
	// PromptTokens and MaxTokens, the longest answer, are there if HasTokens.
	PromptTokens, MaxTokens int
	HasTokens               bool
	// ExpectedTokens is the caller's guess of the answer's length.
	ExpectedTokens int
	// Prefix is the prompt's parts in order; the last is the request's own.
	Prefix []PromptPart
	// LastEventID is the id of the last event the caller has of a stream.
	LastEventID string
	// ReservedHeaders is how many headers the caller sent that are the system's to set;
	// they do not pass.
	ReservedHeaders int
}

// AttemptMeta is what one send adds to a request.
type AttemptMeta struct {
	// EndpointID is the instance that is meant; any other must refuse.
	EndpointID string
	// Remaining is how much of the request's time is left.
	Remaining time.Duration
	Team      string
	// Priority is set if Prioritised; 0 goes first.
	Priority    int
	HasPriority bool
	// LastEventID is the last event had, where a stream goes on.
	LastEventID string
}

// ResponseMeta is what an endpoint's answer says about itself.
type ResponseMeta struct {
	// RequestID is the request's that the answer belongs to.
	RequestID string
	// NotRun is the endpoint's word that it did not run the request.
	NotRun bool
	// Moved says that another instance has the address.
	Moved bool
	// Signed says that the answer bears the endpoint's signature.
	Signed bool
	// Notice is what the answer says of the endpoint itself.
	Notice endpoint.Notice
}

// Protocol is how requests and answers are marked on the wire.
type Protocol interface {
	DecodeRequest(h http.Header) (RequestMeta, error)
	EncodeAttempt(h http.Header, hop AttemptMeta)
	DecodeResponse(status int, h http.Header) ResponseMeta
	EncodeRefusal(h http.Header, id string)
}

// connectionHeaders concern one connection only and are not passed on.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}
