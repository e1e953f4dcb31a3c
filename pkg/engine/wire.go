package engine

// Paths, headers and members of the engines' protocol beyond the usual one.
const (
	PathChat    = "/v1/chat/completions"
	PathStreams = "/v1/streams/"
	PathImport  = "/v1/kv/import"
	PathLoad    = "/v1/load"
	PathOrders  = "/v1/orders"

	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt"
	HeaderPriority = "X-Priority"
	HeaderDeadline = "X-Deadline-Ms"

	// HeaderLoadFormat asks for a load report with the answer, HeaderLoad is
	// the report: the usual pair of headers for endpoint load metrics.
	HeaderLoadFormat = "Endpoint-Load-Metrics-Format"
	HeaderLoad       = "Endpoint-Load-Metrics"
	LoadFormat       = "JSON"
)

// Chunk is one event of a streamed answer in the usual form.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *ChunkUsage   `json:"usage,omitempty"`
}

// ChunkChoice is the one choice of a chunk.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the text added.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkUsage is the account of tokens.
type ChunkUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *TokenDetails `json:"prompt_tokens_details,omitempty"`
}

// TokenDetails splits the prompt's tokens.
type TokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// WireReport is a load report as sent.
type WireReport struct {
	Sequence     int64  `json:"sequence"`
	Incarnation  int64  `json:"incarnation"`
	Model        string `json:"model"`
	Version      string `json:"version"`
	Adapter      string `json:"adapter"`
	Running      int    `json:"running"`
	Waiting      int    `json:"waiting"`
	Slots        int    `json:"slots"`
	QueuedTokens int    `json:"queued_tokens"`
	FreeTokens   int    `json:"free_tokens"`
	Leaving      bool   `json:"leaving"`
	Counter      int64  `json:"counter"`
	Epoch        int64  `json:"epoch"`
}

// Report maps a report.
func (w WireReport) Report() Report {
	return Report{
		Sequence: w.Sequence, Incarnation: w.Incarnation, Model: w.Model, Version: w.Version, Adapter: w.Adapter,
		Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, QueuedTokens: w.QueuedTokens, FreeTokens: w.FreeTokens,
		Leaving: w.Leaving, Counter: w.Counter, Epoch: w.Epoch,
	}
}

// WireOrder is an order as sent.
type WireOrder struct {
	Epoch   int64  `json:"epoch"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// WireImport asks an engine to fetch a stream's KV cache from another.
type WireImport struct {
	Request string `json:"request"`
	Source  string `json:"source"`
}

// WireImportResult answers an import.
type WireImportResult struct {
	Tokens int `json:"tokens"`
}
