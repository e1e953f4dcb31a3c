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

// report collects what callers saw. It is safe for concurrent use.
type report struct {
	mu     sync.Mutex
	served map[standin.RequestKind]int
	failed map[standin.RequestKind]int
	// once are requests that may run once at most; promised those of them that
	// were said not to have run.
	once, promised []string
	broken         []string
	unanswered     []unanswered
}

func newReport() *report {
	return &report{served: map[standin.RequestKind]int{}, failed: map[standin.RequestKind]int{}}
}

func (r *report) wrong(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
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

// late notes a request that was not answered in time.
func (r *report) late(u unanswered) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = append(r.unanswered, u)
}

// totals returns served and failed requests so far.
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

// caller asks for entries now and then and sends requests on open connections,
// which it keeps until they end.
type caller struct {
	name    string
	random  *rand.Rand
	nodes   []*node
	report  *report
	client  *http.Client
	entries []string
	askedAt time.Time
	number  int
	pause   time.Duration
}

func newCaller(number int, o Options, nodes []*node, r *report) *caller {
	pause := requestPause
	if o.RequestPause > 0 {
		pause = o.RequestPause
	}
	return &caller{
		name: fmt.Sprintf("c%d", number), random: rand.New(rand.NewPCG(o.Seed, uint64(number))), nodes: nodes, report: r, pause: pause,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 2, DisableCompression: true}},
	}
}

// Timing of callers.
const (
	// entriesKept is how long a caller keeps the answer of which entries to use.
	entriesKept = 2 * time.Second
	// requestPause is the mean time between two requests of a caller.
	requestPause = 60 * time.Millisecond
	// callerTime is how long a caller waits for a whole answer: its deadline and
	// some time for what is under way.
	callerTime = 6 * time.Second
)

var kinds = []standin.RequestKind{standin.Safe, standin.Once, standin.Once, standin.Stream, standin.Resume}

func (c *caller) run(ctx context.Context) {
	for ctx.Err() == nil {
		c.learnEntries()
		kind := kinds[c.random.IntN(len(kinds))]
		if len(c.entries) > 0 {
			c.ask(kind, c.entries[c.random.IntN(len(c.entries))])
		}
		time.Sleep(time.Duration(c.random.Int64N(int64(2 * c.pause))))
	}
	c.client.CloseIdleConnections()
}

// learnEntries asks a node which entries to use.
func (c *caller) learnEntries() {
	if time.Since(c.askedAt) < entriesKept {
		return
	}
	n := c.nodes[c.random.IntN(len(c.nodes))]
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, standin.DirectoryURL(n.file.Directory), nil)
	if err != nil {
		c.report.wrong("directory: %v", err)
		return
	}
	response, err := c.client.Do(r)
	if err != nil {
		return
	}
	defer func() { _ = response.Body.Close() }()
	var answer struct {
		Addresses []string `json:"addresses"`
	}
	if json.NewDecoder(response.Body).Decode(&answer) == nil && len(answer.Addresses) > 0 {
		c.entries = answer.Addresses
		c.askedAt = time.Now()
	}
}

// ask sends one request and checks what comes back.
func (c *caller) ask(kind standin.RequestKind, address string) {
	c.number++
	id := fmt.Sprintf("%s-%s-%d", c.name, kind, c.number)
	body := "body of " + id
	r, err := standin.NewRequest(address, kind, id, body)
	if err != nil {
		c.report.wrong("%s: %v", id, err)
		return
	}
	if kind == standin.Once || kind == standin.Stream {
		c.report.mu.Lock()
		c.report.once = append(c.report.once, id)
		c.report.mu.Unlock()
	}
	ctx, cancel := context.WithTimeout(context.Background(), callerTime)
	defer cancel()
	sent := time.Now()
	response, err := c.client.Do(r.WithContext(ctx))
	if time.Since(sent) > standin.RequestTimeout+answerTime {
		c.report.late(unanswered{id, address, sent, time.Now()})
	}
	if err != nil {
		c.report.count(kind, false)
		return
	}
	defer func() { _ = response.Body.Close() }()
	if got := response.Header.Get("X-Attempt-Id"); got != id {
		c.report.wrong("%s got the answer of %q", id, got)
	}
	switch {
	case response.StatusCode == http.StatusOK && (kind == standin.Stream || kind == standin.Resume):
		c.report.count(kind, c.checkStream(id, response.Body))
	case response.StatusCode == http.StatusOK:
		c.report.count(kind, c.checkAnswer(kind, id, body, response.Body))
	default:
		c.failure(kind, id, response.StatusCode)
	}
}

func (c *caller) failure(kind standin.RequestKind, id string, status int) {
	c.report.count(kind, false)
	if status == http.StatusNotFound || status == http.StatusUnauthorized {
		c.report.wrong("%s was answered %d although its route and key were there all the time", id, status)
	}
	if standin.MeansNotRun(status) && (kind == standin.Once || kind == standin.Stream) {
		c.report.mu.Lock()
		defer c.report.mu.Unlock()
		c.report.promised = append(c.report.promised, id)
	}
}

func (c *caller) checkAnswer(kind standin.RequestKind, id, sent string, body io.Reader) bool {
	text, err := io.ReadAll(body)
	if err != nil {
		return false
	}
	if kind == standin.Safe {
		sent = ""
	}
	if want := standin.ResponseBody(id, sent); string(text) != want {
		c.report.wrong("%s got %q, want %q", id, text, want)
		return false
	}
	return true
}

// checkStream checks events as they come: each once, in order, all of them if
// the stream ends in order.
func (c *caller) checkStream(id string, body io.Reader) bool {
	reader := bufio.NewReader(body)
	var event bytes.Buffer
	number := 1
	for {
		line, err := reader.ReadString('\n')
		event.WriteString(line)
		if err == io.EOF && event.Len() == 0 {
			if number <= standin.EventCount(id) {
				c.report.wrong("the stream of %s ended as whole after %d of %d events", id, number-1, standin.EventCount(id))
				return false
			}
			return true
		}
		if err != nil {
			return false
		}
		if !strings.HasSuffix(event.String(), "\n\n") {
			continue
		}
		if want := standin.Event(id, number); event.String() != want {
			c.report.wrong("the stream of %s has %q, want %q", id, event.String(), want)
			return false
		}
		event.Reset()
		number++
	}
}
