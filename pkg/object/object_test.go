package object_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"ironhollow/pkg/object"
)

// roundTripper responds to each request with an object of the given length.
type roundTripper struct{ length int64 }

func (r roundTripper) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(io.LimitReader(zeros{}, r.length))}, nil
}

type zeros struct{}

func (zeros) Read(data []byte) (int, error) { return len(data), nil }

// Guards against an object over the limit being taken for a complete one: a job's body cut short
// fails the job for good.
func TestObjectOverLimitIsAnError(t *testing.T) {
	const limit = 256 << 20
	for _, length := range []int64{10, limit + 1} {
		client := object.New("store", time.Minute, &http.Client{Transport: roundTripper{length}})
		data, ok, err := client.Get(context.Background(), "k")
		if fits := length <= limit; ok != fits || (err == nil) != fits || fits && int64(len(data)) != length {
			t.Errorf("object of %d bytes: got %d bytes, %v, error %v", length, len(data), ok, err)
		}
	}
}
