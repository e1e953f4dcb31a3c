package httpx

import (
	"net/http"
	"strconv"
	"time"

	"ironhollow/pkg/endpoint"
)

// HeaderRetryAfter is the header with the time until the next request may be sent, in seconds
// (RFC 9110, 10.2.3). Fractions are accepted.
const HeaderRetryAfter = "Retry-After"

// HeaderRequestLimit is the header with the number of requests per second that an endpoint accepts
// from all entries together, as a decimal number. It is in each response while the limit applies.
const HeaderRequestLimit = "X-Request-Limit"

// HeaderMaxRejections is the header with the number of requests that an endpoint can reject within a
// second for lack of room before it fails, as a decimal number. It is in each response while that
// applies.
const HeaderMaxRejections = "X-Max-Rejections"

// ParseNotice returns what a response reports about the endpoint itself: the backoff and the limit
// that it asks for, and the number of rejections that it stands.
func ParseNotice(status int, h http.Header) endpoint.Notice {
	return ParseBackoff(status, h).WithLimit(h.Get(HeaderRequestLimit)).WithMaxRejections(h.Get(HeaderMaxRejections))
}

// ParseBackoff returns how long the sender of a response asks for no further requests. Only
// refusals (429 and 503) ask for that; a value that cannot be parsed means no backoff.
func ParseBackoff(status int, h http.Header) endpoint.Notice {
	if status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
		return endpoint.Notice{}
	}
	return endpoint.Notice{Backoff: RetryAfter(h)}
}

// RetryAfter returns the time that HeaderRetryAfter asks for, 0 if it is missing or malformed.
func RetryAfter(h http.Header) time.Duration {
	seconds, _ := strconv.ParseFloat(h.Get(HeaderRetryAfter), 64)
	return endpoint.BackoffFromSeconds(seconds)
}
