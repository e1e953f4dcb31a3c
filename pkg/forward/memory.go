package forward

import (
	"ironhollow/pkg/bodies"
	"ironhollow/pkg/buffers"
)

const (
	// defaultMemoryLimit is assumed for a process without a memory limit.
	defaultMemoryLimit = 512 << 20
	// eventShare is the share of the memory limit that incomplete events longer than streamBufferBytes may take, as a
	// divisor.
	eventShare = 16
	// bodyPercent is the share of the memory limit that the bodies of requests may take, longBodyPercent that of the long
	// ones among them. While a body is read and forwarded, it takes its own size and little more.
	bodyPercent, longBodyPercent = 40, 34
)

// LimitMemory sets the memory limit of the process in bytes, 0 for none. What requests hold is bounded by shares
// of it. It must be called before the first request.
func (f *Forwarder) LimitMemory(bytes int64) {
	if bytes <= 0 {
		bytes = defaultMemoryLimit
	}
	f.eventBuffers = buffers.NewBudget(bytes / eventShare)
	f.bodies = bodies.New(bodies.Limits{Total: bytes * bodyPercent / 100, Long: bytes * longBodyPercent / 100})
}

// BodyBytes returns the memory that the bodies of requests take.
func (f *Forwarder) BodyBytes() int64 { return f.bodies.Used() }
