package soak

import (
	"math/rand/v2"
	"syscall"
	"time"
)

const (
	// sendFaultStream is the stream of random numbers that determines the send faults of a run, maxSendFaults their
	// maximum number.
	sendFaultStream = 1 << 38
	maxSendFaults   = 8
	// earlyTime is how long an endpoint rejects long requests early, slowTime how long a host is slow.
	earlyTime = 1500 * time.Millisecond
	slowTime  = 2 * time.Second
	// A slow host runs for slowRun and is suspended for slowPause in turn.
	slowRun   = 8 * time.Millisecond
	slowPause = 40 * time.Millisecond
)

// startSendFaults schedules what can make a host misjudge whether a request was sent: endpoints replaced at their
// addresses, rejections that arrive again, rejections of requests that have not arrived completely, and hosts that
// are slow. It uses a separate random number generator, so that they do not change the other faults of a seed.
func (r *run) startSendFaults() {
	random := rand.New(rand.NewPCG(r.options.Seed, sendFaultStream))
	for _, n := range r.nodes {
		n.links.repeatMisdirected()
	}
	for range 1 + random.IntN(maxSendFaults) {
		kind, plain, host := random.IntN(4), random.IntN(plainEndpoints), random.IntN(len(r.nodes))
		r.schedule(time.Duration(random.Int64N(int64(r.options.Length))), func() {
			switch kind {
			case 0:
				r.log("node-%d is slow for %v", host, slowTime)
				r.slowDown(r.nodes[host])
			case 1:
				r.log("endpoint %d rejects long requests early for %v", plain, earlyTime)
				r.rejectEarly(plain)
			default:
				r.replaceAtAddress(plain)
			}
		})
	}
}

// slowDown suspends a host most of the time for slowTime.
func (r *run) slowDown(n *node) {
	n.markFaulty(time.Now().Add(slowTime + residualEffectTime))
	r.markUnreachable(slowTime)
	for end := time.Now().Add(slowTime); time.Now().Before(end); time.Sleep(slowRun) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(slowPause)
		n.signal(syscall.SIGCONT)
	}
}

// rejectEarly lets a plain endpoint reject long requests before it has read them, for earlyTime.
func (r *run) rejectEarly(i int) {
	r.mu.Lock()
	e := r.endpoints[i]
	r.mu.Unlock()
	e.SetRejectsEarly(true)
	time.Sleep(earlyTime)
	e.SetRejectsEarly(false)
}
