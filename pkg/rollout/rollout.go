// Package rollout shifts a service's requests to a new version of its endpoints as long as the
// answers of that version are good, and back if they are not. Every host splits its own requests
// (Splitter); the host that holds the lease of the duties decides on the counts of all hosts
// (Owner). The package does no I/O and reads no clock.
package rollout

import (
	"fmt"
	"time"

	"ironhollow/pkg/storeversion"
)

// Order is an operator's order to send a service's requests to the endpoints of a version.
type Order struct {
	Service string
	// Target is the version of the software that is to get the requests.
	Target string
	// Period is the time within which the order is completed or reverted.
	Period time.Duration
	// ID is the version of the operator's row: a later order has a higher one.
	ID int64
}

// Check returns an error if the order is invalid.
func (o Order) Check() error {
	switch {
	case o.Service == "":
		return fmt.Errorf("rollout: order %d names no service", o.ID)
	case o.Target == "":
		return fmt.Errorf("rollout: order %d of service %q names no version", o.ID, o.Service)
	case o.Period <= 0:
		return fmt.Errorf("rollout: order %d of service %q has a period of %v", o.ID, o.Service, o.Period)
	}
	return nil
}

// RenumberedFrom reports whether o can be an earlier order whose ID changed in a restore of the store:
// service, target and period are equal and the ID is from a later era.
func (o Order) RenumberedFrom(earlier Order) bool {
	return o.Service == earlier.Service && o.Target == earlier.Target && o.Period == earlier.Period &&
		storeversion.Era(o.ID) > storeversion.Era(earlier.ID)
}

// Phase is the progress of an order. It never goes back.
type Phase int

// The phases in order; an order ends as Completed or Reverted.
const (
	// Trying sends the target a share that is within what a bad version may get.
	Trying Phase = iota + 1
	// Shifting raises that share in steps.
	Shifting
	// Draining sends the target all requests while the others finish theirs.
	Draining
	// Completed lets the platform stop the other endpoints.
	Completed
	// Reverted sends the target no requests.
	Reverted
)

// String returns the name of the phase.
func (p Phase) String() string {
	switch p {
	case Trying:
		return "trying"
	case Shifting:
		return "shifting"
	case Draining:
		return "draining"
	case Completed:
		return "completed"
	case Reverted:
		return "reverted"
	}
	return "unknown"
}

// Ended reports whether the phase is final.
func (p Phase) Ended() bool { return p == Completed || p == Reverted }

// State is an order's row in the store.
type State struct {
	Order Order
	Phase Phase
	// Started is when the order was first received, by the store's clock.
	Started time.Duration
	// Reason is what led to the phase, such as the evidence or a lack of endpoints, for operators.
	Reason string
}

// Bounds limit the requests to a version that turns out bad. The operator sets them.
type Bounds struct {
	// Share is the fraction of a service's requests in an order's period that may reach a bad
	// version, Slack the number of requests in addition.
	Share, Slack float64
}

// Enabled reports whether roll-outs may be ordered.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Directive is what the owner of an order sends to all hosts several times a second.
type Directive struct {
	Service string
	// Order is the ID of the order, Target and Period are the order's: hosts that are cut off from
	// the store learn of it from the directive.
	Order  int64
	Target string
	Period time.Duration
	Phase  Phase
	// Share is the fraction of the requests that goes to the target.
	Share float64
	// Slack is the number of requests that a host may send to the target in excess of Share.
	Slack int
	// Epoch is that of the lease under which the owner acts. Number grows within an epoch with each
	// change of the directive.
	Epoch, Number int64
	// Suspects are endpoints of the target that are excluded, as they may be faulty themselves.
	Suspects []string
	// SlowThresholds are those over all hosts, for hosts with too few answers of their own.
	SlowThresholds []SlowThreshold
}

// SlowThreshold is the value above which answers of a kind are slow, and the number of answers of
// the other versions that it was computed from.
type SlowThreshold struct {
	Kind    Kind
	Value   float64
	Answers int
}

// order returns the order that a directive applies to.
func (d Directive) order() Order {
	return Order{Service: d.Service, Target: d.Target, Period: d.Period, ID: d.Order}
}

// newer reports whether a directive replaces another of the same order.
func (d Directive) newer(previous Directive) bool {
	if d.Epoch != previous.Epoch {
		return d.Epoch > previous.Epoch
	}
	return d.Number >= previous.Number
}

// Count is the number of answers of one kind, and of the bad ones among them: failures, or answers
// that took several times as long as those of the previous version.
type Count struct {
	Answers, Bad int
}

func (c *Count) add(other Count) {
	c.Answers += other.Answers
	c.Bad += other.Bad
}

// since returns what has been counted after an earlier count. A count may have decreased, if
// attempts that were overdue were answered in time after all.
func (c Count) since(earlier Count) Count {
	answers := max(c.Answers-earlier.Answers, 0)
	return Count{answers, min(max(c.Bad-earlier.Bad, 0), answers)}
}

// Kind identifies what is compared between two versions: the failures among a route's answers, or
// how long a part of the answers takes. It is a hash of the route's name, with the part in its
// lowest bits.
type Kind uint32

// Tally is the count of one kind of answers at one endpoint of the target, or at all endpoints of
// other versions if Endpoint is empty.
type Tally struct {
	Kind     Kind
	Endpoint string
	Count
}

// Report is what one host sends to the owner of an order. The numbers of requests only grow.
type Report struct {
	Service string
	Order   int64
	// Phase is the phase that the host has entered, Epoch and Number are those of the latest
	// directive applied.
	Phase         Phase
	Epoch, Number int64
	// Requests is the number of requests for the service since the host received the order,
	// TargetRequests the number of attempts that were sent to the target.
	Requests, TargetRequests int
	// OthersRunning is the number of attempts in progress at endpoints of other versions.
	OthersRunning int
	// LongestOther is the longest time that such an attempt has recently taken.
	LongestOther   time.Duration
	Tallies        []Tally
	SlowThresholds []SlowThreshold
}
