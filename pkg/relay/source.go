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
	"ironhollow/pkg/pause"
)

// Parameters of following through a relay.
const (
	// answerTime is how long a relay may take over an answer beyond the wait.
	answerTime = 700 * time.Millisecond
	// longestWait bounds a wait at a relay: the connection may be dead.
	longestWait = time.Second
	// shunTime is how long a relay that failed is skipped.
	shunTime = time.Second
	// startPatience is how long after its start a host waits for a relay that has read
	// the tables: all may have started at once, and would all call the store instead.
	startPatience = 2500 * time.Millisecond
	// startRetry is how long a relay that failed is skipped in that time.
	startRetry = 150 * time.Millisecond
	// quickAnswer is the time within which a relay says that it is not up to date; one that takes
	// longer may be cut off.
	quickAnswer = 200 * time.Millisecond
	// directPause is the time between two calls to a store that has failed this host, where no
	// relay is up to date either: the store is away from all then, and the relays notice first
	// that it is back.
	directPause = 1200 * time.Millisecond
	// mostBytes bounds an answer.
	mostBytes = 32 << 20
)

// Selector returns the addresses of the relays to follow, the best first, none for a
// host that is a relay itself and follows the store.
type Selector func() []string

// MaxLag returns how far a relay may be behind the store with a table: its followers must not fall
// behind what the table's use allows.
type MaxLag func(table string) time.Duration

// Source follows the store through a relay while there is a good one, and the
// store itself otherwise. A relay that the store turns away is left for that of another
// data centre: its followers would all call the store instead, for as long as it can't.
// It is a feed.Source and safe for concurrent use.
type Source struct {
	store  feed.Source
	copy   *Replica
	client *http.Client
	choose Selector
	lag    MaxLag
	// serves says that this host is advertised to callers.
	serves func() bool
	log    *log.Logger
	// started is when the source was made.
	started time.Time

	mu sync.Mutex
	// shunned are relays that failed, until when.
	shunned map[string]time.Time
	// failedUntil is until when the store is not asked for a table again, as it failed.
	failedUntil map[string]time.Time
	// directUntil is until when the store is followed itself, as a relay was slow.
	directUntil time.Time
}

// NewSource returns a source. What it reads from the store itself goes into the
// copy, for those that follow this host.
func NewSource(store feed.Source, into *Replica, client *http.Client, choose Selector, lag MaxLag, serves func() bool, logger *log.Logger) *Source {
	return &Source{store: store, copy: into, client: client, choose: choose, lag: lag, serves: serves, log: logger, started: time.Now(), shunned: map[string]time.Time{}, failedUntil: map[string]time.Time{}}
}

// Snapshot reads a whole table.
func (s *Source) Snapshot(ctx context.Context, name string) (feed.Batch, error) {
	relay, isRelay := s.relay()
	if s.starting() && s.serves() {
		// Its callers wait, and the relay may start as well: three of eight hosts that all
		// lost power had their configuration 0.75 s after their start, not 0.06 s.
		relay = ""
	}
	for relay != "" {
		asked := time.Now()
		batch, err := s.ask(ctx, relay, name, url.Values{}, answerTime)
		if err == nil {
			batch.Full = true
			return batch, nil
		}
		s.leave(relay, err, time.Since(asked))
		relay, isRelay = s.relay()
		for relay == "" && !isRelay && s.awaitsRelays() && pause.For(ctx, startRetry) {
			relay, isRelay = s.relay()
		}
	}
	if !isRelay && s.hasFailed(name) {
		return feed.Batch{}, errStoreAway
	}
	batch, err := s.store.Snapshot(ctx, name)
	s.noteDirect(name, err)
	if err == nil && isRelay {
		batch.Full = true
		s.copy.Reset(name, batch)
	}
	return batch, err
}

// Changes waits for changes of a table after a version.
func (s *Source) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	relay, isRelay := s.relay()
	for relay != "" {
		asked := time.Now()
		batch, err := s.changes(ctx, relay, name, after, min(wait, longestWait))
		if err == nil || errors.Is(err, feed.ErrHistoryGone) {
			return batch, err
		}
		s.leave(relay, err, time.Since(asked))
		relay, isRelay = s.relay()
	}
	if isRelay && s.copy.Version(name) != after {
		// What this host followed through others is not in its copy.
		return feed.Batch{}, feed.ErrHistoryGone
	}
	if !isRelay && s.hasFailed(name) {
		return feed.Batch{}, errStoreAway
	}
	batch, err := s.store.Changes(ctx, name, after, wait)
	s.noteDirect(name, err)
	if err == nil && isRelay {
		s.copy.Apply(name, batch)
	}
	return batch, err
}

// errStoreAway says that the store failed a moment ago and no relay is up to date.
var errStoreAway = errors.New("relay: the store failed a moment ago, and no relay is up to date")

// hasFailed reports whether the store has just failed for a table while the relays say that they
// have had no answer from it either. Where a relay is slow, a call to the store that fails shows
// nothing about the store: the table may be too long for this host's link.
func (s *Source) hasFailed(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	return now.Before(s.failedUntil[name]) && !now.Before(s.directUntil)
}

// noteDirect notes how a call to the store itself ended.
func (s *Source) noteDirect(name string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil || errors.Is(err, feed.ErrHistoryGone) {
		delete(s.failedUntil, name)
		return
	}
	s.failedUntil[name] = time.Now().Add(directPause/2 + rand.N(directPause))
}

// changes asks a relay for changes.
func (s *Source) changes(ctx context.Context, relay, name string, after int64, wait time.Duration) (feed.Batch, error) {
	query := url.Values{
		"after": {strconv.FormatInt(after, 10)},
		"wait":  {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	return s.ask(ctx, relay, name, query, wait+answerTime)
}

// relay returns the best relay that has not just failed, empty for the store; isRelay
// says that others may follow this host.
func (s *Source) relay() (address string, isRelay bool) {
	relays := s.choose()
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(relays) > 0 && time.Now().Before(s.directUntil) {
		return "", false
	}
	for _, address := range relays {
		if !time.Now().Before(s.shunned[address]) {
			return address, false
		}
	}
	return "", len(relays) == 0
}

// starting reports whether relays may have started at the same time as this host.
func (s *Source) starting() bool { return time.Since(s.started) < startPatience }

// awaitsRelays reports whether it is worth waiting for relays that all failed.
func (s *Source) awaitsRelays() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starting() && !time.Now().Before(s.directUntil)
}

// leave skips a relay that has failed after a time, for a moment only while it may start. After a
// slow one the store is followed itself: others may be cut off or overloaded too, and followers
// that went from one slow relay to the next would keep all of them busy.
func (s *Source) leave(relay string, err error, after time.Duration) {
	left := shunTime
	if s.starting() {
		left = startRetry
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.shunned[relay] = now.Add(left)
	if after > quickAnswer {
		s.directUntil = now.Add(shunTime)
	}
	s.log.Warn().Str("relay", relay).Err(err).Dur("after", after).Msg("relay left alone")
}

func (s *Source) ask(ctx context.Context, relay, name string, query url.Values, timeout time.Duration) (feed.Batch, error) {
	query.Set("table", name)
	query.Set("lag", strconv.FormatInt(s.lag(name).Milliseconds(), 10))
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+relay+Path+"?"+query.Encode(), nil)
	if err != nil {
		return feed.Batch{}, err
	}
	request.Header.Set("Accept-Encoding", packing)
	response, err := s.client.Do(request)
	if err != nil {
		return feed.Batch{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK && response.Header.Get("Content-Encoding") == packing {
		return readPacked(response)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, mostBytes))
	switch {
	case err != nil:
		return feed.Batch{}, err
	case response.StatusCode == http.StatusGone:
		return feed.Batch{}, feed.ErrHistoryGone
	case response.StatusCode != http.StatusOK:
		return feed.Batch{}, fmt.Errorf("relay: status %d", response.StatusCode)
	}
	return decode(data)
}

func decode(data []byte) (feed.Batch, error) {
	var wire wireBatch
	if err := cbor.Unmarshal(data, &wire); err != nil {
		return feed.Batch{}, fmt.Errorf("relay: %w", err)
	}
	batch := feed.Batch{Version: wire.Version, StoreTime: time.Duration(wire.StoreMS) * time.Millisecond}
	for _, row := range wire.Rows {
		batch.Rows = append(batch.Rows, feed.Row{Key: row.Key, Value: row.Value, Version: row.Version, Deleted: row.Deleted})
	}
	return batch, nil
}
