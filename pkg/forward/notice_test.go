package forward_test

import (
	"strings"
	"testing"
)

const (
	wholeLeaving  = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Length: 4\r\n\r\ntext"
	failedLeaving = "HTTP/1.1 500 Internal Server Error\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Length: 0\r\n\r\n"
	turnedLeaving = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nLeaving: yes\r\nContent-Length: 0\r\n\r\n"
	streamLeaving = "HTTP/1.1 200 OK\r\nId: %id\r\nSigned: yes\r\nLeaving: yes\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n"
	turnedRest    = "HTTP/1.1 503 Service Unavailable\r\nId: %id\r\nNot-Run: yes\r\nRest: 2s\r\nContent-Length: 0\r\n\r\n"
)

// A request's line says what each answer said of its endpoint, and nothing where bytes
// that claim success may be anybody's.
func TestLinesSayWhatAnswersSayOfTheirEndpoint(t *testing.T) {
	unsigned := strings.Replace(wholeLeaving, "Signed: yes\r\n", "", 1)
	for _, c := range []struct{ path, answer, want string }{
		{"/safe/x", wholeLeaving, `"hop1-said":"leaves"`},
		{"/once/x", failedLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", streamLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", turnedLeaving, `"hop1-said":"leaves"`},
		{"/stream/x", turnedRest, `"hop1-said":"rest 2s"`},
		{"/once/x", unsigned, ""},
	} {
		s := newSite(t, spec(), true, text(c.answer, false))
		s.ask("POST", c.path, "body")
		line := s.firstLine()
		if c.want != "" && !strings.Contains(line, c.want) {
			t.Errorf("%s: got line %s, want %s in it", c.path, line, c.want)
		}
		if c.want == "" && strings.Contains(line, "said") {
			t.Errorf("%s: got line %s, want nothing said in it", c.path, line)
		}
	}
}
