package relay

import (
	"context"
	"errors"
	"net/http"
	"strconv"
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
func (c *Copy) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ask, err := readAsk(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var batch feed.Batch
	if ask.after >= 0 {
		batch, err = c.wait(r.Context(), ask)
	} else {
		batch, err = c.read(ask, func(t *tableCopy) (feed.Batch, error) { return t.snapshot(), nil })
	}
	switch {
	case errors.Is(err, feed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		writeBatch(w, batch)
	}
}

func writeBatch(w http.ResponseWriter, batch feed.Batch) {
	wire := wireBatch{Version: batch.Version, StoreMS: batch.StoreTime.Milliseconds()}
	for _, row := range batch.Rows {
		wire.Rows = append(wire.Rows, wireRow{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	data, err := cbor.Marshal(wire)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/cbor")
	// A follower that is gone is of no interest here.
	_, _ = w.Write(data)
}

// read reads a table that is up to date.
func (c *Copy) read(a ask, get func(*tableCopy) (feed.Batch, error)) (feed.Batch, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t, ok := c.tables[a.table]
	if !ok {
		return feed.Batch{}, errStale
	}
	age := c.now().Sub(t.heardAt)
	if age > a.lag {
		return feed.Batch{}, errStale
	}
	batch, err := get(t)
	batch.StoreTime = t.storeTime + age
	return batch, err
}

// wait returns changes after a version as soon as there are some, an empty
// batch after a time without, and an error once the copy is out of date.
func (c *Copy) wait(ctx context.Context, a ask) (feed.Batch, error) {
	deadline := time.Now().Add(a.wait)
	for {
		var changed chan struct{}
		batch, err := c.read(a, func(t *tableCopy) (feed.Batch, error) {
			changed = t.changed
			return t.after(a.after)
		})
		left := time.Until(deadline)
		if err != nil || len(batch.Rows) > 0 || left <= 0 {
			return batch, err
		}
		timer := time.NewTimer(min(left, leastLook))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return batch, ctx.Err()
		}
		timer.Stop()
	}
}
