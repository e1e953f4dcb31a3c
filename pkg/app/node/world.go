package node

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

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
	// within a second, see package relay, so that others hear in time.
	relayWait  = 800 * time.Millisecond
	relayPause = 700 * time.Millisecond
	// staleAfter is how long after the last word from the store a newer
	// configuration may be in force unheard.
	staleAfter = feedWait + 500*time.Millisecond
	// returnTime is how long endpoints whose rows lapsed while the store was
	// away have to be back.
	returnTime = 2 * time.Second
)

// world is what a node knows through the store's feeds.
type world struct {
	platform  Platform
	clock     *clock
	directory *endpoint.Directory
	roster    *roster.Roster
	log       *log.Logger
	self      string

	table atomic.Pointer[routetable.Table]
	// configuredAt is when the store last spoke of the configuration.
	configuredAt atomic.Int64
	endpoints    endpointFeed
	lost         lossLog
}

// endpointFeed is the state of the endpoints' feed, used by its goroutine.
type endpointFeed struct {
	known atomic.Bool
	// lapsed are endpoints whose row went while the store was away, or may have.
	lapsed map[string]time.Time
	// heardAt is the last success.
	heardAt time.Time
	// awaySince is not zero while the store does not answer.
	away bool
}

// Current returns the configuration in force; it is forward.Tables.
func (w *world) Current() (*routetable.Table, bool) {
	heard := time.Unix(0, w.configuredAt.Load())
	return w.table.Load(), w.clock.Now().Sub(heard) < staleAfter
}

// follow starts the feeds. isRelay tells whether others follow this host.
func (w *world) follow(ctx context.Context, source feed.Source, isRelay func() bool) {
	tables := w.platform.Tables()
	w.endpoints.lapsed = map[string]time.Time{}
	start := func(name string, pause func() time.Duration, take feed.Take) {
		timing := feed.Timing{
			Wait: func() time.Duration {
				if isRelay() {
					return relayWait
				}
				return feedWait
			},
			Pause: pause,
			Retry: feedRetry,
		}
		go feed.New(source, name, timing, take, w.health).Run(ctx)
	}
	start(tables.Configuration, func() time.Duration { return 0 }, w.takeConfiguration)
	start(tables.Endpoints, func() time.Duration {
		if isRelay() {
			return relayPause
		}
		return endpointPause
	}, w.takeEndpoints)
	start(rosterTable, w.rosterPause, w.takeRoster)
}

// rosterPause grows with the fleet, as the rows' number does.
func (w *world) rosterPause() time.Duration {
	return rosterPause * time.Duration(max(w.roster.Sharing(), largeFleet)) / largeFleet
}

// health notes a dependency that is lost or regained.
func (w *world) health(table string, err error) {
	if table == w.platform.Tables().Endpoints && err != nil {
		w.endpoints.away = true
	}
	w.lost.note(w.log, table, err, w.clock.Now())
}

func (w *world) takeConfiguration(batch feed.Batch) {
	w.clock.heard(batch.StoreTime)
	w.configuredAt.Store(w.clock.Now().UnixNano())
	for _, row := range batch.Rows {
		if row.Key != w.platform.Tables().ConfigurationKey || row.Deleted {
			continue
		}
		spec, err := w.platform.DecodeConfiguration(row.Value)
		if err != nil {
			w.log.Error().Err(err).Int64("row", row.Version).Msg("configuration not taken")
			continue
		}
		w.adopt(spec)
	}
}

// adopt puts a configuration in force unless one at least as new is.
func (w *world) adopt(spec routetable.Spec) {
	current := w.table.Load()
	if current != nil && spec.Version <= current.Version() {
		w.log.Debug().Int64("version", spec.Version).Int64("in-force", current.Version()).Msg("old configuration left")
		return
	}
	w.table.Store(routetable.New(spec))
	w.log.Info().Int64("version", spec.Version).Int("routes", len(spec.Routes)).Int("teams", len(spec.Teams)).Msg("configuration in force")
}

func (w *world) takeEndpoints(batch feed.Batch) {
	now := w.clock.Now()
	w.clock.heard(batch.StoreTime)
	away := w.endpoints.away
	w.endpoints.away = false
	named := map[string]bool{}
	for _, row := range batch.Rows {
		if row.Deleted {
			w.lapse(row.Key, away, now)
			continue
		}
		named[row.Key] = true
		w.takeEndpoint(row)
	}
	if batch.Full {
		for _, info := range w.directory.View().Infos() {
			if info.Takes() && !named[info.ID] {
				w.lapse(info.ID, away, now)
			}
		}
	}
	w.expire(now)
	w.endpoints.known.Store(true)
}

// lapse handles a row that went. While the store was away rows go because
// nobody could renew them: those endpoints stay in use until they had time to
// come back.
func (w *world) lapse(id string, away bool, now time.Time) {
	if away {
		if _, waiting := w.endpoints.lapsed[id]; !waiting {
			w.endpoints.lapsed[id] = now.Add(returnTime)
		}
		return
	}
	w.gone(id, "row removed")
}

func (w *world) expire(now time.Time) {
	for id, until := range w.endpoints.lapsed {
		if now.After(until) {
			delete(w.endpoints.lapsed, id)
			w.gone(id, "not back after the store was")
		}
	}
}

func (w *world) gone(id, why string) {
	info, ok := w.directory.Get(id)
	if !ok || info.State == endpoint.Gone {
		return
	}
	info.State = endpoint.Gone
	w.directory.Merge(info)
	w.log.Info().Str("endpoint", id).Str("address", info.Address).Str("why", why).Msg("endpoint gone")
}

func (w *world) takeEndpoint(row feed.Row) {
	delete(w.endpoints.lapsed, row.Key)
	heard, err := w.platform.DecodeEndpoint(row.Key, row.Value)
	if err != nil {
		w.log.Error().Err(err).Msg("endpoint's row not taken")
		return
	}
	heard.Counter = row.Version
	held, known := w.directory.Get(row.Key)
	switch {
	case !known:
		heard.Incarnation = row.Version
	case held.State == endpoint.Gone:
		// Its row is back: it was cut off, and serves again.
		heard.Incarnation = row.Version
	default:
		heard.Incarnation = held.Incarnation
	}
	next, _ := w.directory.Merge(heard)
	if !known || held.State != next.State {
		w.log.Info().Str("endpoint", row.Key).Str("service", heard.Service).Str("dc", heard.DataCenter).Str("address", heard.Address).
			Str("state", next.State.String()).Bool("reclaimable", heard.Reclaimable).Int64("row", row.Version).Msg("endpoint")
	}
}

func (w *world) takeRoster(batch feed.Batch) {
	now := w.clock.Now()
	w.clock.heard(batch.StoreTime)
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
	return w.table.Load() != nil && w.endpoints.known.Load() && w.roster.Known()
}
