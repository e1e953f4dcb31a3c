package admission_test

import (
	"testing"
	"time"

	"ironhollow/pkg/admission"
)

const (
	second = time.Second
	ms     = time.Millisecond
)

func TestShouldReject(t *testing.T) {
	urgent, lessUrgent := admission.Stream{Objective: second}, admission.Stream{Objective: second, Priority: 4}
	for _, c := range []struct {
		name       string
		stream     admission.Stream
		estimate   admission.QueueEstimate
		reject     bool
		retryAfter time.Duration
	}{
		{"no objective", admission.Stream{}, admission.QueueEstimate{Queue: time.Hour, MinQueue: time.Hour}, false, 0},
		{"no queue", urgent, admission.QueueEstimate{Processing: 100 * ms}, false, 0},
		{"queue here, none at another endpoint", urgent, admission.QueueEstimate{Queue: 2 * second, Processing: 100 * ms, MinQueue: 10 * ms}, false, 0},
		{"all have a queue, in time", urgent, admission.QueueEstimate{Queue: 690 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, false, 0},
		{"all have a queue, too late", urgent, admission.QueueEstimate{Queue: 1500 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, true, 800 * ms},
		{"processing time counts", urgent, admission.QueueEstimate{Queue: 690 * ms, Processing: 300 * ms, MinQueue: 400 * ms}, true, 300 * ms},
		{"less urgent is rejected first", lessUrgent, admission.QueueEstimate{Queue: 690 * ms, Processing: 100 * ms, MinQueue: 400 * ms}, true, 490 * ms},
		{"long prompt, short queue", urgent, admission.QueueEstimate{Queue: 90 * ms, Processing: 2 * second, MinQueue: 100 * ms}, false, 0},
		{"long prompt, long queue", urgent, admission.QueueEstimate{Queue: 200 * ms, Processing: 2 * second, MinQueue: 100 * ms}, true, 300 * ms},
	} {
		retryAfter, reject := c.stream.ShouldReject(c.estimate)
		if reject != c.reject || retryAfter != c.retryAfter {
			t.Errorf("%s: got reject %v, Retry-After %v, want reject %v, Retry-After %v", c.name, reject, retryAfter, c.reject, c.retryAfter)
		}
	}
}

// A caller that comes back after retryAfter is not rejected again if nothing else joined the
// queue.
func TestRetryAfterAvoidsSecondRejection(t *testing.T) {
	for priority := range 5 {
		s := admission.Stream{Objective: second, Priority: priority}
		for queued := time.Duration(0); queued < 5*second; queued += 50 * ms {
			e := admission.QueueEstimate{Queue: queued, Processing: 200 * ms, MinQueue: queued}
			retryAfter, reject := s.ShouldReject(e)
			if !reject {
				continue
			}
			e.Queue -= retryAfter
			if _, again := s.ShouldReject(e); again {
				t.Errorf("priority %d, %v queued: rejected again after %v", priority, queued, retryAfter)
			}
		}
	}
}
