package upstream

import (
	"errors"
	"math"
	"net"

	"ironhollow/pkg/httpx"
)

// errHeadTooLong means that an endpoint has sent httpx.MaxHeadBytes without the end of a head.
var errHeadTooLong = errors.New("upstream: the head of the response is too long")

// unlimited is the value of limitedReader.left outside heads.
const unlimited = math.MaxInt

// limitedReader reads from a connection, fails after a number of bytes of heads, and reports that bytes have
// arrived. The parser of heads has no bound of its own.
type limitedReader struct {
	conn     net.Conn
	observer Observer
	// left is the number of bytes that may still be read.
	left int
	// head has the bytes that were read while heads are read, and that takeHead has not returned.
	head []byte
}

// beginHead begins to limit and record what is read. What was read before must have been consumed.
func (r *limitedReader) beginHead() { r.left, r.head = httpx.MaxHeadBytes, r.head[:0] }

// takeHead returns the bytes of a head that was parsed; the last ones that were read are not part of it. They are valid
// until the next read.
func (r *limitedReader) takeHead(unparsed int) []byte {
	end := len(r.head) - unparsed
	head := r.head[:end]
	r.head = r.head[end:]
	return head
}

// endHead ends the limit and frees what was recorded.
func (r *limitedReader) endHead() { r.left, r.head = unlimited, nil }

// Read implements io.Reader.
func (r *limitedReader) Read(b []byte) (int, error) {
	if r.left <= 0 {
		return 0, errHeadTooLong
	}
	n, err := r.conn.Read(b[:min(len(b), r.left)])
	if n > 0 {
		r.observer.Received()
	}
	if r.left != unlimited {
		r.left -= n
		r.head = append(r.head, b[:n]...)
	}
	return n, err
}
