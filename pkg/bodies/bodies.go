// Package bodies reads the bodies of callers' requests into memory, within a bound on what all of them take
// together. Callers may send many at once, slowly, or stop before the end of one and stay connected.
package bodies

import (
	"context"
	"errors"
	"io"
	"slices"
	"sync"
	"time"

	"ironhollow/pkg/pause"
)

var (
	// ErrTooLong means that a body is longer than it may be.
	ErrTooLong = errors.New("bodies: longer than the limit")
	// ErrNoMemory means that the bodies of other requests take as much memory as they may.
	ErrNoMemory = errors.New("bodies: no memory")
	// ErrTooSlow means that a body was given up for others, as it had arrived slowly.
	ErrTooSlow = errors.New("bodies: arrived too slowly while others needed its memory")
)

const (
	// ShortBytes is the length up to which a body does not count as long.
	ShortBytes = 64 << 10
	// firstBlock and maxBlock are the sizes of the first block that is read into, and of the largest.
	firstBlock, maxBlock = 4 << 10, 64 << 10
	// A body is slow if nothing of it has arrived for slowTime, or less than slowRate bytes a second in a time as long.
	slowTime = time.Second
	slowRate = 64 << 10
	// memoryWait is how long a body waits for the memory of slow ones that are given up.
	memoryWait = 300 * time.Millisecond
	memoryPoll = 5 * time.Millisecond
)

// Limits bounds the bytes of bodies.
type Limits struct {
	// Total bounds all of them, Long those of more than ShortBytes, so that short ones have memory left. A single long
	// body may exceed Long.
	Total, Long int64
}

// Store holds the bodies of requests in progress. It is safe for concurrent use.
type Store struct {
	limits Limits

	mu sync.Mutex
	// total and long are the bytes that count towards the limits.
	total, long int64
	// arriving are the bodies that are being read.
	arriving map[*arrival]struct{}

	// assembling is held while a body takes its memory twice.
	assembling sync.Mutex
}

// New returns a store without bodies.
func New(limits Limits) *Store { return &Store{limits: limits, arriving: map[*arrival]struct{}{}} }

// Source is a body that arrives.
type Source struct {
	Reader io.Reader
	// Length is the length that was announced, below 0 if none was.
	Length int64
	// Interrupt ends a read in progress with an error. It is called at most once, from another goroutine, before the body is
	// complete. It must not block.
	Interrupt func()
}

// Body is a body in memory.
type Body struct {
	store *Store
	bytes []byte
	taken int64
}

// Bytes returns the body, which must not be changed.
func (b *Body) Bytes() []byte { return b.bytes }

// Release returns the memory of the body, which must not be used afterwards.
func (b *Body) Release() { b.store.give(b.taken) }

// Read reads a body of at most limit bytes. It returns ErrTooLong, ErrNoMemory, ErrTooSlow or an error of the source. A
// body that was announced as too long is not read.
func (s *Store) Read(ctx context.Context, source Source, limit int64) (*Body, error) {
	if source.Length > limit {
		return nil, ErrTooLong
	}
	if source.Length == 0 {
		return &Body{store: s}, nil
	}
	a := newArrival(source)
	s.add(a)
	defer a.end()
	defer s.remove(a)
	blocks, err := s.readBlocks(ctx, a, limit)
	if err != nil {
		s.give(a.taken)
		putBlocks(blocks)
		return nil, err
	}
	length := int64(0)
	for _, b := range blocks {
		length += int64(len(b))
	}
	s.shrink(a.taken, length)
	return &Body{store: s, bytes: s.assemble(blocks, length), taken: length}, nil
}

// readBlocks reads a body into blocks.
func (s *Store) readBlocks(ctx context.Context, a *arrival, limit int64) (blocks [][]byte, err error) {
	length := int64(0)
	for {
		last := len(blocks) - 1
		if last < 0 || len(blocks[last]) == cap(blocks[last]) {
			size := a.nextBlock(length, limit)
			if err := s.take(ctx, a, size); err != nil {
				return blocks, err
			}
			blocks = append(blocks, newBlock(size))
			last++
		}
		block := blocks[last]
		n, err := a.source.Reader.Read(block[len(block):cap(block)])
		blocks[last] = block[:len(block)+n]
		length += int64(n)
		a.received(n, time.Now())
		switch {
		case length > limit:
			return blocks, ErrTooLong
		case errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF):
			return blocks, nil
		case err != nil && a.isInterrupted():
			return blocks, ErrTooSlow
		case err != nil:
			return blocks, err
		}
	}
}

// nextBlock returns the size of the block after the first length bytes: one byte more than the body may have shows that
// it is too long.
func (a *arrival) nextBlock(length, limit int64) int64 {
	size := min(max(length, firstBlock), maxBlock, limit+1-length)
	if left := a.source.Length - length; left > 0 {
		size = min(size, left)
	}
	return size
}

// blockPool holds blocks of maxBlock bytes.
var blockPool = sync.Pool{New: func() any { return new([maxBlock]byte) }}

func newBlock(size int64) []byte {
	if size < maxBlock {
		return make([]byte, 0, size)
	}
	return blockPool.Get().(*[maxBlock]byte)[:0]
}

func putBlocks(blocks [][]byte) {
	for _, b := range blocks {
		if cap(b) == maxBlock {
			blockPool.Put((*[maxBlock]byte)(b[:maxBlock]))
		}
	}
}

// assemble returns the blocks as one slice.
func (s *Store) assemble(blocks [][]byte, length int64) []byte {
	if len(blocks) == 1 && cap(blocks[0]) < maxBlock {
		return blocks[0]
	}
	s.assembling.Lock()
	defer s.assembling.Unlock()
	body := slices.Concat(blocks...)
	putBlocks(blocks)
	return body[:length:length]
}

// take takes memory for the next block of a body. While there is none, it interrupts slow bodies and waits for their
// memory.
func (s *Store) take(ctx context.Context, a *arrival, size int64) error {
	for until := time.Now().Add(memoryWait); ; {
		slowest, ok := s.tryTake(a, size)
		switch {
		case ok:
			return nil
		case a.isInterrupted():
			return ErrTooSlow
		case slowest == nil || time.Now().After(until):
			return ErrNoMemory
		}
		slowest.interrupt()
		if !pause.For(ctx, memoryPoll) {
			return ErrNoMemory
		}
	}
}

// tryTake takes memory for the next block of a body. If there is none, it returns the slow body whose memory helps most,
// or one that was interrupted already and still has its memory; nil if no body is slow.
func (s *Store) tryTake(a *arrival, size int64) (slowest *arrival, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := a.taken + size
	otherLong := s.long - longPart(a.taken)
	fits, longFits := s.total+size <= s.limits.Total, otherLong == 0 || otherLong+longPart(taken) <= s.limits.Long
	if fits && longFits {
		s.total += size
		s.long += longPart(taken) - longPart(a.taken)
		a.taken = taken
		return nil, true
	}
	now, slowestRate := time.Now(), int64(slowRate)
	for other := range s.arriving {
		if other == a || !longFits && longPart(other.taken) == 0 {
			continue
		}
		if other.isInterrupted() {
			return other, false
		}
		if rate := other.rate(now); rate < slowestRate || slowest != nil && rate == slowestRate && other.taken > slowest.taken {
			slowest, slowestRate = other, rate
		}
	}
	return slowest, false
}

// longPart returns what a body of the given size counts towards the limit for long ones.
func longPart(size int64) int64 {
	if size <= ShortBytes {
		return 0
	}
	return size
}

// give returns the memory of a body.
func (s *Store) give(taken int64) { s.shrink(taken, 0) }

// shrink returns the memory that a body has taken beyond a length.
func (s *Store) shrink(taken, length int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += length - taken
	s.long += longPart(length) - longPart(taken)
}

func (s *Store) add(a *arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arriving[a] = struct{}{}
}

func (s *Store) remove(a *arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.arriving, a)
}

// Used returns the bytes that all bodies take.
func (s *Store) Used() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total
}
