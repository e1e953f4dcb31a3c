package forward

import (
	"context"
	"maps"
	"sync"
	"time"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/route"
	"ironhollow/pkg/slotqueue"
)

// slotPollInterval is how often the first waiting request tries again without a slot being released:
// shares of slots also grow with time.
const slotPollInterval = 20 * time.Millisecond

// slotQueues holds the requests that wait for a slot of a fragile endpoint, by service and, for those
// that continue streams, by the release that may take them: its slots bound their wait. It is safe for
// concurrent use.
type slotQueues struct {
	mu        sync.RWMutex
	byService map[string]map[origin.Source]*slotqueue.Queue
}

func newSlotQueues() *slotQueues {
	return &slotQueues{byService: map[string]map[origin.Source]*slotqueue.Queue{}}
}

// get returns the queue of requests that may go to a source, or to any if it is zero; nil if none has
// waited.
func (q *slotQueues) get(service string, only origin.Source) *slotqueue.Queue {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.byService[service][only]
}

func (q *slotQueues) getOrCreate(service string, only origin.Source) *slotqueue.Queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	queue, ok := q.byService[service][only]
	if !ok {
		queue = &slotqueue.Queue{}
		// The maps in use are never changed.
		queues := maps.Clone(q.byService[service])
		if queues == nil {
			queues = map[origin.Source]*slotqueue.Queue{}
		}
		queues[only] = queue
		q.byService[service] = queues
	}
	return queue
}

// wakeNext lets the next waiting request of each queue of a target try again.
func (q *slotQueues) wakeNext(target route.Target) {
	q.mu.RLock()
	queues := q.byService[target.Service]
	q.mu.RUnlock()
	for _, queue := range queues {
		queue.WakeNext()
	}
}

// onlySource returns the source whose endpoints alone may take the request, zero if there is none.
func (c *call) onlySource() origin.Source {
	if c.origin == nil {
		return origin.Source{}
	}
	return *c.origin
}

// chooseWithSlot picks the next endpoint. If this host may send no more to the service's fragile
// endpoints, the request waits for a slot, behind those that wait already.
func (c *call) chooseWithSlot(ctx context.Context) (route.Choice, bool) {
	c.isUnconfirmed = false
	if ctx.Err() != nil {
		return route.Choice{}, false
	}
	queue := c.f.slotQueues.get(c.service.Name, c.onlySource())
	mustQueue := queue != nil && queue.Len() > 0
	if !mustQueue {
		if choice, ok := c.chooseNow(); ok || c.retryAfter > 0 {
			return choice, ok
		}
	}
	now := c.f.clock()
	room, isBounded := c.f.router.Room(c.query(), now)
	switch {
	case isBounded:
		c.isDemandCounted = !mustQueue
		defer func() { c.isDemandCounted = false }()
		return c.waitForSlot(ctx, slotqueue.Capacity(room), now)
	case mustQueue:
		return c.chooseNow()
	default:
		return route.Choice{}, false
	}
}

// waitForSlot waits until this host may send the request to an endpoint. ok is false, and
// slotRetryAfter is set, if that is not expected in time or does not happen.
func (c *call) waitForSlot(ctx context.Context, capacity slotqueue.Capacity, now time.Time) (choice route.Choice, ok bool) {
	queue := c.f.slotQueues.getOrCreate(c.service.Name, c.onlySource())
	woken := make(chan struct{}, 1)
	entry := queue.NewEntry(c.priority, now, func() { woken <- struct{}{} })
	request := slotqueue.Request{Objective: c.route.LatencyObjective, Elapsed: now.Sub(c.started), Priority: c.priority}
	if c.logEntry.status > 0 {
		// The response has begun. The rest of a stream that broke off is not measured against the
		// objective.
		request.Objective, request.Elapsed = 0, 0
	}
	maxWait, retryAfter, ok := request.MaxWait(queue.CountAhead(entry), capacity)
	if !ok {
		c.giveUpSlot(retryAfter)
		return choice, false
	}
	queue.Add(entry)
	expired := time.NewTimer(maxWait)
	defer expired.Stop()
	poll := time.NewTicker(slotPollInterval)
	defer poll.Stop()
	for {
		select {
		case <-woken:
		case <-poll.C:
			if !queue.RemoveFirst(entry) {
				continue
			}
		case <-ctx.Done():
			leave(queue, entry)
			return choice, false
		case <-expired.C:
			leave(queue, entry)
			c.giveUpSlot(retryAfter)
			return choice, false
		}
		if choice, ok = c.chooseNow(); ok {
			return choice, true
		}
		c.isDemandCounted = true
		if c.retryAfter > 0 {
			queue.WakeNext()
			return choice, false
		}
		if len(c.avoid) > 0 {
			// The slot that is free may be at an endpoint that this request avoids.
			queue.WakeAfter(entry)
		}
		queue.Add(entry)
	}
}

// giveUpSlot records that the request finds no slot in time, and its work unless it was counted by a
// choice.
func (c *call) giveUpSlot(retryAfter time.Duration) {
	c.slotRetryAfter = retryAfter
	if !c.isDemandCounted && len(c.avoid) == 0 {
		c.f.router.RecordRefusal(c.query(), c.f.clock())
	}
}

// leave removes an entry, or wakes the next one if the entry has just been woken.
func leave(queue *slotqueue.Queue, entry *slotqueue.Entry) {
	if !queue.Remove(entry) {
		queue.WakeNext()
	}
}
