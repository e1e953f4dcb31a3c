package retry

import (
	"sync"
	"time"
)

// WindowBudget limits the retries of one node to a service, so that the retries of all nodes
// together stay below a share of the service's requests plus a slack in any span of one window's
// length. The nodes need no coordination: the share applies to the node's own requests, and the
// slack is divided by the number of nodes. It is safe for concurrent use.
type WindowBudget struct {
	share, slack float64
	bucketLength time.Duration

	mu       sync.Mutex
	services map[string]*serviceCounts
}

// bucketCount is the number of buckets in a window. The counts cover one bucket more than the
// window, so that a span that begins within a bucket is included in full.
const bucketCount = 20

// safetyFactor is the part of the bound that is used, because the clocks, and so the
// buckets, of nodes are not aligned, and nodes differ in how many other nodes they know.
const safetyFactor = 0.8

type serviceCounts struct {
	firstSends, retries [bucketCount + 1]int
	// bucket is the number of the newest bucket.
	bucket int64
}

// NewWindowBudget returns a budget of share x requests + slack in each window.
func NewWindowBudget(share, slack float64, window time.Duration) *WindowBudget {
	return &WindowBudget{share: share, slack: slack, bucketLength: window / bucketCount, services: map[string]*serviceCounts{}}
}

// RecordFirstSend counts a first send to a service.
func (w *WindowBudget) RecordFirstSend(service string, now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.currentCounts(service, now)
	c.firstSends[c.bucket%(bucketCount+1)]++
}

// Take reports whether a retry may be sent to a service, and counts it if so. nodes is the number
// of nodes that share the slack, at least 1.
func (w *WindowBudget) Take(service string, nodes int, now time.Time) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	c := w.currentCounts(service, now)
	firstSends, retries := 0, 0
	for i := range c.firstSends {
		firstSends += c.firstSends[i]
		retries += c.retries[i]
	}
	bound := safetyFactor * (w.share*float64(firstSends) + w.slack/float64(max(nodes, 1)))
	if float64(retries+1) > bound {
		return false
	}
	c.retries[c.bucket%(bucketCount+1)]++
	return true
}

// currentCounts returns a service's counts, with the buckets advanced to now.
func (w *WindowBudget) currentCounts(service string, now time.Time) *serviceCounts {
	bucket := now.UnixNano() / int64(w.bucketLength)
	c := w.services[service]
	if c == nil {
		c = &serviceCounts{bucket: bucket}
		w.services[service] = c
	}
	for range min(bucket-c.bucket, bucketCount+1) {
		c.bucket++
		c.firstSends[c.bucket%(bucketCount+1)] = 0
		c.retries[c.bucket%(bucketCount+1)] = 0
	}
	c.bucket = max(c.bucket, bucket)
	return c
}
