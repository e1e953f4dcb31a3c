package endpoint

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is what a response reports about the endpoint itself, apart from the request. The zero value
// reports nothing.
type Notice struct {
	// Refused is set if the endpoint rejected the request without running it.
	Refused bool
	// Moved is set if another instance has the endpoint's address.
	Moved bool
	// Leaving is set if the endpoint stops soon and accepts no new work.
	Leaving bool
	// Backoff is how long the receiver of the response is asked to send no requests to the
	// endpoint; 0 for no backoff. It is never negative and at most MaxBackoff.
	Backoff time.Duration
	// Limit is the number of requests per second that the endpoint accepts from all hosts
	// together, until a response sets another limit or none; 0 if the response sets none.
	Limit Limit
	// BadLimit is set if the limit in the response cannot be parsed. The previous limit stays in
	// force.
	BadLimit bool
	// MaxRejections is the number of requests that the endpoint can reject within a second for
	// lack of room; it fails if it has to reject more. It applies until a response sets another
	// number or none; 0 if the response sets none.
	MaxRejections int
	// BadMaxRejections is set if the number in the response cannot be parsed. The previous number
	// stays in force.
	BadMaxRejections bool
}

// Limit is a number of requests per second: 0 for no limit, otherwise between MinLimit and
// MaxLimit.
type Limit float64

// Bounds of the limit that an endpoint sets. A limit of zero becomes MinLimit, so that an
// occasional request finds out when it is lifted.
const (
	MinLimit Limit = 0.05
	MaxLimit Limit = 1e6
)

// WithLimit returns the notice with the limit of a response: requests per second as a decimal
// number, empty for no limit.
func (n Notice) WithLimit(text string) Notice {
	if text == "" {
		return n
	}
	perSecond, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(perSecond) || perSecond < 0 {
		n.BadLimit = true
		return n
	}
	n.Limit = min(max(Limit(perSecond), MinLimit), MaxLimit)
	return n
}

// Bounds of the number of rejections that an endpoint sets. An endpoint that stands none is treated
// as one that stands one, as requests have to be sent to it.
const (
	minMaxRejections = 1
	maxMaxRejections = 1_000_000
)

// WithMaxRejections returns the notice with the number of rejections of a response: a decimal
// number, empty for none.
func (n Notice) WithMaxRejections(text string) Notice {
	if text == "" {
		return n
	}
	count, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil || math.IsNaN(count) || count < 0 {
		n.BadMaxRejections = true
		return n
	}
	n.MaxRejections = int(min(max(count, minMaxRejections), maxMaxRejections))
	return n
}

// IsMaxRejections reports whether a number of rejections is one that WithMaxRejections returns.
func IsMaxRejections(count int) bool { return count >= minMaxRejections && count <= maxMaxRejections }

// MaxBackoff bounds a backoff, so that an endpoint that asks for an absurdly long one is tried
// again.
const MaxBackoff = time.Hour

// IsZero reports whether the response states nothing about its endpoint.
func (n Notice) IsZero() bool { return n == Notice{} }

// String describes the notice for log lines, without the refusal. It may be empty.
func (n Notice) String() string {
	var parts []string
	if n.Moved {
		parts = append(parts, "not there")
	}
	if n.Leaving {
		parts = append(parts, "leaves")
	}
	if n.Backoff > 0 {
		parts = append(parts, "backoff "+n.Backoff.String())
	}
	if n.Limit > 0 {
		parts = append(parts, "limit "+strconv.FormatFloat(float64(n.Limit), 'g', -1, 64)+"/s")
	}
	if n.BadLimit {
		parts = append(parts, "unreadable limit")
	}
	if n.MaxRejections > 0 {
		parts = append(parts, strconv.Itoa(n.MaxRejections)+" rejections/s")
	}
	if n.BadMaxRejections {
		parts = append(parts, "unreadable number of rejections")
	}
	return strings.Join(parts, ", ")
}

// BackoffFromSeconds returns the backoff for a number of seconds in a response. A value that is
// not a positive number gives no backoff.
func BackoffFromSeconds(seconds float64) time.Duration {
	switch {
	case seconds >= MaxBackoff.Seconds():
		return MaxBackoff
	case seconds > 0:
		return time.Duration(seconds * float64(time.Second))
	default:
		// This case includes NaN.
		return 0
	}
}
