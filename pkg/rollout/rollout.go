// Package rollout moves a service's requests to a new version of its endpoints as the
// answers of that version earn it, and takes them back where they do not. Every host
// splits its own requests (Switch); the one that holds the lease of the duties decides
// on what all hosts have counted (Owner). Nothing here does I/O or reads a clock.
package rollout

import (
	"fmt"
	"time"

	"ironhollow/pkg/storeversion"
)

// Order is an operator's wish that a service's requests go to endpoints of a version.
type Order struct {
	Service string
	// Target is the version of the software that is to take the requests.
	Target string
	// Period is the time within which the order is completed or reverted.
	Period time.Duration
	// ID is the version of the operator's row: a later order has a higher one.
	ID int64
}

// Check returns what is wrong with an order, nil if nothing is.
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

// Phase is how far an order is. It never goes back.
type Phase int

// The phases, in their only order; an order ends Completed or Reverted.
const (
	// Trying sends the target a part that is within what a bad version may get.
	Trying Phase = iota + 1
	// Shifting raises that part in steps.
	Shifting
	// Draining sends the target everything, while the others end what runs there.
	Draining
	// Completed lets the platform end the other endpoints.
	Completed
	// Reverted sends the target nothing.
	Reverted
)

// String names the phase.
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

// Ended reports whether nothing follows the phase.
func (p Phase) Ended() bool { return p == Completed || p == Reverted }

// State is an order's row in the store.
type State struct {
	Order Order
	Phase Phase
	// Started is when the order was first heard of, by the store's clock.
	Started time.Duration
	// Reason is the evidence or the lack that decided the phase, for operators.
	Reason string
}

// Bounds are what the operator allows a version that turns out bad.
type Bounds struct {
	// Share is the part of a service's requests in an order's period that may reach a
	// bad version, Slack the requests on top.
	Share, Slack float64
}

// Enabled reports whether roll-outs may be ordered at all.
func (b Bounds) Enabled() bool { return b.Share > 0 }

// Directive is what the owner of an order sends all hosts several times a second.
type Directive struct {
	Service string
	// Order is the ID of the order, Target and Period are the order's: hosts that are cut off from
	// the store learn of it by the directive.
	Order  int64
	Target string
	Period time.Duration
	Phase  Phase
	// Share is the part of the requests that go to the target.
	Share float64
	// Slack is the requests of a host that may go there before Share is filled.
	Slack int
	// Epoch is of the lease under which the owner acts, Number grows with each directive that
	// differs within it.
	Epoch, Number int64
	// Suspects are endpoints of the target that are left out, as they may be at fault
	// themselves.
	Suspects []string
	// SlowThresholds are what counts as slow over all hosts, for those with too few answers of their own.
	SlowThresholds []SlowThreshold
}

// SlowThreshold is the value above which answers of a kind are slow, and from how many
// answers of the other versions it was worked out.
type SlowThreshold struct {
	Kind    Kind
	Value   float64
	Answers int
}

// order returns the order that a directive applies to.
func (w Directive) order() Order {
	return Order{Service: w.Service, Target: w.Target, Period: w.Period, ID: w.Order}
}

// newer reports whether a directive replaces another of the same order.
func (w Directive) newer(held Directive) bool {
	if w.Epoch != held.Epoch {
		return w.Epoch > held.Epoch
	}
	return w.Number >= held.Number
}

// Count is answers of one kind, and the bad ones among them: failures, or those that
// took several times as long as the version before takes.
type Count struct {
	Answers, Bad int
}

func (c *Count) add(other Count) {
	c.Answers += other.Answers
	c.Bad += other.Bad
}

// since returns what has been counted after an earlier count. Sends that were overdue
// and were answered in time after all may make it less.
func (c Count) since(earlier Count) Count {
	answers := max(c.Answers-earlier.Answers, 0)
	return Count{answers, min(max(c.Bad-earlier.Bad, 0), answers)}
}

// Kind names what is compared between two versions: the failures among a route's
// answers, or how long a part of these takes. It is a hash of its name.
type Kind uint32

// Tally is the answers of one kind at one endpoint; Endpoint is empty for all that are
// not of the target.
type Tally struct {
	Kind     Kind
	Endpoint string
	Count
}

// Report is what one host tells the owner of an order. Counts only grow.
type Report struct {
	Service string
	Order   int64
	// Phase is what the host has entered, Epoch and Number are of the latest word taken.
	Phase         Phase
	Epoch, Number int64
	// Requests is the requests for the service since the host heard of the order, TargetRequests
	// those of them that were sent to the target.
	Requests, TargetRequests int
	// OthersRunning is what runs now at endpoints that are not of the target.
	OthersRunning int
	// LongestOther is the longest time that such a send has taken lately.
	LongestOther time.Duration
	Tallies []Tally
	SlowThresholds  []SlowThreshold
}
