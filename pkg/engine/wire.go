package engine

// Paths and headers of the engine protocol, including extensions of the chat completions API.
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

	// HeaderLoadFormat requests a load report with the response; HeaderLoad is the report. They
	// are the standard headers for endpoint load metrics.
	HeaderLoadFormat = "Endpoint-Load-Metrics-Format"
	HeaderLoad       = "Endpoint-Load-Metrics"
	LoadFormat       = "JSON"
)

// Chunk is the data of an event of a streamed chat completion.
type Chunk struct {
	ID      string        `json:"id"`
	Object  string        `json:"object"`
	Created int64         `json:"created"`
	Model   string        `json:"model"`
	Choices []ChunkChoice `json:"choices"`
	Usage   *ChunkUsage   `json:"usage,omitempty"`
}

// ChunkChoice is the only choice of a chunk.
type ChunkChoice struct {
	Index        int        `json:"index"`
	Delta        ChunkDelta `json:"delta"`
	FinishReason *string    `json:"finish_reason"`
}

// ChunkDelta is the text that a chunk adds to the answer.
type ChunkDelta struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

// ChunkUsage is the token usage of a request.
type ChunkUsage struct {
	PromptTokens     int           `json:"prompt_tokens"`
	CompletionTokens int           `json:"completion_tokens"`
	TotalTokens      int           `json:"total_tokens"`
	Details          *TokenDetails `json:"prompt_tokens_details,omitempty"`
}

// TokenDetails is the breakdown of the prompt tokens.
type TokenDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

// WireReport is the JSON form of a Report.
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

// ToReport returns the Report with the same values.
func (w WireReport) ToReport() Report {
	return Report{
		Sequence: w.Sequence, Incarnation: w.Incarnation, Model: w.Model, Version: w.Version, Adapter: w.Adapter,
		Running: w.Running, Waiting: w.Waiting, Slots: w.Slots, QueuedTokens: w.QueuedTokens, FreeTokens: w.FreeTokens,
		Leaving: w.Leaving, Counter: w.Counter, Epoch: w.Epoch,
	}
}

// WireOrder is the JSON form of an Order.
type WireOrder struct {
	Epoch   int64  `json:"epoch"`
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
}

// WireImport is the request body of an import: it makes an engine fetch the KV cache of a stream
// from another engine.
type WireImport struct {
	Request string `json:"request"`
	Source  string `json:"source"`
}

// WireImportResult is the response body of an import.
type WireImportResult struct {
	Tokens int `json:"tokens"`
}
