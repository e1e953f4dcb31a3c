package endpoint

import (
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
	// Rest is how long the endpoint wants no request from who got the answer, 0 for
	// no such wish; never negative, MostRest at most.
	Rest time.Duration
}

// MostRest bounds a rest: an endpoint that names an absurd time is asked again.
const MostRest = time.Hour

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
	if n.Rest > 0 {
		said = append(said, "rest "+n.Rest.String())
	}
	return strings.Join(said, ", ")
}

// RestOf returns the rest of a number of seconds as an answer gives it; what is no
// length of time is none.
func RestOf(seconds float64) time.Duration {
	switch {
	case seconds >= MostRest.Seconds():
		return MostRest
	case seconds > 0:
		return time.Duration(seconds * float64(time.Second))
	default:
		// Also not a number.
		return 0
	}
}
