// Package storeview holds what a node knows through the feeds of the platform's
// store: the configuration in force, the endpoints and the hosts, followed directly
// or through a relay.
package storeview

import (
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/discovery"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
)

// Timing of the feeds.
const (
	// feedWait is how long the store holds a call; with the call's own time it
	// bounds how long a call without an answer stays unnoticed. Shorter ones
	// cost: every call is priced.
	feedWait = 2500 * time.Millisecond
	// feedRetry is the mean pause after a failure.
	feedRetry = 300 * time.Millisecond
	// endpointPause and rosterPause gather changes of busy tables, which would otherwise answer a
	// call each. A leaving endpoint must get no new work 2 s after the store has its row.
	endpointPause = 1300 * time.Millisecond
	rosterPause   = 1400 * time.Millisecond
	// coreRowsPause is that of the relays of a fleet with levels.
	coreRowsPause = 2800 * time.Millisecond
	// relayWait and relayPause are a relay's: the store must have answered it within a second or so,
	// see package relay, so that its followers are up to date in time.
	relayWait  = 800 * time.Millisecond
	relayPause = 700 * time.Millisecond
	// staleAfter is how long after the store's last answer a newer configuration may be in force.
	staleAfter = feedWait + 500*time.Millisecond
)

// RosterTable is the store's table of this system's processes.
const RosterTable = "hosts"

// Tables are names of tables in the platform's store.
type Tables struct {
	Configuration, ConfigurationKey string
	Endpoints                       string
	// OrderPrefix begins the keys of the configuration's table that order roll-outs.
	OrderPrefix string
}

// Decoder reads what others write to the store.
type Decoder interface {
	// Tables names the tables that are followed.
	Tables() Tables
	DecodeConfiguration(value []byte) (routetable.Spec, error)
	DecodeEndpoint(id string, value []byte) (endpoint.Info, error)
	// DecodeOrder decodes an order of a roll-out; version is its row's.
	DecodeOrder(value []byte, version int64) (rollout.Order, error)
}

// View is what a node knows. It is safe for concurrent use.
type View struct {
	decoder   Decoder
	clock     *storeclock.Clock
	directory *endpoint.Directory
	tables    *routetable.Holder
	endpoints *discovery.Syncer
	roster    *roster.Roster
	log       *log.Logger
	home      route.Location
	self      string
	lost      lossLog
	// inTouchSince is since when the endpoints' feed has not failed, heardAt when it
	// last answered, both counted from the clock's start in nanoseconds; 0 while it
	// fails.
	inTouchSince, heardAt atomic.Int64
	rollouts              *rollout.Splitter
	// rowsRead says that the hosts' rows have been read once, idle what they showed then.
	rowsRead bool
	idle     atomic.Int64
	// configured says that the configuration's table has been read once.
	configured bool
	// storeEra is the highest store era received, 0 if none.
	storeEra atomic.Int64
}

// New returns the view of a host whose process has the incarnation self. heartbeat
// is the time between two writes of an endpoint's row.
func New(decoder Decoder, heartbeat time.Duration, c *storeclock.Clock, members *roster.Roster, home route.Location, self string,
	rollouts *rollout.Splitter, logger *log.Logger,
) *View {
	directory := endpoint.NewDirectory()
	othersHeard := func(whole time.Duration) bool { return members.PeerReachedStore(self, whole, c.Now()) }
	return &View{
		decoder:   decoder,
		clock:     c,
		directory: directory,
		tables:    routetable.NewHolder(staleAfter, c.Now),
		endpoints: discovery.New(directory, decodeSeen(decoder, rollouts, c), heartbeat, othersHeard, c.Now, logger),
		roster:    members,
		log:       logger,
		home:      home,
		self:      self,
		rollouts:  rollouts,
	}
}

// decodeSeen decodes endpoints' rows and notes their versions before requests can go
// there.
func decodeSeen(decoder Decoder, rollouts *rollout.Splitter, c *storeclock.Clock) discovery.DecodeFunc {
	return func(id string, value []byte) (endpoint.Info, error) {
		info, err := decoder.DecodeEndpoint(id, value)
		if err == nil {
			rollouts.ObserveRelease(info.Service, info.Release, c.Now())
		}
		return info, err
	}
}

// contactFresh is how long ago the endpoints' feed must have answered to count as
// in touch: its rows change all the time, so that a call that hangs is no sign of
// a quiet store.
const contactFresh = 2500 * time.Millisecond

// StoreReachableFor is how long the endpoints' feed has not failed.
func (v *View) StoreReachableFor() time.Duration {
	now := v.clock.Running()
	since := time.Duration(v.inTouchSince.Load())
	if since == 0 || now-time.Duration(v.heardAt.Load()) > contactFresh {
		return 0
	}
	return now - since
}

// Parameters of a start.
const (
	// relaysFound is how long hosts that all start for the first time take to find their relays;
	// until then they follow the store itself.
	relaysFound = time.Second
	// rosterSoon is how long the other feeds wait for the hosts' rows, which have the relays to
	// follow; the store may be away.
	rosterSoon = time.Second
	// rosterLook is the pause between two looks whether they are there.
	rosterLook = 20 * time.Millisecond
)

// awaitRoster waits until the hosts' rows are known, or for rosterSoon.
func (v *View) awaitRoster(ctx context.Context) {
	for waited := time.Duration(0); !v.roster.Loaded() && waited < rosterSoon; waited += rosterLook {
		pause.For(ctx, rosterLook)
	}
}

// Follow starts the feeds; it returns once all have begun.
func (v *View) Follow(ctx context.Context, source feed.Source, firstStart bool) {
	tables := v.decoder.Tables()
	either := func(relay, other time.Duration) func() time.Duration {
		return func() time.Duration {
			if v.IsRelay() {
				return relay
			}
			return other
		}
	}
	start := func(name string, pause func() time.Duration, take feed.Take) {
		timing := feed.Timing{Wait: either(relayWait, feedWait), Pause: pause, Retry: feedRetry}
		heard := func(batch feed.Batch) {
			v.clock.Heard(batch.StoreTime)
			v.noteEra(name, batch)
			take(batch)
		}
		go feed.New(source, name, timing, heard, v.health).Run(ctx)
	}
	start(RosterTable, v.rosterPause, v.takeRoster)
	if firstStart {
		pause.For(ctx, relaysFound)
	}
	v.awaitRoster(ctx)
	start(tables.Configuration, func() time.Duration { return 0 }, v.takeConfiguration)
	start(tables.Endpoints, either(relayPause, endpointPause), v.endpoints.Apply)
}

// FollowTable follows another table until ctx ends, at the pace of the endpoints'.
func (v *View) FollowTable(ctx context.Context, source feed.Source, name string, take feed.Take) {
	either := func(relay, other time.Duration) func() time.Duration {
		return func() time.Duration {
			if v.IsRelay() {
				return relay
			}
			return other
		}
	}
	timing := feed.Timing{Wait: either(relayWait, feedWait), Pause: either(relayPause, endpointPause), Retry: feedRetry}
	feed.New(source, name, timing, take, v.health).Run(ctx)
}

// rosterPause grows with the fleet, as the rows' number does. In a fleet with levels only
// its core writes rows again and again; its relays, which are of the core, find each other
// by them where all of the core before is gone.
func (v *View) rosterPause() time.Duration {
	if v.roster.IsHierarchical() && v.IsRelay() {
		return coreRowsPause
	}
	return roster.ScaleInterval(rosterPause, v.roster.Sharing())
}

// Directory returns the endpoints as they are known.
func (v *View) Directory() *endpoint.Directory { return v.directory }

// RouteTables returns the configuration in force.
func (v *View) RouteTables() *routetable.Holder { return v.tables }

// EndpointSyncer returns the rows of endpoints.
func (v *View) EndpointSyncer() *discovery.Syncer { return v.endpoints }

// StoreEra returns the highest store era received, 0 if none.
func (v *View) StoreEra() int64 { return v.storeEra.Load() }

// Roster returns the hosts.
func (v *View) Roster() *roster.Roster { return v.roster }

// RecordCallResult writes a line when a call to the store, given by a name, begins to fail and when it
// succeeds again; a nil err is a success.
func (v *View) RecordCallResult(name string, err error) { v.lost.note(v.log, name, err, v.clock.Now()) }

// health notes a dependency that is lost or regained. A history that is gone is
// an answer: the rows are read anew, and nothing had to lapse for it.
func (v *View) health(table string, err error) {
	if errors.Is(err, feed.ErrHistoryGone) {
		v.log.Info().Str("feed", table).Err(err).Msg("history no longer available, reading a new snapshot")
		return
	}
	if table == v.decoder.Tables().Endpoints {
		v.noteContact(err)
	}
	v.RecordCallResult(table, err)
}

// noteContact keeps since when the endpoints' feed has not failed.
func (v *View) noteContact(err error) {
	if err != nil {
		v.inTouchSince.Store(0)
		v.endpoints.MarkStoreUnavailable()
		return
	}
	now := max(int64(v.clock.Running()), 1)
	v.heardAt.Store(now)
	v.inTouchSince.CompareAndSwap(0, now)
}

func (v *View) takeConfiguration(batch feed.Batch) {
	v.tables.Confirm()
	first := !v.configured
	v.configured = true
	for _, row := range batch.Rows {
		if strings.HasPrefix(row.Key, v.decoder.Tables().OrderPrefix) {
			v.takeOrder(row, first)
			continue
		}
		if row.Key != v.decoder.Tables().ConfigurationKey || row.Deleted {
			continue
		}
		spec, err := v.decoder.DecodeConfiguration(row.Value)
		if err != nil {
			v.log.Error().Err(err).Int64("row", row.Version).Msg("configuration not taken")
			continue
		}
		if v.tables.Adopt(spec) {
			v.log.Info().Int64("version", spec.Version).Int64("row", row.Version).Int("routes", len(spec.Routes)).Int("teams", len(spec.Teams)).Msg("configuration in force")
		}
	}
}

// noteEra records the highest store era received, and logs it when it is first received and after each
// restore.
func (v *View) noteEra(table string, batch feed.Batch) {
	era := storeversion.Era(batch.Version)
	for previous := v.storeEra.Load(); era > previous; previous = v.storeEra.Load() {
		if v.storeEra.CompareAndSwap(previous, era) {
			v.log.Info().Str("feed", table).Int64("previous", previous).Int64("era", era).Int64("version", batch.Version).Msg("new store era")
			return
		}
	}
}

// takeOrder applies an operator's order of a roll-out. first says that this process has just
// started: it may be an old one.
func (v *View) takeOrder(row feed.Row, first bool) {
	if row.Deleted {
		v.log.Info().Str("row", row.Key).Msg("order of a roll-out removed: it goes on as it was given")
		return
	}
	order, err := v.decoder.DecodeOrder(row.Value, row.Version)
	if err != nil {
		v.log.Error().Err(err).Int64("row", row.Version).Msg("order of a roll-out not taken")
		return
	}
	if v.rollouts.AddOrder(order, first) {
		v.log.Info().Str("service", order.Service).Str("target", order.Target).Dur("period", order.Period).Int64("order", order.ID).
			Bool("at-start", first).Msg("roll-out ordered")
	}
}

func (v *View) takeRoster(batch feed.Batch) {
	now := v.clock.Now()
	v.roster.NoteStoreResponse(now)
	if !v.rowsRead {
		v.rowsRead = true
		v.idle.Store(int64(idleBefore(batch)))
	}
	named := map[string]bool{v.self: true}
	for _, stored := range batch.Rows {
		if stored.Deleted {
			v.roster.Remove(stored.Key)
			continue
		}
		named[stored.Key] = true
		row, err := roster.Decode(stored.Key, stored.Value)
		if err != nil {
			v.log.Error().Err(err).Msg("host's row not taken")
			continue
		}
		if row.WrittenAt > 0 {
			row.Age = max(batch.StoreTime-row.WrittenAt, 0)
		}
		v.roster.Merge(row, now)
	}
	if batch.Full {
		v.roster.Retain(func(incarnation string) bool { return named[incarnation] })
	}
}

// Parameters of what the hosts' rows show at a start.
const (
	// youngTime is how old processes are at most that may have begun together with this
	// one: what they wrote does not show that any lived before.
	youngTime = 3 * time.Second
	// leastWriters is how many hosts must have written within a row's time before the
	// last write: then one of them would have written since if it lived.
	leastWriters = 4
	writersTime  = 3 * time.Second
	// leastIdle is how long none must have written for all to have ended: of four that
	// write every 1.5 s, in turn by chance, all are silent that long once in 81 times.
	leastIdle = time.Second
	// idleMargin is how long after the last row the last host may have lived.
	idleMargin = 500 * time.Millisecond
)

// IdleBeforeStart is how long no host served before this process began, as the rows showed
// that it read first; 0 unless all had ended.
func (v *View) IdleBeforeStart() time.Duration { return time.Duration(v.idle.Load()) }

// idleBefore works out how long no host had served when the rows were read.
func idleBefore(batch feed.Batch) time.Duration {
	var written []time.Duration
	for _, stored := range batch.Rows {
		row, err := roster.Decode(stored.Key, stored.Value)
		if err == nil && !stored.Deleted && row.WrittenAt > 0 && batch.StoreTime-row.StartedAt > youngTime {
			written = append(written, row.WrittenAt)
		}
	}
	if len(written) == 0 {
		return 0
	}
	slices.Sort(written)
	last := written[len(written)-1]
	recent := slices.IndexFunc(written, func(at time.Duration) bool { return last-at <= writersTime })
	idle := batch.StoreTime - last
	if len(written)-recent < leastWriters || idle < leastIdle {
		return 0
	}
	return idle - idleMargin
}

// Ready reports whether all that is needed to serve is known.
func (v *View) Ready() bool {
	table, _ := v.tables.Current()
	return table != nil && v.endpoints.Loaded() && v.roster.Loaded()
}
