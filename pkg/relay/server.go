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

// Path is the URL path at which hosts follow a table.
const Path = "/relay"

// staleCheckInterval is how often a waiting request checks whether the replica is still up to
// date.
const staleCheckInterval = 500 * time.Millisecond

// wireBatch is the body of an uncompressed response.
type wireBatch struct {
	Rows    []wireRow `cbor:"1,keyasint,omitempty"`
	Version int64     `cbor:"2,keyasint"`
	// StoreMS is the store's clock at the time of the response, CompleteMS when the relay had all changes, in
	// milliseconds. Relays of earlier versions do not send the latter.
	StoreMS    int64 `cbor:"3,keyasint"`
	CompleteMS int64 `cbor:"4,keyasint,omitempty"`
}

// wireRows is the part of a wireBatch that is shared by all followers that make the same request.
type wireRows struct {
	Rows []wireRow `cbor:"1,keyasint,omitempty"`
}

// wireState is the rest of a wireBatch.
type wireState struct {
	Version    int64 `cbor:"2,keyasint"`
	StoreMS    int64 `cbor:"3,keyasint"`
	CompleteMS int64 `cbor:"4,keyasint,omitempty"`
}

type wireRow struct {
	_       struct{} `cbor:",toarray"`
	Key     string
	Value   []byte
	Version int64
	Deleted bool
}

// tableRequest is the request of a follower.
type tableRequest struct {
	table string
	// after is the version after which changes are requested, -1 for a snapshot.
	after int64
	wait  time.Duration
	// maxLag is the maximum time since the replica was last in sync with the store.
	maxLag time.Duration
}

func parseRequest(r *http.Request) (tableRequest, error) {
	query := r.URL.Query()
	intParam := func(name string) int64 {
		n, err := strconv.ParseInt(query.Get(name), 10, 64)
		if err != nil {
			return -1
		}
		return n
	}
	req := tableRequest{
		table:  query.Get("table"),
		after:  intParam("after"),
		wait:   time.Duration(intParam("wait")) * time.Millisecond,
		maxLag: time.Duration(intParam("lag")) * time.Millisecond,
	}
	if req.table == "" || req.maxLag <= 0 {
		return req, errors.New("table and lag are needed, lag in milliseconds")
	}
	return req, nil
}

// errStale means that this host does not follow the store or is too far behind it.
var errStale = errors.New("relay: not up to date with the store")

// ServeHTTP responds with a snapshot or waits for changes.
func (rep *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	req, err := parseRequest(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var resp tableResponse
	if req.after >= 0 {
		resp, err = rep.wait(r.Context(), req)
	} else {
		resp, err = rep.read(req, (*tableReplica).snapshot)
	}
	switch {
	case errors.Is(err, feed.ErrHistoryGone):
		w.WriteHeader(http.StatusGone)
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	default:
		resp.write(w, strings.Contains(r.Header.Get("Accept-Encoding"), contentEncoding))
	}
}

// tableResponse is the response to a follower.
type tableResponse struct {
	// rows are shared among followers; empty if there are none.
	rows    encodedRows
	version int64
	// storeTime is the store's clock at the response, completeAt at the store's latest answer.
	storeTime, completeAt time.Duration
}

// cborMapHeader is the first byte of a CBOR map of up to 23 members; its low bits are the number
// of members.
const cborMapHeader = 0xa0

// write writes a wireBatch: one map with the members of wireRows and wireState. The rows are not
// copied, because each of a table's hundreds of followers would then hold a copy.
func (resp tableResponse) write(w http.ResponseWriter, mayCompress bool) {
	w.Header().Set("Content-Type", "application/cbor")
	if mayCompress && len(resp.rows.compressed) > 0 {
		resp.writeCompressed(w)
		return
	}
	state, err := cbor.Marshal(wireState{Version: resp.version, StoreMS: resp.storeTime.Milliseconds(), CompleteMS: resp.completeAt.Milliseconds()})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	parts := [][]byte{state}
	if rows := resp.rows.plain; len(rows) > 0 {
		members := rows[0]&^cborMapHeader + state[0]&^cborMapHeader
		parts = [][]byte{{cborMapHeader | members}, rows[1:], state[1:]}
	}
	for _, part := range parts {
		// Ignore the error: the follower has disconnected.
		if _, err := w.Write(part); err != nil {
			return
		}
	}
}

// read reads a table that is at most req.maxLag behind the store.
func (rep *Replica) read(req tableRequest, get func(*tableReplica) (tableResponse, error)) (tableResponse, error) {
	rep.mu.Lock()
	defer rep.mu.Unlock()
	t, ok := rep.tables[req.table]
	if !ok {
		return tableResponse{}, errStale
	}
	age := rep.now().Sub(t.syncedAt)
	if age > req.maxLag {
		return tableResponse{}, errStale
	}
	resp, err := get(t)
	resp.storeTime, resp.completeAt = t.storeTime+age, t.storeTime
	return resp, err
}

// wait returns the changes after a version as soon as there are any, an empty response if there
// are none within req.wait, and errStale once the replica is out of date.
func (rep *Replica) wait(ctx context.Context, req tableRequest) (tableResponse, error) {
	deadline := time.Now().Add(req.wait)
	for {
		var changed chan struct{}
		resp, err := rep.read(req, func(t *tableReplica) (tableResponse, error) {
			changed = t.changed
			return t.changesAfter(req.after)
		})
		remaining := time.Until(deadline)
		if err != nil || len(resp.rows.plain) > 0 || remaining <= 0 {
			return resp, err
		}
		timer := time.NewTimer(min(remaining, staleCheckInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return resp, ctx.Err()
		}
		timer.Stop()
	}
}
