package engine_test

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/engine"
)

// Checks that a Refusal has the notice of the engine: the backoff from Retry-After, and whether
// it is leaving from the load report.
func TestRefusalsCarryNotices(t *testing.T) {
	for _, c := range []struct {
		status           int
		retryAfter, load string
		want             endpoint.Notice
	}{
		{503, "", "", endpoint.Notice{Refused: true}},
		{503, "1.5", "", endpoint.Notice{Refused: true, Backoff: 1500 * time.Millisecond}},
		{429, "2", `{"leaving":true}`, endpoint.Notice{Refused: true, Backoff: 2 * time.Second, Leaving: true}},
		{503, "soon", `{`, endpoint.Notice{Refused: true}},
		{409, "2", `{"leaving":true}`, endpoint.Notice{Refused: true, Leaving: true}},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Retry-After", c.retryAfter)
			w.Header().Set(engine.HeaderLoad, c.load)
			w.WriteHeader(c.status)
		}))
		_, err := engine.New(server.Client(), time.Second).Generate(t.Context(), server.Listener.Addr().String(), engine.Attempt{})
		server.Close()
		var refusal *engine.Refusal
		if !errors.As(err, &refusal) || !errors.Is(err, engine.ErrRefused) {
			t.Errorf("status %d: got %v, want a Refusal", c.status, err)
			continue
		}
		if refusal.Notice != c.want {
			t.Errorf("status %d, Retry-After %q, load report %q: got %+v, want %+v", c.status, c.retryAfter, c.load, refusal.Notice, c.want)
		}
	}
}
