package limit

import (
	"context"
	"time"
)

// PermitHolder acquires and releases the permit of one request, repeatedly if needed. It is
// not safe for concurrent use.
type PermitHolder struct {
	limiter *ConcurrencyLimiter
	request PermitRequest
	permit  Permit
	held    bool
}

// NewPermitHolder returns a holder without a permit.
func NewPermitHolder(limiter *ConcurrencyLimiter, request PermitRequest) *PermitHolder {
	return &PermitHolder{limiter: limiter, request: request}
}

// Acquire waits for the permit; see ConcurrencyLimiter.Acquire.
func (h *PermitHolder) Acquire(ctx context.Context) error {
	permit, err := h.limiter.Acquire(ctx, h.request, time.Now())
	h.permit, h.held = permit, err == nil
	return err
}

// Release releases the permit, if it is held.
func (h *PermitHolder) Release() {
	if h.held {
		h.permit.Release(time.Now())
		h.held = false
	}
}

// Reacquire releases the permit and queues for another one.
func (h *PermitHolder) Reacquire(ctx context.Context) error {
	h.Release()
	return h.Acquire(ctx)
}
