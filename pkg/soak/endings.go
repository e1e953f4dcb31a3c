package soak

import (
	"bufio"
	"bytes"
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"time"

	"ironhollow/platform/standin"
)

// endingFault changes how an endpoint ends its responses.
type endingFault struct {
	after, duration time.Duration
	endpoint        int
	ending          standin.Ending
}

const (
	// endingStream is the stream of random numbers that determines the endings of a run, maxEndings
	// their maximum number.
	endingStream = 1 << 36
	maxEndings   = 4
	// breakShare is the share of responses that break off while an endpoint breaks responses off.
	breakShare = 0.4
)

// randomEndings returns the endings of a run: some whole without a length or chunks, others that break
// off. It uses a separate random number generator, so that they do not change the other faults of a
// seed.
func randomEndings(o Options, endpoints int) []endingFault {
	random := rand.New(rand.NewPCG(o.Seed, endingStream))
	faults := make([]endingFault, 1+random.IntN(maxEndings))
	for i := range faults {
		faults[i] = endingFault{
			after: time.Duration(random.Int64N(int64(o.Length))), duration: time.Second + time.Duration(random.Int64N(int64(3*time.Second))),
			endpoint: random.IntN(endpoints), ending: standin.Ending{Unframed: random.IntN(4) > 0},
		}
		if !faults[i].ending.Unframed || random.IntN(3) > 0 {
			faults[i].ending.BreakShare = breakShare
		}
	}
	return faults
}

// startEndings schedules the endings of a run.
func (r *run) startEndings() {
	for _, f := range randomEndings(r.options, len(r.endpoints)) {
		r.schedule(f.after, func() {
			r.log("endpoint %d ends responses as %+v for %v", f.endpoint, f.ending, f.duration)
			r.mu.Lock()
			e := r.endpoints[f.endpoint]
			r.mu.Unlock()
			e.SetEnding(f.ending)
			time.Sleep(f.duration)
			e.SetEnding(standin.Ending{})
		})
	}
}

// addIncomplete records an incomplete response that ended without an error. It violates the guarantees
// if its framing marks its end, or if it is not a valid part of the complete response.
func (r *report) addIncomplete(id string, response *http.Response, isPart bool, seen string) {
	if isMarked := response.ContentLength >= 0 || slices.Contains(response.TransferEncoding, "chunked"); isMarked || !isPart {
		r.addViolation("the response to %s ended without an error, end marked: %v, although it is incomplete: %s", id, isMarked, seen)
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unmarkedEnds = append(r.unmarkedEnds, id)
}

// checkEndings checks that each incomplete response that ended without an error had such an end at its
// endpoint: an end that hosts can notice must reset the caller's connection.
func (r *run) checkEndings() {
	for _, id := range r.report.unmarkedEnds {
		if !r.requestLog.EndedUnmarked(id) {
			r.report.addViolation("the incomplete response to %s ended without an error although its endpoint showed that it was incomplete", id)
		}
	}
}

// http10Transport sends each request with HTTP/1.0 on a connection of its own, which is closed at the
// end of the request's context.
type http10Transport struct{}

// RoundTrip makes one call.
func (http10Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var text bytes.Buffer
	if err := r.Write(&text); err != nil {
		return nil, err
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(r.Context(), "tcp", r.URL.Host)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(r.Context(), func() { _ = conn.Close() })
	if _, err := conn.Write(bytes.Replace(text.Bytes(), []byte(" HTTP/1.1\r\n"), []byte(" HTTP/1.0\r\n"), 1)); err != nil {
		return nil, err
	}
	return http.ReadResponse(bufio.NewReader(conn), r)
}
