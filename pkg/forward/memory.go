package forward

import "ironhollow/pkg/buffers"

// Shares of the memory limit of the process.
const (
	// defaultMemoryLimit is assumed for a process without a limit.
	defaultMemoryLimit = 512 << 20
	// eventShare is the divisor for the events that are incomplete and longer than streamBufferBytes.
	eventShare = 16
)

// LimitMemory sets the memory limit of the process in bytes, 0 for none. What requests hold is bounded by shares
// of it. It must be called before the first request.
func (f *Forwarder) LimitMemory(bytes int64) {
	if bytes <= 0 {
		bytes = defaultMemoryLimit
	}
	f.eventBuffers = buffers.NewBudget(bytes / eventShare)
}
