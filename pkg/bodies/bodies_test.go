package bodies_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"ironhollow/pkg/bodies"
)

const limit = 1 << 20

// roomy are limits that no test reaches.
var roomy = bodies.Limits{Total: 64 << 20, Long: 64 << 20}

func source(r io.Reader, length int) bodies.Source {
	return bodies.Source{Reader: r, Length: int64(length), Interrupt: func() {}}
}

// Guards against bodies that are changed or refused, by length and by how they arrive, and against memory that is not returned.
func TestBodiesAreReadWhole(t *testing.T) {
	s := bodies.New(roomy)
	for _, length := range []int{0, 1, 4095, 4096, 4097, 16 << 10, 64 << 10, 64<<10 + 1, 300_000, limit - 1, limit, limit + 1, 2 * limit} {
		data := bytes.Repeat([]byte("0123456789abcdef!"), length/17+1)[:length]
		for name, src := range map[string]bodies.Source{
			"announced":     source(bytes.NewReader(data), length),
			"not announced": source(bytes.NewReader(data), -1),
			"byte by byte":  source(io.MultiReader(bytes.NewReader(data[:length/2]), bytes.NewReader(data[length/2:])), -1),
		} {
			body, err := s.Read(context.Background(), src, limit)
			if length > limit {
				if !errors.Is(err, bodies.ErrTooLong) {
					t.Errorf("%d bytes, %s: got error %v, want %v", length, name, err, bodies.ErrTooLong)
				}
				continue
			}
			if err != nil || !bytes.Equal(body.Bytes(), data) {
				t.Fatalf("%d bytes, %s: got %v, want the body", length, name, err)
			}
			if got := s.Used(); got != int64(length) {
				t.Errorf("%d bytes, %s: got %d taken, want the length", length, name, got)
			}
			body.Release()
		}
	}
	if got := s.Used(); got != 0 {
		t.Errorf("got %d bytes taken at the end, want 0", got)
	}
}

// stoppedBody sends a part of a body and then nothing until it is interrupted.
type stoppedBody struct {
	part        io.Reader
	interrupted chan struct{}
}

var errInterrupted = errors.New("interrupted")

func (b *stoppedBody) Read(p []byte) (int, error) {
	if n, err := b.part.Read(p); err == nil {
		return n, nil
	}
	<-b.interrupted
	return 0, errInterrupted
}

// Guards against bodies that stop before their end and keep others out, and against memory beyond the limits.
func TestStoppedBodiesMakeRoom(t *testing.T) {
	for _, c := range []struct {
		name          string
		limits        bodies.Limits
		stopped, part int
		// after is how long after the stopped bodies the other one comes.
		after       time.Duration
		length      int
		want        error
		wantStopped int
	}{
		{"room is left", bodies.Limits{Total: 4 << 20, Long: 4 << 20}, 2, 1 << 20, 2 * time.Second, 1 << 20, nil, 0},
		{"long ones make room", bodies.Limits{Total: 4 << 20, Long: 3 << 20}, 3, 900 << 10, 2 * time.Second, 1 << 20, nil, 1},
		{"long ones that may go on keep theirs", bodies.Limits{Total: 4 << 20, Long: 3 << 20}, 3, 900 << 10, 500 * time.Millisecond, 1 << 20, bodies.ErrNoMemory, 0},
		{"short ones have memory of their own", bodies.Limits{Total: 4 << 20, Long: 3 << 20}, 3, 900 << 10, 500 * time.Millisecond, 60 << 10, nil, 0},
		{"a single long one", bodies.Limits{Total: 4 << 20, Long: 1 << 20}, 0, 0, 0, 2 << 20, nil, 0},
		{"one that is longer than all may be", bodies.Limits{Total: 1 << 20, Long: 1 << 20}, 0, 0, 0, 2 << 20, bodies.ErrNoMemory, 0},
		{"short ones make room", bodies.Limits{Total: 1 << 20, Long: 512 << 10}, 16, 50 << 10, 2 * time.Second, 4 << 10, nil, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := bodies.New(c.limits)
				ended := make(chan error, c.stopped)
				interrupted := make(chan struct{})
				for range c.stopped {
					b := &stoppedBody{strings.NewReader(strings.Repeat("b", c.part)), make(chan struct{})}
					go func() {
						_, err := s.Read(context.Background(), bodies.Source{Reader: b, Length: -1, Interrupt: func() { close(b.interrupted) }}, 2<<20)
						select {
						case <-interrupted:
						default:
							ended <- err
						}
					}()
					defer func() {
						select {
						case <-b.interrupted:
						default:
							close(b.interrupted)
						}
					}()
				}
				time.Sleep(c.after)
				synctest.Wait()
				data := strings.Repeat("d", c.length)
				body, err := s.Read(context.Background(), source(strings.NewReader(data), c.length), 2<<20)
				if !errors.Is(err, c.want) || err == nil && string(body.Bytes()) != data {
					t.Errorf("got error %v, want %v", err, c.want)
				}
				synctest.Wait()
				close(interrupted)
				if got := len(ended); got != c.wantStopped {
					t.Errorf("stopped bodies given up: got %d, want %d", got, c.wantStopped)
				}
				for range len(ended) {
					if err := <-ended; !errors.Is(err, bodies.ErrTooSlow) {
						t.Errorf("a stopped body: got error %v, want %v", err, bodies.ErrTooSlow)
					}
				}
				if got := s.Used(); got > c.limits.Total {
					t.Errorf("memory: got %d bytes, want %d at most", got, c.limits.Total)
				}
			})
		})
	}
}
