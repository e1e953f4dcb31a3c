package engine_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"ironhollow/pkg/engine"
)

func read(text string) ([]engine.Frame, error) {
	return engine.ReadFrames(io.NopCloser(strings.NewReader(text)))
}

func event(id, content string) string {
	return fmt.Sprintf("id: %s\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", id, content)
}

func TestReadFrames(t *testing.T) {
	long := strings.Repeat("x", 40_000)
	text := event("2.0", "a\n\"b") + ": a comment\n\n" + event("2.1", long) +
		"id: 2.2\r\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":5,\"completion_tokens\":2,\"prompt_tokens_details\":{\"cached_tokens\":3}}}\r\n\r\n" +
		"data: [DONE]\n\n"
	got, err := read(text)
	if err != nil || len(got) != 3 {
		t.Fatalf("got %d frames, %v; want 3", len(got), err)
	}
	if got[0].Text != "a\n\"b" || got[1].Text != long || got[1].Offset != 1 || got[1].Attempt != 2 {
		t.Errorf("got %+v and a second frame of %d characters", got[0], len(got[1].Text))
	}
	want := engine.Frame{Attempt: 2, Offset: 2, FinishReason: "stop", Usage: engine.Usage{PromptTokens: 5, CompletionTokens: 2, CachedTokens: 3}}
	if got[2] != want {
		t.Errorf("got %+v, want %+v", got[2], want)
	}
}

func TestBadStreamsAreRejected(t *testing.T) {
	cases := map[string]string{
		"no end marker":     event("1.0", "a"),
		"truncated event":   event("1.0", "a") + "id: 1.1\nda",
		"no id":             "data: {}\n\ndata: [DONE]\n\n",
		"a bad id":          event("1", "a") + "data: [DONE]\n\n",
		"a negative offset": event("1.-4", "a") + "data: [DONE]\n\n",
		"no JSON":           "id: 1.0\ndata: {\n\n",
		"line too long":     "data: " + strings.Repeat("x", 3<<20),
	}
	for name, text := range cases {
		if _, err := read(text); err == nil {
			t.Errorf("%s: got no error", name)
		}
	}
}

func FuzzFrames(f *testing.F) {
	f.Add(event("1.0", "a") + "data: [DONE]\n\n")
	f.Add("id: 1.1\r\ndata: [DONE]")
	f.Fuzz(func(t *testing.T, text string) {
		frames, _ := read(text)
		for _, frame := range frames {
			if frame.Offset < 0 {
				t.Errorf("got offset %d", frame.Offset)
			}
		}
	})
}
