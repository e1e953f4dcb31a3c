package load_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"ironhollow/pkg/load"
)

// Guards against a truncated answer that is counted as a whole one, or as a call that ran to its end.
func TestTruncatedAnswersAreNotCountedAsWhole(t *testing.T) {
	const event = `data: {"choices":[{"delta":{"content":"a"}}]}` + "\n\n"
	for name, c := range map[string]struct {
		kind load.Kind
		// encoding is the Transfer-Encoding that the handler sets; isBroken makes it end without a last chunk.
		outcome, encoding, body string
		isBroken                bool
		wantWhole, wantUnknown  bool
		wantOutcome             string
	}{
		"call, unmarked end":                 {load.KindCall, "unknown", "identity", "answer", false, false, true, "unknown"},
		"call, unmarked end with done":       {load.KindCall, "done", "identity", "answer", false, false, true, "unknown"},
		"call, broken":                       {load.KindCall, "done", "", "answer", true, false, false, "unknown"},
		"call, whole":                        {load.KindCall, "done", "", "answer", false, true, false, "done"},
		"stream, unmarked end":               {load.KindStream, "", "identity", event, false, false, false, ""},
		"stream, chunked without its marker": {load.KindStream, "", "", event, false, false, false, ""},
		"stream, unmarked inside an event":   {load.KindStream, "", "identity", event + "data: [DO", false, false, false, ""},
		"stream, unmarked end with marker":   {load.KindStream, "", "identity", event + "data: [DONE]\n\n", false, true, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var server *httptest.Server
			server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/v1/entries" {
					_, _ = fmt.Fprintf(w, `{"entries":[{"address":%q}],"keep_seconds":60}`, server.Listener.Addr())
					return
				}
				w.Header().Set("Ironhollow-Outcome", c.outcome)
				if c.encoding != "" {
					w.Header().Set("Transfer-Encoding", c.encoding)
				}
				_, _ = w.Write([]byte(c.body))
				_ = http.NewResponseController(w).Flush()
				if c.isBroken {
					panic(http.ErrAbortHandler)
				}
			}))
			t.Cleanup(server.Close)
			source := load.Source{Kind: c.kind, Service: "s", Team: "t", Rate: 50, MaxTokens: 1, Check: func(load.Prompt, string, string) string { return "" }}
			report := load.Run(t.Context(), []load.Source{source}, []string{server.Listener.Addr().String()}, server.Client(), 100*time.Millisecond, 1)
			got := report.Sources[0]
			want := got
			want.Succeeded, want.Unknown, want.Wrong = 0, 0, 0
			switch {
			case c.wantWhole:
				want.Succeeded = got.Sent
			case c.wantUnknown:
				want.Unknown = got.Sent
			default:
				want.Wrong = got.Sent
			}
			if got.Sent == 0 || got.Succeeded != want.Succeeded || got.Unknown != want.Unknown || got.Wrong != want.Wrong {
				t.Errorf("of %d: got %d whole, %d unknown, %d wrong, want %d, %d, %d", got.Sent, got.Succeeded, got.Unknown, got.Wrong, want.Succeeded, want.Unknown, want.Wrong)
			}
			for key, outcome := range report.CallOutcomes {
				if outcome != c.wantOutcome {
					t.Errorf("outcome of %s: got %q, want %q", key, outcome, c.wantOutcome)
				}
			}
		})
	}
}
