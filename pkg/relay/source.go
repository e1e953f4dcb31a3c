package relay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/pause"
)

// Parameters of following the store through a relay.
const (
	// responseTimeout is how long a relay may take to respond in addition to the requested wait.
	responseTimeout = 700 * time.Millisecond
	// storeResponseTimeout is how long the store may take to begin a response to a call for
	// changes, in addition to the requested wait.
	storeResponseTimeout = 500 * time.Millisecond
	// maxWait bounds the wait at a relay, because the connection may be dead.
	maxWait = time.Second
	// relayBackoff is how long a failed relay is skipped.
	relayBackoff = time.Second
	// startupWait is how long after its start a host waits for a relay that has read the tables.
	// All hosts may have started at once, and all would call the store instead.
	startupWait = 2500 * time.Millisecond
	// startupBackoff is how long a failed relay is skipped during startupWait.
	startupBackoff = 150 * time.Millisecond
	// fastResponseTime is the time within which a relay that is out of date responds. One that
	// takes longer may be unreachable.
	fastResponseTime = 200 * time.Millisecond
	// storeRetryInterval is the mean time between two calls to a store that failed for this host
	// while no relay is up to date. The store is then unavailable to all hosts, and the relays
	// notice first that it is back.
	storeRetryInterval = 1200 * time.Millisecond
	// maxResponseBytes bounds the body of a response. The rows of 3,000 endpoints take some 1 MB.
	maxResponseBytes = 8 << 20
)

// Selector returns the addresses of the relays to follow, the best first. It returns none if the
// host is a relay itself and follows the store.
type Selector func() []string

// MaxLag returns how far a relay may be behind the store with a table, so that its followers stay
// within the delay that the use of the table allows.
type MaxLag func(table string) time.Duration

// Source follows the store through a relay while one is up to date, and directly otherwise. If a
// relay loses access to the store, its followers switch to the relay of another data centre;
// otherwise all of them would call the store for as long as the relay cannot. Source is a
// feed.Source and safe for concurrent use.
type Source struct {
	store        feed.Source
	replica      *Replica
	client       *http.Client
	selectRelays Selector
	maxLag       MaxLag
	// serves reports whether this host is advertised to callers.
	serves func() bool
	log    *log.Logger
	// started is when the source was created.
	started time.Time

	mu sync.Mutex
	// relayBackoffUntil is when the backoff of a failed relay ends, by address.
	relayBackoffUntil map[string]time.Time
	// storeBackoffUntil is when the store may be called again after a failure, by table.
	storeBackoffUntil map[string]time.Time
	// directUntil is until when the store is followed directly because a relay was slow.
	directUntil time.Time
}

// NewSource returns a source. What it reads from the store itself goes into ownReplica, for the
// followers of this host.
func NewSource(store feed.Source, ownReplica *Replica, client *http.Client, selectRelays Selector, maxLag MaxLag, serves func() bool, logger *log.Logger) *Source {
	return &Source{store: store, replica: ownReplica, client: client, selectRelays: selectRelays, maxLag: maxLag, serves: serves, log: logger, started: time.Now(), relayBackoffUntil: map[string]time.Time{}, storeBackoffUntil: map[string]time.Time{}}
}

// Snapshot reads a whole table.
func (s *Source) Snapshot(ctx context.Context, name string) (feed.Batch, error) {
	relay, isRelay := s.pickRelay()
	if s.isStarting() && s.serves() {
		// Read from the store: callers are waiting, and the relay may be starting too. Through a
		// relay, three of eight hosts that all lost power had their configuration only 0.75 s
		// after their start, instead of 0.06 s.
		relay = ""
	}
	for relay != "" {
		sentAt := time.Now()
		batch, err := s.fetch(ctx, relay, name, url.Values{}, responseTimeout)
		if err == nil {
			batch.Full = true
			return batch, nil
		}
		s.markFailed(relay, err, time.Since(sentAt))
		relay, isRelay = s.pickRelay()
		for relay == "" && !isRelay && s.shouldAwaitRelays() && pause.For(ctx, startupBackoff) {
			relay, isRelay = s.pickRelay()
		}
	}
	if !isRelay && s.isStoreInBackoff(name) {
		return feed.Batch{}, errStoreUnavailable
	}
	batch, err := s.store.Snapshot(ctx, name)
	s.recordStoreCall(name, err)
	if err == nil && isRelay {
		batch.Full = true
		s.replica.Reset(name, batch)
	}
	return batch, err
}

// Changes waits for changes of a table after a version.
func (s *Source) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	relay, isRelay := s.pickRelay()
	for relay != "" {
		sentAt := time.Now()
		batch, err := s.fetchChanges(ctx, relay, name, after, min(wait, maxWait))
		if err == nil || errors.Is(err, feed.ErrHistoryGone) {
			return batch, err
		}
		s.markFailed(relay, err, time.Since(sentAt))
		relay, isRelay = s.pickRelay()
		// The table is already out of date by the time that the relay took, so an answer is needed
		// at once. It also shows sooner whether the connection to the store is silent too.
		wait = 0
	}
	if isRelay && s.replica.Version(name) != after {
		// This host followed relays so far, and those changes are not in its replica.
		return feed.Batch{}, feed.ErrHistoryGone
	}
	if !isRelay && s.isStoreInBackoff(name) {
		return feed.Batch{}, errStoreUnavailable
	}
	// A silent connection shows only by the missing response. The rows may take longer to arrive.
	storeCtx, stop := httpx.WithResponseTimeout(ctx, wait+storeResponseTimeout)
	defer stop()
	batch, err := s.store.Changes(storeCtx, name, after, wait)
	s.recordStoreCall(name, err)
	if err == nil && isRelay {
		s.replica.Apply(name, batch)
	}
	return batch, err
}

// errStoreUnavailable means that the store failed a moment ago and no relay is up to date.
var errStoreUnavailable = errors.New("relay: the store failed a moment ago and no relay is up to date")

// isStoreInBackoff reports whether the store has just failed for a table while the relays also
// report that it does not answer. If a relay was slow, a failed call to the store does not show
// that the store is unavailable: the table may be too long for this host's link.
func (s *Source) isStoreInBackoff(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Before(s.storeBackoffUntil[name]) && !now.Before(s.directUntil)
}

// recordStoreCall records the result of a direct call to the store.
func (s *Source) recordStoreCall(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, feed.ErrHistoryGone) {
		delete(s.storeBackoffUntil, name)
		return
	}
	s.storeBackoffUntil[name] = time.Now().Add(storeRetryInterval/2 + rand.N(storeRetryInterval))
}

// fetchChanges requests changes from a relay.
func (s *Source) fetchChanges(ctx context.Context, relay, name string, after int64, wait time.Duration) (feed.Batch, error) {
	query := url.Values{
		"after": {strconv.FormatInt(after, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return s.fetch(ctx, relay, name, query, wait+responseTimeout)
}

// pickRelay returns the best relay that is not in backoff, empty for the store; isRelay is set if
// other hosts may follow this one.
func (s *Source) pickRelay() (address string, isRelay bool) {
	relays := s.selectRelays()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(relays) > 0 && time.Now().Before(s.directUntil) {
		return "", false
	}
	for _, address := range relays {
		if !time.Now().Before(s.relayBackoffUntil[address]) {
			return address, false
		}
	}
	return "", len(relays) == 0
}

// isStarting reports whether relays may have started at the same time as this host.
func (s *Source) isStarting() bool { return time.Since(s.started) < startupWait }

// shouldAwaitRelays reports whether to wait for the relays after all of them failed.
func (s *Source) shouldAwaitRelays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isStarting() && !time.Now().Before(s.directUntil)
}

// markFailed starts the backoff of a relay that failed after elapsed; it is short while the relay
// may be starting. After a slow failure the store is followed directly: other relays may be
// unreachable or overloaded too, and followers that went from one slow relay to the next would
// keep all of them busy.
func (s *Source) markFailed(relay string, err error, elapsed time.Duration) {
	backoff := relayBackoff
	if s.isStarting() {
		backoff = startupBackoff
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.relayBackoffUntil[relay] = now.Add(backoff)
	if elapsed > fastResponseTime {
		s.directUntil = now.Add(relayBackoff)
	}
	s.log.Warn().Str("relay", relay).Err(err).Dur("after", elapsed).Msg("relay failed; skipping it")
}

func (s *Source) fetch(ctx context.Context, relay, name string, query url.Values, timeout time.Duration) (feed.Batch, error) {
	query.Set("table", name)
	query.Set("lag", strconv.FormatInt(s.maxLag(name).Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ctx, connection := httpx.TraceConnection(ctx)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+relay+Path+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Batch{}, err
	}
	request.Header.Set("Accept-Encoding", contentEncoding)
	response, err := s.client.Do(request)
	if err != nil {
		return feed.Batch{}, connection.Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK && response.Header.Get("Content-Encoding") == contentEncoding {
		return readCompressed(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	switch {
	case err != nil:
		return feed.Batch{}, connection.Wrap(err)
	case response.StatusCode == http.StatusGone:
		return feed.Batch{}, feed.ErrHistoryGone
	case response.StatusCode != http.StatusOK:
		return feed.Batch{}, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	return decodeBatch(data)
}

func decodeBatch(data []byte) (feed.Batch, error) {
	var wire wireBatch
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return feed.Batch{}, fmt.Errorf("relay: %w", err)
	}
	batch := feed.Batch{Version: wire.Version, StoreTime: time.Duration(wire.StoreMS) * time.Millisecond, CompleteAt: time.Duration(wire.CompleteMS) * time.Millisecond}
	for _, row := range wire.Rows {
		batch.Rows = append(batch.Rows, feed.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return batch, nil
}
