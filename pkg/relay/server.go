package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/feed"
)

// Path is where hosts follow a table.
const Path = "/relay"

// leastLook is how often a waiting call looks whether the copy is up to date.
const leastLook = 500 * time.Millisecond

// wireBatch is an answer.
type wireBatch struct {
	Rows    []wireRow `cbor:"1,keyasint,omitempty"`
	Version int64     `cbor:"2,keyasint"`
	// StoreMS is the store's clock at the answer.
	StoreMS int64 `cbor:"3,keyasint"`
}

// wireRows is the part of a wireBatch that all followers with the same question share.
type wireRows struct {
	Rows []wireRow `cbor:"1,keyasint,omitempty"`
}

// wireState is the rest of a wireBatch.
type wireState struct {
	Version int64 `cbor:"2,keyasint"`
	StoreMS int64 `cbor:"3,keyasint"`
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// ask is what a follower asks for.
type ask struct {
	table string
	// after is a version, -1 for a snapshot.
	after int64
	wait  time.Duration
	// lag is how long ago the store may have spoken.
	lag time.Duration
}

func readAsk(r *http.Request) (ask, error) {
	query := r.URL.Query()
	number := func(name string) int64 {
		n, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil {
			return -1
		}
		return n
	}
	a := ask{
		table: query.Get("table"),
		after: number("after"),
		wait:  time.Duration(number("wait")) * time.Millisecond,
		lag:   time.Duration(number("lag")) * time.Millisecond,
	}
	if a.table == "" || a.lag <= 0 {
		return a, errors.New("table and lag are needed, lag in milliseconds")
	}
	return a, nil
}

// errStale says that this host does not follow the store, or not in time.
var errStale = errors.New("relay: not up to date with the store")

// ServeHTTP answers with a snapshot, or waits for changes.
func (c *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ask, err := readAsk(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var found answer
	if ask.after >= 0 {
		found, err = c.wait(r.Context(), ask)
	} else {
		found, err = c.read(ask, (*tableCopy).snapshot)
	}
	switch {
	case errors.Is(err, feed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		found.write(w, strings.Contains(r.Header.Get("Accept-Encoding"), packing))
	}
}

// answer is what a follower is sent.
type answer struct {
	// rows are shared among followers, empty for none.
	rows      encodedRows
	version   int64
	storeTime time.Duration
}

// mapHead begins a CBOR map of up to 23 members; the low bits are their number.
const mapHead = 0xa0

// write writes a wireBatch: one map of the members of both its parts. The rows are not
// copied, or each of hundreds of followers of a table would hold one.
func (a answer) write(w http.ResponseWriter, mayPack bool) {
	w.Header().Set("Content-Type", "application/cbor")
	if mayPack && len(a.rows.packed) > 0 {
		a.writePacked(w)
		return
	}
	state, err := cbor.Marshal(wireState{Version: a.version, StoreMS: a.storeTime.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	parts := [][]byte{state}
	if rows := a.rows.plain; len(rows) > 0 {
		members := rows[0]&^mapHead + state[0]&^mapHead
		parts = [][]byte{{mapHead | members}, rows[1:], state[1:]}
	}
	for _, part := range parts {
		// A follower that is gone is of no interest here.
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// read reads a table that is up to date.
func (c *Replica) read(a ask, get func(*tableCopy) (answer, error)) (answer, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.tables[a.table]
	if !ok {
		return answer{}, errStale
	}
	age := c.now().Sub(t.heardAt)
	if age > a.lag {
		return answer{}, errStale
	}
	found, err := get(t)
	found.storeTime = t.storeTime + age
	return found, err
}

// wait returns changes after a version as soon as there are some, an empty
// answer after a time without, and an error once the copy is out of date.
func (c *Replica) wait(ctx context.Context, a ask) (answer, error) {
	deadline := time.Now().Add(a.wait)
	for {
		var changed chan struct{}
		found, err := c.read(a, func(t *tableCopy) (answer, error) {
			changed = t.changed
			return t.after(a.after)
		})
		left := time.Until(deadline)
		if err != nil || len(found.rows.plain) > 0 || left <= 0 {
			return found, err
		}
		timer := time.NewTimer(min(left, leastLook))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return found, ctx.Err()
		}
		timer.Stop()
	}
}
