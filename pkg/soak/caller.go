package soak

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"ironhollow/platform/standin"
)

// report collects the results that callers observe. It is safe for concurrent use.
type report struct {
	mu     sync.Mutex
	served map[standin.RequestKind]int
	failed map[standin.RequestKind]int
	// atMostOnce are requests that may run once at most; reportedNotRun are those of them whose
	// response said that they did not run.
	atMostOnce, reportedNotRun []string
	violations                 []string
	overdue                    []overdueRequest
	// unmarkedEnds are requests whose incomplete response ended with its connection, without an error.
	unmarkedEnds []string
}

func newReport() *report {
	return &report{served: map[standin.RequestKind]int{}, failed: map[standin.RequestKind]int{}}
}

func (r *report) addViolation(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violations = append(r.violations, fmt.Sprintf(format, args...))
}

func (r *report) count(kind standin.RequestKind, served bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if served {
		r.served[kind]++
		return
	}
	r.failed[kind]++
}

// addOverdue records a request that was not answered in time.
func (r *report) addOverdue(u overdueRequest) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.overdue = append(r.overdue, u)
}

// totals returns the numbers of served and failed requests so far.
func (r *report) totals() (served, failed int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, n := range r.served {
		served += n
	}
	for _, n := range r.failed {
		failed += n
	}
	return served, failed
}

// caller periodically fetches the list of entries and sends requests to them over connections
// that it keeps open.
type caller struct {
	name      string
	random    *rand.Rand
	nodes     []*node
	report    *report
	client    *http.Client
	entries   []string
	entriesAt time.Time
	requests  int
	pause     time.Duration
	// closes is set if the caller asks for a new connection for each request.
	closes bool
}

func newCaller(number int, o Options, nodes []*node, r *report) *caller {
	pause := requestPause
	if o.RequestPause > 0 {
		pause = o.RequestPause
	}
	c := &caller{
		name: fmt.Sprintf("c%d", number), random: rand.New(rand.NewPCG(o.Seed, uint64(number))), nodes: nodes, report: r, pause: pause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}}, closes: number%4 == 1,
	}
	if number%4 == 3 {
		c.client.Transport = http10Transport{}
	}
	return c
}

// Timing of callers.
const (
	// entriesTTL is how long a caller uses a list of entries before it fetches a new one.
	entriesTTL = 2 * time.Second
	// requestPause is the mean time between two requests of a caller.
	requestPause = 60 * time.Millisecond
	// callerTimeout is how long a caller waits for a complete response: the request's deadline
	// and some time for what is still in transit.
	callerTimeout = 6 * time.Second
	// One request in longBodyInterval has a body of longBodyBytes, if it may run once. Neither kernels nor proxies buffer
	// all of it.
	longBodyInterval = 8
	longBodyBytes    = 900 << 10
)

var requestKinds = []standin.RequestKind{standin.Safe, standin.Once, standin.Once, standin.Stream, standin.Resume}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.refreshEntries()
		kind := requestKinds[c.random.IntN(len(requestKinds))]
		if len(c.entries) > 0 {
			c.send(kind, c.entries[c.random.IntN(len(c.entries))])
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * c.pause))))
	}
	c.client.CloseIdleConnections()
}

// refreshEntries fetches the list of entries from a random node if the current one has expired.
func (c *caller) refreshEntries() {
	if time.Since(c.entriesAt) < entriesTTL {
		return
	}
	n := c.nodes[c.random.IntN(len(c.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.DirectoryURL(n.settings.Directory), nil)
	if err != nil {
		c.report.addViolation("directory request: %v", err)
		return
	}
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var directory struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&directory) == nil && len(directory.Addresses) > 0 {
		c.entries = directory.Addresses
		c.entriesAt = time.Now()
	}
}

// send sends one request and checks the response.
func (c *caller) send(kind standin.RequestKind, address string) {
	c.requests++
	id := fmt.Sprintf("%s-%s-%d", c.name, kind, c.requests)
	body := "body of " + id
	if kind == standin.Once && c.requests%longBodyInterval == 0 {
		body += strings.Repeat(".", longBodyBytes)
	}
	r, err := standin.NewRequest(address, kind, id, body)
	if err != nil {
		c.report.addViolation("%s: %v", id, err)
		return
	}
	if kind == standin.Once || kind == standin.Stream {
		c.report.mu.Lock()
		c.report.atMostOnce = append(c.report.atMostOnce, id)
		c.report.mu.Unlock()
	}
	r.Close = c.closes
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	sent := time.Now()
	response, err := c.client.Do(r.WithContext(ctx))
	if time.Since(sent) > standin.RequestTimeout+deadlineSlack {
		c.report.addOverdue(overdueRequest{id, address, sent, time.Now()})
	}
	if err != nil {
		c.report.count(kind, false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get("X-Attempt-Id"); got != id {
		c.report.addViolation("%s got the response to %q", id, got)
	}
	switch {
	case response.StatusCode == http.StatusOK && (kind == standin.Stream || kind == standin.Resume):
		c.report.count(kind, c.checkStream(id, response))
	case response.StatusCode == http.StatusOK:
		c.report.count(kind, c.checkResponse(kind, id, body, response))
	default:
		c.recordFailure(kind, id, response.StatusCode)
	}
}

func (c *caller) recordFailure(kind standin.RequestKind, id string, status int) {
	c.report.count(kind, false)
	if status == http.StatusNotFound || status == http.StatusUnauthorized {
		c.report.addViolation("%s got status %d although its route and key existed all the time", id, status)
	}
	if standin.MeansNotRun(status) && (kind == standin.Once || kind == standin.Stream) {
		c.report.mu.Lock()
		defer c.report.mu.Unlock()
		c.report.reportedNotRun = append(c.report.reportedNotRun, id)
	}
}

// checkResponse checks the body of a response that is not a stream and reports whether it is complete.
func (c *caller) checkResponse(kind standin.RequestKind, id, requestBody string, response *http.Response) bool {
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return false
	}
	if kind == standin.Safe {
		requestBody = ""
	}
	want := standin.ResponseBody(id, requestBody)
	if string(text) != want {
		c.report.addIncomplete(id, response, strings.HasPrefix(want, string(text)), fmt.Sprintf("got %q, want %q", text, want))
	}
	return string(text) == want
}

// checkStream checks events as they arrive: each comes once and in order. It reports whether none is
// missing.
func (c *caller) checkStream(id string, response *http.Response) bool {
	reader := bufio.NewReader(response.Body)
	var event bytes.Buffer
	number := 1
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if err == io.EOF {
			isComplete := event.Len() == 0 && number > standin.EventCount(id)
			if !isComplete {
				c.report.addIncomplete(id, response, event.Len() == 0, fmt.Sprintf("got %d of %d events and %q", number-1, standin.EventCount(id), event.String()))
			}
			return isComplete
		}
		if err != nil {
			return false
		}
		if !strings.HasSuffix(event.String(), "\n\n") {
			continue
		}
		if want := standin.Event(id, number); event.String() != want {
			c.report.addViolation("the stream of %s: got event %q, want %q", id, event.String(), want)
			return false
		}
		event.Reset()
		number++
	}
}
