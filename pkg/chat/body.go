// Package chat reads callers' model requests in the usual form and turns them
// into prompts for engines.
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

// Body is a caller's request.
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

// Service returns the service named in the member "model".
func (b Body) Service() string { return b.service }

// Stream reports whether the caller wants the answer as a stream.
func (b Body) Stream() bool { return b.stream }

// IncludeUsage reports whether a stream is to end with its account.
func (b Body) IncludeUsage() bool { return b.includeUsage }

// members are those of the usual body that ironhollow acts on. All others are
// passed on to the engine.
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

// maxNesting bounds how deep a body may be nested.
const maxNesting = 32

// Parse reads a body. Errors are BadBody and say which member is at fault.
func Parse(data []byte) (Body, error) {
	var m members
	if err := json.Unmarshal(data, &m); err != nil {
		return Body{}, code.New(code.BadBody, err.Error())
	}
	if err := checkShape(data); err != nil {
		return Body{}, code.New(code.BadBody, err.Error())
	}
	if fault := m.fault(); fault != "" {
		return Body{}, code.New(code.BadBody, fault)
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

func (m members) fault() string {
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
	return m.messagesFault()
}

// message is checked for shape only; its content is the engine's business.
type message struct {
	Role string `json:"role"`
}

func (m members) messagesFault() string {
	var list []message
	if err := json.Unmarshal(m.Messages, &list); err != nil {
		return "messages: must be a list of messages"
	}
	if len(list) == 0 {
		return "messages: must not be empty"
	}
	for i, one := range list {
		if one.Role == "" {
			return fmt.Sprintf("messages[%d].role: missing", i)
		}
	}
	return ""
}

// checkShape stops a body that is nested too deep, or that has a member twice
// at the top: that would be read differently here and at the engine.
func checkShape(data []byte) error {
	if nesting(data) > maxNesting {
		return fmt.Errorf("nested deeper than %d", maxNesting)
	}
	seen := map[string]bool{}
	var err error
	gjson.ParseBytes(data).ForEach(func(key, _ gjson.Result) bool {
		name := key.String()
		if seen[name] {
			err = fmt.Errorf("%s: stands twice", name)
		}
		seen[name] = true
		return err == nil
	})
	return err
}

// nesting returns how deep brackets are nested outside strings.
func nesting(data []byte) int {
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

// bytesPerToken is the usual rule of thumb for text.
const bytesPerToken = 4

// Request builds the request for a service. id is unique over the fleet, and
// the seed is made from it where the caller gave none, so that an attempt after
// the first gives the same answer.
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
		RiskWeight:   stakeOf(s),
	}
}

// SeedOf returns the seed of a request that came without one: 52 bits, which
// survive readers that take numbers for floating point.
func SeedOf(id string) int64 { return int64(xxhash.Sum64String(id) >> 12) }

// Stakes of lost work: a caller at a counter waits for every second of it.
const (
	stakeWaits   = 1.0
	stakeCounter = 4.0
)

func stakeOf(s fleet.Service) float64 {
	if s.MayWait() {
		return stakeWaits
	}
	return stakeCounter
}
