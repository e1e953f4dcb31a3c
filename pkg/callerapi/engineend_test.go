package callerapi_test

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"ironhollow/pkg/engine"
	"ironhollow/pkg/httpx"
)

const (
	engineHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
	chatBody   = `{"model":"talk","max_tokens":2,"messages":[{"role":"user","content":"hello"}],"stream":true}`
)

func engineToken(attempt, offset int, text string) string {
	return fmt.Sprintf("id: %d.%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", attempt, offset, text)
}

func engineFinish(attempt int) string {
	return fmt.Sprintf("id: %d.2\ndata: {\"choices\":[{\"delta\":{\"content\":\"\"},\"finish_reason\":\"length\"}]}\n\n", attempt)
}

// Guards against a stream of an engine that ended without its marker and that counts as complete.
func TestEngineStreamWithoutMarkerIsResumed(t *testing.T) {
	first := engineToken(1, 0, "a")
	for name, truncated := range map[string]string{
		"empty":             "",
		"between events":    first,
		"in an event":       first + "id: 1.1\ndata: {\"choi",
		"before blank line": strings.TrimSuffix(first, "\n"),
		"before the marker": first + engineToken(1, 1, "b") + engineFinish(1),
		"in the marker":     first + engineToken(1, 1, "b") + engineFinish(1) + "data: [DON",
	} {
		for framing, answer := range map[string]script{
			"unmarked": respond(engineHead + truncated),
			"chunked":  respond(chunkHead + chunk("\n"+truncated) + lastChunk),
		} {
			var attempts atomic.Int64
			serve := func(c net.Conn, r *http.Request) {
				if r.Method != http.MethodPost {
					return // A probe.
				}
				attempts.Add(1)
				attempt, _ := strconv.Atoi(r.Header.Get(engine.HeaderAttempt))
				if attempt == 1 {
					answer(c, r)
					return
				}
				var body struct {
					Continue []string `json:"continue"`
				}
				_ = json.NewDecoder(r.Body).Decode(&body)
				rest := ""
				for offset, text := range []string{"a", "b"} {
					if offset >= len(body.Continue) {
						rest += engineToken(attempt, offset, text)
					}
				}
				respond(engineHead+rest+engineFinish(attempt)+"data: [DONE]\n\n")(c, r)
			}
			s := newSite(t)
			s.httpEngines = engine.New(httpx.NewClient(4), time.Second)
			for i := range s.infos {
				s.infos[i].Address = serveScript(t, serve).Addr().String()
			}
			got := s.newEntry(t, "n1").sendRaw(t, http.MethodPost, "/v1/chat/completions", "HTTP/1.1", "", chatBody)
			text, _ := readEvents(got.body)
			if got.err != nil || text != "ab" || !strings.HasSuffix(got.body, "data: [DONE]\n\n") || strings.Count(got.body, "DONE") != 1 {
				t.Errorf("%s, %s: got %q and error %v, want ab with the marker", name, framing, got.body, got.err)
			}
			if attempts.Load() != 2 {
				t.Errorf("%s, %s: got %d attempts, want 2", name, framing, attempts.Load())
			}
		}
	}
}

// Guards against a prompt that crashes engines and is not quarantined, as its truncated streams have unmarked ends.
func TestEngineCrashesUnderUnmarkedEndsAreEvidence(t *testing.T) {
	const engines = 6
	var crashed atomic.Int64
	s := newSite(t)
	s.httpEngines = engine.New(httpx.NewClient(4), time.Second)
	info := s.infos[0]
	s.infos = nil
	for i := range engines {
		var listener net.Listener
		listener = serveScript(t, func(c net.Conn, r *http.Request) {
			_ = listener.Close()
			crashed.Add(1)
			respond(engineHead+engineToken(1, 0, "a"))(c, r)
		})
		info.ID, info.Address = "e"+strconv.Itoa(i), listener.Addr().String()
		s.infos = append(s.infos, info)
	}
	e := s.newEntry(t, "n1")
	for range 2 {
		got := e.sendRaw(t, http.MethodPost, "/v1/chat/completions", "HTTP/1.1", "", chatBody)
		if strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, `"error"`) {
			t.Errorf("got %q, want an error and no marker", got.body)
		}
	}
	if got, want := crashed.Load(), int64(3); got != want {
		t.Errorf("engines crashed by one prompt: got %d of %d, want %d", got, engines, want)
	}
}
