package httpx

import (
	"net/http"
	"strconv"

	"ironhollow/pkg/endpoint"
)

// HeaderRetryAfter is when to come back, in seconds (RFC 9110, 10.2.3); fractions are
// understood.
const HeaderRetryAfter = "Retry-After"

// RestAsked reads from an answer how long its sender wants no other request: only one
// that turns a request away asks for that. What can't be read asks for nothing.
func RestAsked(status int, h http.Header) endpoint.Notice {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return endpoint.Notice{}
	}
	seconds, _ := strconv.ParseFloat(h.Get(HeaderRetryAfter), 64)
	return endpoint.Notice{Rest: endpoint.RestOf(seconds)}
}
