// Package forward is the reverse proxy between callers and endpoints: it matches routes,
// checks keys and limits, chooses an endpoint, retries what may be sent again, and resumes
// streams at another endpoint.
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

// RequestMeta is what the headers of a caller's request say, besides path and body.
type RequestMeta struct {
	// ID is set by the caller and differs for each of its attempts.
	ID string
	// Key is the bearer key, empty if there is none.
	Key string
	// Timeout is how long the caller waits; HasTimeout is false if it did not say.
	Timeout    time.Duration
	HasTimeout bool
	Model      string
	// PromptTokens and MaxTokens, the longest answer, are set if HasTokens.
	PromptTokens, MaxTokens int
	HasTokens               bool
	// ExpectedTokens is the caller's estimate of the answer's length.
	ExpectedTokens int
	// Prefix holds the prompt's parts in order; the last is specific to the request.
	Prefix []PromptPart
	// LastEventID is the id of the last event of a stream that the caller has received.
	LastEventID string
	// Resumes is the ID of the attempt that brought the first event of that stream, empty if the
	// caller names none.
	Resumes string
	// ReservedHeaders is how many headers the caller sent that only the system may set;
	// they are not forwarded.
	ReservedHeaders int
}

// AttemptMeta is what a single attempt adds to a request.
type AttemptMeta struct {
	// EndpointID is the instance that the attempt is for; any other must refuse it.
	EndpointID string
	// Remaining is the time left until the request's deadline.
	Remaining time.Duration
	Team      string
	// Priority is set if HasPriority; 0 is the most urgent.
	Priority    int
	HasPriority bool
	// LastEventID is the id of the last event received, where a stream is resumed.
	LastEventID string
	// CopyAddress and CopyHandle name the stopped run whose memory the attempt continues from, and
	// the address of the endpoint that ran it; empty if it continues from none.
	CopyAddress, CopyHandle string
}

// ResponseMeta is what the status and headers of an endpoint's response say.
type ResponseMeta struct {
	// RequestID is the id of the request that the response belongs to.
	RequestID string
	// NotRun is set if the endpoint reports that it did not run the request.
	NotRun bool
	// Moved is set if another instance now has the address.
	Moved bool
	// Signed is set if the response has the endpoint's signature.
	Signed bool
	// Notice is what the response reports about the endpoint itself.
	Notice endpoint.Notice
}

// Protocol encodes and decodes the metadata of requests and responses as headers.
type Protocol interface {
	DecodeRequest(h http.Header) (RequestMeta, error)
	EncodeAttempt(h http.Header, hop AttemptMeta)
	DecodeResponse(status int, h http.Header) ResponseMeta
	EncodeRefusal(h http.Header, id string)
}

// connectionHeaders apply to a single connection and are not forwarded.
var connectionHeaders = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length", "Expect",
}
