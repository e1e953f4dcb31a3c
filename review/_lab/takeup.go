package main

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case takeup.
const (
	// rollGap is the gap_s of roll_term, x is 1 and share 1.
	rollGap = time.Second
	// contact is contact_ms, graceTime grace_s of the deployment.
	contact   = 3 * time.Second
	graceTime = 8 * time.Second
	// restartDelay is the time from the end of a process to its next start.
	restartDelay = 300 * time.Millisecond
	// streamEvents and streamGap make a stream of 9 s.
	streamEvents = 100
	streamGap    = 90 * time.Millisecond
	streamRate   = 20.0
	timeLimit    = 15 * time.Second
	// answerTTL is the ttl_s of the system's directory.
	answerTTL = 2 * time.Second
	maxTries  = 3
	// minTakeUps is the number of take-ups from which the rule counts.
	minTakeUps = 12
)

// calm records when each host was last disturbed, for "in touch".
type calm struct {
	mu        sync.Mutex
	disturbed map[string]time.Time
}

func (c *calm) disturb(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disturbed[name] = time.Now()
}

func (c *calm) isInTouch(name string, at time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return at.Sub(c.disturbed[name]) > contact
}

// share counts tries and those that succeeded.
type share struct{ tries, succeeded int }

func (s share) value() float64 { return float64(s.succeeded) / float64(max(s.tries, 1)) }

// streamCallers are callers that read streams and take them up when they break off.
type streamCallers struct {
	fleet  *fleet
	calm   *calm
	client *http.Client

	mu               sync.Mutex
	addresses        []string
	resolvedAt       time.Time
	count            int
	begun, takenUp   share
	takeUpStatuses   map[string]int
	mixed, completed int
	rate             float64
	pending          sync.WaitGroup
}

// resolve returns the current answer of the directory, asking up to three hosts for a new one once it is
// older than answerTTL.
func (c *streamCallers) resolve() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.resolvedAt) < answerTTL {
		return c.addresses
	}
	order := rand.Perm(len(c.fleet.hosts))
	for _, i := range order {
		response, err := c.fleet.client.Get("http://" + c.fleet.hosts[i].directory() + "/api/resolve?name=" + hostName + "&region=iberia-south&zone=hall-a")
		if err != nil {
			continue
		}
		var answer struct {
			Addresses []string `json:"addresses"`
		}
		err = json.NewDecoder(response.Body).Decode(&answer)
		_ = response.Body.Close()
		if err == nil && len(answer.Addresses) > 0 {
			c.addresses, c.resolvedAt = answer.Addresses, time.Now()
			break
		}
	}
	return c.addresses
}

// pick returns the address of a host that has not failed this stream, at random.
func (c *streamCallers) pick(failed []string) *host {
	addresses := slices.DeleteFunc(slices.Clone(c.resolve()), func(a string) bool { return slices.Contains(failed, a) })
	if len(addresses) == 0 {
		return nil
	}
	address := addresses[rand.IntN(len(addresses))]
	for _, h := range c.fleet.hosts {
		if h.front() == address {
			return h
		}
	}
	return nil
}

func (c *streamCallers) run(until time.Time) {
	gap := time.Duration(float64(time.Second) / c.rate)
	for next := time.Now(); next.Before(until); next = next.Add(gap) {
		time.Sleep(time.Until(next))
		c.pending.Go(c.stream)
	}
	c.pending.Wait()
}

// try is one request of a caller.
type try struct {
	status    string
	retry     time.Duration
	lastEvent int
	// versions are the software versions of the servers of its events.
	versions []string
	complete bool
}

// stream reads one stream to its end.
func (c *streamCallers) stream() {
	deadline := time.Now().Add(timeLimit)
	var failed []string
	first, lastEvent := "", 0
	var versions []string
	defer func() {
		if len(versions) > 1 {
			c.fleet.record.note("caller: the stream of %s holds events of the versions %v", first, versions)
			c.mu.Lock()
			c.mixed++
			c.mu.Unlock()
		}
	}()
	for n := 0; n < 1+maxTries && time.Now().Before(deadline); n++ {
		h := c.pick(failed)
		if h == nil {
			return
		}
		c.mu.Lock()
		c.count++
		id := fmt.Sprintf("%016x", uint64(c.count)<<32|uint64(rand.Uint32()))
		c.mu.Unlock()
		at := time.Now()
		inTouch := c.calm.isInTouch(h.name, at)
		result := c.send(h, id, first, lastEvent, deadline)
		began := result.lastEvent > lastEvent
		c.countTry(first != "", inTouch, began, h, id, result)
		if began {
			if first == "" {
				first = id
			}
			for _, version := range result.versions {
				if !slices.Contains(versions, version) {
					versions = append(versions, version)
				}
			}
			lastEvent = result.lastEvent
			failed = nil
		}
		if result.complete {
			c.mu.Lock()
			c.completed++
			c.mu.Unlock()
			return
		}
		failed = append(failed, h.front())
		time.Sleep(min(result.retry, time.Until(deadline)/3))
	}
}

// countTry counts a try at a host in touch.
func (c *streamCallers) countTry(isTakeUp, inTouch, began bool, h *host, id string, result try) {
	kind := "new stream"
	if isTakeUp {
		kind = "take-up"
	}
	c.fleet.record.note("caller: %s %s at %s (in touch: %t) gets %s, last event %d, complete %t", kind, id, h.name, inTouch, result.status, result.lastEvent, result.complete)
	c.mu.Lock()
	defer c.mu.Unlock()
	if isTakeUp {
		c.takeUpStatuses[result.status]++
	}
	if !inTouch {
		return
	}
	s := &c.begun
	if isTakeUp {
		s = &c.takenUp
	}
	s.tries++
	if began {
		s.succeeded++
	}
}

func (c *streamCallers) send(h *host, id, resumes string, lastEvent int, deadline time.Time) try {
	result := try{status: "no connection", lastEvent: lastEvent}
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.front()+"/recap/a", nil)
	if err != nil {
		return result
	}
	request.Host = hostName
	request.Header.Set("X-Attempt-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	request.Header.Set("Authorization", "Bearer "+apiKey)
	request.Header.Set("X-Model", "m")
	request.Header.Set("X-Token-Counts", "1110,300")
	request.Header.Set("X-Prefix-Hash", "5c1e07a2:350,"+id+":760")
	if resumes != "" {
		request.Header.Set("Resumes", resumes)
		request.Header.Set("Last-Event-Id", strconv.Itoa(lastEvent))
	}
	c.fleet.record.note("caller: %s sent to %s, resumes %q after event %d", id, h.name, resumes, lastEvent)
	response, err := c.client.Do(request)
	if err != nil {
		return result
	}
	defer func() { _ = response.Body.Close() }()
	result.status = strconv.Itoa(response.StatusCode)
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	result.retry = time.Duration(seconds * float64(time.Second))
	if response.StatusCode != http.StatusOK {
		return result
	}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			result.lastEvent, _ = strconv.Atoi(text)
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			_, version, _ := strings.Cut(text, "@")
			if !slices.Contains(result.versions, version) {
				result.versions = append(result.versions, version)
			}
		}
	}
	result.complete = lines.Err() == nil
	return result
}

// runTakeUp stops and starts all hosts in turn while callers read streams of two software versions.
func runTakeUp(record *recorder, trouble bool) (broken bool, err error) {
	zones := []string{"hall-a", "hall-a", "hall-a", "hall-b", "hall-b", "hall-b", "hall-c", "hall-c", "hall-d"}
	f, err := newFleet(record, zones)
	if err != nil {
		return false, err
	}
	defer f.stop()
	if err := putManifest(f.store, int(timeLimit.Milliseconds()), 64, true, nil); err != nil {
		return false, err
	}
	for i := range 6 {
		e := &engine{
			fleet: f, id: fmt.Sprintf("i-%d", i), service: "ironhollow-narrator", zone: zones[i], version: []string{"1.4.0", "1.5.0"}[i%2],
			slots: 64, queue: 134, events: streamEvents, eventGap: streamGap,
		}
		if err := e.start(); err != nil {
			return false, err
		}
	}
	c := &streamCallers{
		fleet: f, calm: &calm{disturbed: map[string]time.Time{}}, rate: streamRate, takeUpStatuses: map[string]int{},
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}},
	}
	for _, h := range f.hosts {
		c.calm.disturb(h.name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 15*time.Second)
	defer cancel()
	if err := f.start(ctx); err != nil {
		return false, err
	}
	time.Sleep(5 * time.Second)
	calls := make(chan struct{})
	go func() {
		c.run(time.Now().Add(40 * time.Second))
		close(calls)
	}()
	time.Sleep(10 * time.Second)
	var restarts sync.WaitGroup
	if trouble {
		for _, h := range f.hosts {
			restarts.Go(func() { roll(f, c.calm, h) })
			time.Sleep(rollGap)
		}
	}
	restarts.Wait()
	<-calls
	fmt.Printf("new streams at machines in touch: %d of %d began; take-ups there: %d of %d went on; answers to all take-ups: %v; complete: %d; mixed: %d\n",
		c.begun.succeeded, c.begun.tries, c.takenUp.succeeded, c.takenUp.tries, c.takeUpStatuses, c.completed, c.mixed)
	record.note("begun %+v taken up %+v statuses %v completed %d mixed %d", c.begun, c.takenUp, c.takeUpStatuses, c.completed, c.mixed)
	broken = c.takenUp.tries >= minTakeUps && c.takenUp.value() < c.begun.value()/2
	if broken {
		fmt.Printf("LOST: %.2f of the take-ups went on, %.2f of the new streams began\n", c.takenUp.value(), c.begun.value())
	}
	return broken, nil
}

// roll stops a host as the platform does, and starts it again.
func roll(f *fleet, calm *calm, h *host) {
	f.record.note("platform: SIGTERM to %s", h.name)
	calm.disturb(h.name)
	h.signal(syscall.SIGTERM)
	h.mu.Lock()
	done := h.done
	h.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceTime):
		h.signal(syscall.SIGKILL)
		<-done
	}
	f.record.note("platform: %s has ended", h.name)
	time.Sleep(restartDelay)
	calm.disturb(h.name)
	if err := h.start(); err != nil {
		f.record.note("platform: %s did not start: %v", h.name, err)
	}
	calm.disturb(h.name)
	f.record.note("platform: %s starts again", h.name)
}
