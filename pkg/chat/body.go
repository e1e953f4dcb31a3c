// Package chat parses chat completion requests of callers and converts them to prompts for
// engines.
package chat

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"
	"github.com/tidwall/gjson"

	"ironhollow/pkg/code"
	"ironhollow/pkg/engine"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/route"
	"ironhollow/pkg/stream"
)

// Body is the parsed body of a caller's request.
type Body struct {
	service      string
	messages     json.RawMessage
	options      json.RawMessage
	maxTokens    int
	seed         int64
	hasSeed      bool
	stream       bool
	includeUsage bool
}

// Service returns the name of the service, which is the member "model".
func (b Body) Service() string { return b.service }

// Stream reports whether the caller wants the answer as a stream.
func (b Body) Stream() bool { return b.stream }

// IncludeUsage reports whether a stream is to end with the token usage.
func (b Body) IncludeUsage() bool { return b.includeUsage }

// members holds the members of the body that ironhollow evaluates. All others are only passed
// on to the engine.
type members struct {
	Model               string          `json:"model"`
	Messages            json.RawMessage `json:"messages"`
	MaxTokens           *int            `json:"max_tokens"`
	MaxCompletionTokens *int            `json:"max_completion_tokens"`
	Stream              bool            `json:"stream"`
	StreamOptions       struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	Seed *int64 `json:"seed"`
	N    *int   `json:"n"`
}

// maxNestingDepth is the maximum nesting depth of a body.
const maxNestingDepth = 32

// Parse parses a body. Its errors are code.BadBody and name the invalid member.
func Parse(data []byte) (Body, error) {
	var m members
	if err := json.Unmarshal(data, &m); err != nil {
		return Body{}, code.New(code.BadBody, err.Error())
	}
	if err := checkShape(data); err != nil {
		return Body{}, code.New(code.BadBody, err.Error())
	}
	if problem := m.validate(); problem != "" {
		return Body{}, code.New(code.BadBody, problem)
	}
	b := Body{
		service: m.Model, messages: m.Messages, stream: m.Stream, includeUsage: m.StreamOptions.IncludeUsage,
		options: data,
	}
	if m.Seed != nil {
		b.seed, b.hasSeed = *m.Seed, true
	}
	for _, limit := range []*int{m.MaxTokens, m.MaxCompletionTokens} {
		if limit != nil {
			b.maxTokens = *limit
		}
	}
	return b, nil
}

// validate returns what is wrong with the members, and an empty string if they are valid.
func (m members) validate() string {
	switch {
	case m.Model == "":
		return "model: missing; it names the service"
	case m.N != nil && *m.N != 1:
		return "n: only 1 answer can be asked for"
	case m.MaxTokens != nil && *m.MaxTokens < 1:
		return "max_tokens: must be at least 1"
	case m.MaxCompletionTokens != nil && *m.MaxCompletionTokens < 1:
		return "max_completion_tokens: must be at least 1"
	}
	return m.validateMessages()
}

// message is the part of a message that is validated. The engine checks the rest.
type message struct {
	Role string `json:"role"`
}

// validateMessages returns what is wrong with the messages, and an empty string if they are
// valid.
func (m members) validateMessages() string {
	var list []message
	if err := json.Unmarshal(m.Messages, &list); err != nil {
		return "messages: must be a list of messages"
	}
	if len(list) == 0 {
		return "messages: must not be empty"
	}
	for i, msg := range list {
		if msg.Role == "" {
			return fmt.Sprintf("messages[%d].role: missing", i)
		}
	}
	return ""
}

// checkShape returns an error if a body is nested too deeply or has a duplicate top-level
// member, which this process and the engine could interpret differently.
func checkShape(data []byte) error {
	if nestingDepth(data) > maxNestingDepth {
		return fmt.Errorf("nested deeper than %d", maxNestingDepth)
	}
	seen := map[string]bool{}
	var err error
	gjson.ParseBytes(data).ForEach(func(key, _ gjson.Result) bool {
		name := key.String()
		if seen[name] {
			err = fmt.Errorf("%s: appears twice", name)
		}
		seen[name] = true
		return err == nil
	})
	return err
}

// nestingDepth returns the maximum depth of the brackets outside strings.
func nestingDepth(data []byte) int {
	depth, deepest := 0, 0
	inString, escaped := false, false
	for _, c := range data {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped = c == '\\'
			inString = c != '"'
		case c == '"':
			inString = true
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}

// bytesPerToken is a common estimate of the length of a token of text.
const bytesPerToken = 4

// Request returns the request to a service. id is unique across the fleet. If the caller set
// no seed it is derived from id, so that each attempt generates the same answer.
func (b Body) Request(id string, s fleet.Service) stream.Request {
	seed := b.seed
	if !b.hasSeed {
		seed = SeedOf(id)
	}
	maxTokens := s.MaxTokens()
	if b.maxTokens > 0 {
		maxTokens = min(maxTokens, b.maxTokens)
	}
	return stream.Request{
		Prompt: engine.Prompt{
			RequestID: id, Model: s.Model(), Version: s.Version(), Adapter: s.Adapter(),
			Messages: b.messages, Options: b.options, MaxTokens: maxTokens, Seed: seed, Priority: s.Priority(),
		},
		Service:      s.Name(),
		PrefixHashes: route.HashPrefixes(nil, b.messages),
		PromptTokens: (len(b.messages) + bytesPerToken - 1) / bytesPerToken,
		RiskWeight:   riskWeightOf(s),
	}
}

// SeedOf returns the seed for a request that sets none. It has 52 bits, so that a JSON parser
// that reads numbers as floating point preserves it.
func SeedOf(id string) int64 { return int64(xxhash.Sum64String(id) >> 12) }

// Weights of lost work, as in route.Query.RiskWeight. That of an interactive request is higher,
// as a caller at a counter waits for every second of lost work.
const (
	riskWeightMayWait     = 1.0
	riskWeightInteractive = 4.0
)

func riskWeightOf(s fleet.Service) float64 {
	if s.MayWait() {
		return riskWeightMayWait
	}
	return riskWeightInteractive
}
