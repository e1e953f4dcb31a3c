package httpx

import (
	"net/http"
	"strconv"

	"ironhollow/pkg/endpoint"
)

// HeaderRetryAfter is when to come back, in seconds (RFC 9110, 10.2.3); fractions are
// understood.
const HeaderRetryAfter = "Retry-After"

// HeaderRequestLimit is how many requests a second a back end takes from all entries together, a
// decimal number, in each answer while it limits them.
const HeaderRequestLimit = "X-Request-Limit"

// ParseNotice reads from an answer what a back end says of itself: the backoff that it asks
// for and the limit that it names.
func ParseNotice(status int, h http.Header) endpoint.Notice {
	return ParseBackoff(status, h).WithLimit(h.Get(HeaderRequestLimit))
}

// ParseBackoff reads how long the sender of an answer asks for no other request. Only
// refusals ask for that; what can't be read asks for nothing.
func ParseBackoff(status int, h http.Header) endpoint.Notice {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return endpoint.Notice{}
	}
	seconds, _ := strconv.ParseFloat(h.Get(HeaderRetryAfter), 64)
	return endpoint.Notice{Backoff: endpoint.BackoffFromSeconds(seconds)}
}
