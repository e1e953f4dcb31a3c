package node

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/discovery"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/routetable"
)

// Timing of the feeds.
const (
	// feedWait is how long the store holds a call; with the call's own time it
	// bounds how long a call without an answer stays unnoticed. Shorter ones
	// cost: every call is priced.
	feedWait = 2500 * time.Millisecond
	// feedRetry is the mean pause after a failure.
	feedRetry = 300 * time.Millisecond
	// endpointPause and rosterPause gather changes of busy tables, which would
	// otherwise answer a call each. A leaving endpoint must get no new work 2 s
	// after the store's word at the latest.
	endpointPause = 1300 * time.Millisecond
	rosterPause   = 1400 * time.Millisecond
	// relayWait and relayPause are a relay's: it must have heard of the store
	// within a second or so, see package relay, so that others hear in time.
	relayWait  = 800 * time.Millisecond
	relayPause = 700 * time.Millisecond
	// staleAfter is how long after the last word from the store a newer
	// configuration may be in force unheard.
	staleAfter = feedWait + 500*time.Millisecond
)

// world is what a node knows through the store's feeds.
type world struct {
	platform  Platform
	clock     *clock
	directory *endpoint.Directory
	tables    *routetable.Holder
	endpoints *discovery.Rows
	roster    *roster.Roster
	log       *log.Logger
	self      string
	lost      lossLog
	// inTouchSince is since when the endpoints' feed has not failed, heardAt when it
	// last answered, both counted from the clock's start in nanoseconds; 0 while it
	// fails.
	inTouchSince, heardAt atomic.Int64
}

func newWorld(platform Platform, heartbeat time.Duration, c *clock, members *roster.Roster, self string, logger *log.Logger) *world {
	directory := endpoint.NewDirectory()
	othersHeard := func(whole time.Duration) bool { return members.InTouch(self, whole, c.Now()) }
	return &world{
		platform:  platform,
		clock:     c,
		directory: directory,
		tables:    routetable.NewHolder(staleAfter, c.Now),
		endpoints: discovery.New(directory, platform.DecodeEndpoint, heartbeat, othersHeard, c.Now, logger),
		roster:    members,
		log:       logger,
		self:      self,
	}
}

// contactFresh is how long ago the endpoints' feed must have answered to count as
// in touch: its rows change all the time, so that a call that hangs is no sign of
// a quiet store.
const contactFresh = 2500 * time.Millisecond

// inTouch is how long the endpoints' feed has not failed.
func (w *world) inTouch() time.Duration {
	now := time.Since(w.clock.start)
	since := time.Duration(w.inTouchSince.Load())
	if since == 0 || now-time.Duration(w.heardAt.Load()) > contactFresh {
		return 0
	}
	return now - since
}

// relaysFound is how long hosts that all start for the first time take to find
// their relays; whoever follows before that follows the store itself.
const relaysFound = time.Second

// follow starts the feeds. isRelay tells whether others follow this host.
func (w *world) follow(ctx context.Context, source feed.Source, isRelay func() bool, firstStart bool) {
	tables := w.platform.Tables()
	either := func(relay, other time.Duration) func() time.Duration {
		return func() time.Duration {
			if isRelay() {
				return relay
			}
			return other
		}
	}
	start := func(name string, pause func() time.Duration, take feed.Take) {
		timing := feed.Timing{Wait: either(relayWait, feedWait), Pause: pause, Retry: feedRetry}
		heard := func(batch feed.Batch) {
			w.clock.heard(batch.StoreTime)
			take(batch)
		}
		go feed.New(source, name, timing, heard, w.health).Run(ctx)
	}
	start(rosterTable, w.rosterPause, w.takeRoster)
	if firstStart {
		wait(ctx, relaysFound)
	}
	start(tables.Configuration, func() time.Duration { return 0 }, w.takeConfiguration)
	start(tables.Endpoints, either(relayPause, endpointPause), w.endpoints.Take)
}

// rosterPause grows with the fleet, as the rows' number does.
func (w *world) rosterPause() time.Duration {
	return rosterPause * time.Duration(max(w.roster.Sharing(), largeFleet)) / largeFleet
}

// health notes a dependency that is lost or regained. A history that is gone is
// an answer: the rows are read anew, and nothing had to lapse for it.
func (w *world) health(table string, err error) {
	if errors.Is(err, feed.ErrHistoryGone) {
		w.log.Info().Str("feed", table).Msg("history gone, the table is read anew")
		return
	}
	if table == w.platform.Tables().Endpoints {
		w.noteContact(err)
	}
	w.lost.note(w.log, table, err, w.clock.Now())
}

// noteContact keeps since when the endpoints' feed has not failed.
func (w *world) noteContact(err error) {
	if err != nil {
		w.inTouchSince.Store(0)
		w.endpoints.Lost()
		return
	}
	now := max(int64(time.Since(w.clock.start)), 1)
	w.heardAt.Store(now)
	w.inTouchSince.CompareAndSwap(0, now)
}

func (w *world) takeConfiguration(batch feed.Batch) {
	w.tables.Heard()
	for _, row := range batch.Rows {
		if row.Key != w.platform.Tables().ConfigurationKey || row.Deleted {
			continue
		}
		spec, err := w.platform.DecodeConfiguration(row.Value)
		if err != nil {
			w.log.Error().Err(err).Int64("row", row.Version).Msg("configuration not taken")
			continue
		}
		if w.tables.Adopt(spec) {
			w.log.Info().Int64("version", spec.Version).Int("routes", len(spec.Routes)).Int("teams", len(spec.Teams)).Msg("configuration in force")
		}
	}
}

func (w *world) takeRoster(batch feed.Batch) {
	now := w.clock.Now()
	w.roster.Heard(now)
	named := map[string]bool{w.self: true}
	for _, stored := range batch.Rows {
		if stored.Deleted {
			w.roster.Remove(stored.Key)
			continue
		}
		named[stored.Key] = true
		row, err := roster.Decode(stored.Key, stored.Value)
		if err != nil {
			w.log.Error().Err(err).Msg("host's row not taken")
			continue
		}
		w.roster.Merge(row, now)
	}
	if batch.Full {
		w.roster.Keep(func(incarnation string) bool { return named[incarnation] })
	}
}

// ready reports whether all that is needed to serve is known.
func (w *world) ready() bool {
	table, _ := w.tables.Current()
	return table != nil && w.endpoints.Known() && w.roster.Known()
}
