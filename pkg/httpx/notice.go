package httpx

import (
	"net/http"
	"strconv"

	"ironhollow/pkg/endpoint"
)

// HeaderRetryAfter is when to come back, in seconds (RFC 9110, 10.2.3); fractions are
// understood.
const HeaderRetryAfter = "Retry-After"

// HeaderLimit is how many requests a second a back end takes from all entries together, a
// decimal number, in each answer while it limits them.
const HeaderLimit = "X-Request-Limit"

// NoticeOf reads from an answer what a back end says of itself: the backoff that it asks
// for and the limit that it names.
func NoticeOf(status int, h http.Header) endpoint.Notice {
	return RequestedBackoff(status, h).WithLimit(h.Get(HeaderLimit))
}

// RequestedBackoff reads how long the sender of an answer asks for no other request. Only
// refusals ask for that; what can't be read asks for nothing.
func RequestedBackoff(status int, h http.Header) endpoint.Notice {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return endpoint.Notice{}
	}
	seconds, _ := strconv.ParseFloat(h.Get(HeaderRetryAfter), 64)
	return endpoint.Notice{Backoff: endpoint.BackoffFromSeconds(seconds)}
}
