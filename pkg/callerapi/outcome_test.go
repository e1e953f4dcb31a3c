package callerapi_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"

	"ironhollow/pkg/endpoint"
)

// Guards against a call that one endpoint received and that counts as not run, as the next endpoint refused the connection.
func TestCallThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	s := newSite(t)
	listeners := make([]net.Listener, 2)
	for i := range listeners {
		listeners[i] = serveScript(t, func(net.Conn, *http.Request) { _ = listeners[1-i].Close() })
		s.infos = append(s.infos, endpoint.Info{
			ID: "p" + strconv.Itoa(i), Incarnation: 1, State: endpoint.Live, Kind: endpoint.Plain, Service: "ledger", Address: listeners[i].Addr().String(),
		})
	}
	got := s.newEntry(t, "n1").sendRaw(t, http.MethodPost, repeated, "HTTP/1.1", "", "x")
	if outcome := got.header.Get("Ironhollow-Outcome"); got.err != nil || outcome != "unknown" {
		t.Errorf("got %+v, want the outcome unknown", got)
	}
}
