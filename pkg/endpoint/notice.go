package endpoint

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Notice is what an endpoint's answer says of the endpoint itself, beside what it
// says of the request. The zero value says nothing.
type Notice struct {
	// Refused says that the answer turns its request away unrun.
	Refused bool
	// Moved says that another instance has the endpoint's address.
	Moved bool
	// Leaving says that the endpoint ends soon and takes no new work.
	Leaving bool
	// Backoff is how long the endpoint asks the receiver of the answer for no request, 0 for
	// not at all; never negative, MaxBackoff at most.
	Backoff time.Duration
	// Limit is how many requests a second the endpoint takes from all hosts together,
	// until an answer names another limit or none; 0 where the answer names none.
	Limit Limit
	// BadLimit says that the answer names a limit that cannot be read: the one before
	// holds.
	BadLimit bool
}

// Limit is a number of requests a second: 0 for no limit, else between MinLimit and
// MaxLimit.
type Limit float64

// Bounds of a limit that an endpoint names. One of zero is MinLimit, so that a request
// now and then finds out when it is lifted.
const (
	MinLimit Limit = 0.05
	MaxLimit Limit = 1e6
)

// WithLimit returns the notice with a limit as an answer gives it: requests a second, a
// decimal number; empty for no limit.
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

// MaxBackoff bounds a backoff: an endpoint that names an absurd time is asked again.
const MaxBackoff = time.Hour

// IsZero reports whether the answer says nothing of its endpoint.
func (n Notice) IsZero() bool { return n == Notice{} }

// String names what is said beside a refusal, for log lines; it may be empty.
func (n Notice) String() string {
	var said []string
	if n.Moved {
		said = append(said, "not there")
	}
	if n.Leaving {
		said = append(said, "leaves")
	}
	if n.Backoff > 0 {
		said = append(said, "backoff "+n.Backoff.String())
	}
	if n.Limit > 0 {
		said = append(said, "limit "+strconv.FormatFloat(float64(n.Limit), 'g', -1, 64)+"/s")
	}
	if n.BadLimit {
		said = append(said, "unreadable limit")
	}
	return strings.Join(said, ", ")
}

// BackoffFromSeconds returns the backoff of a number of seconds as an answer gives it; what is no
// length of time is none.
func BackoffFromSeconds(seconds float64) time.Duration {
	switch {
	case seconds >= MaxBackoff.Seconds():
		return MaxBackoff
	case seconds > 0:
		return time.Duration(seconds * float64(time.Second))
	default:
		// Also not a number.
		return 0
	}
}
