package forward_test

import (
	"strconv"
	"testing"
	"time"
)

// lostLinks are the links of a host that is cut.
type lostLinks struct{}

func (lostLinks) IsCut() bool         { return true }
func (lostLinks) NoneReachable() bool { return false }
func (lostLinks) Settle(func())       {}

// Guards against requests that count as crashing endpoints because this host has lost its links to them.
func TestFailuresOfCutHostAreNoCrashes(t *testing.T) {
	const endpoints = 4
	s := newHarness(t, spec(), true)
	s.forwarder.UseLinks(lostLinks{})
	for i := range endpoints {
		s.addTruncatingEndpoint("e" + strconv.Itoa(i))
	}
	for i := range endpoints {
		s.send("POST", "/once/x", crashingBody, "Id", "try-"+strconv.Itoa(i))
		time.Sleep(exitDetection)
	}
	if got := s.crashingRuns(); got != endpoints {
		t.Errorf("runs of a request whose connections break: got %d, want %d, as none is evidence", got, endpoints)
	}
	if got := s.watch.SuspectedEndpoints(time.Now()); len(got) != 0 {
		t.Errorf("suspected endpoints: got %v, want none", got)
	}
}
