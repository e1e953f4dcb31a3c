// Package storeview maintains a node's view of the platform's store: the current
// configuration, the endpoints and the hosts. It follows the store's tables directly or
// through a relay.
package storeview

import (
	"context"
	"errors"
	"slices"
	"sync"
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
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
)

// Timing of the feeds.
const (
	// feedWait is how long the store holds a call without changes. Together with the call's
	// own duration it limits how long an unanswered call stays undetected. A shorter wait
	// costs more, as each call is billed.
	feedWait = 2500 * time.Millisecond
	// feedRetry is the mean pause after a failure.
	feedRetry = 300 * time.Millisecond
	// endpointPause and rosterPause are pauses between calls that batch the changes of busy
	// tables, each of which would otherwise end a call. endpointPause is limited by the rule that
	// a leaving endpoint gets no new work 2 s after the store has its row.
	endpointPause = 1300 * time.Millisecond
	rosterPause   = 1400 * time.Millisecond
	// coreRosterPause replaces rosterPause at the relays of a hierarchical fleet.
	coreRosterPause = 2800 * time.Millisecond
	// relayWait and relayPause are the wait and the pause of a relay. The store must have answered
	// a relay within about a second (see package relay), so that its followers are up to date in
	// time.
	relayWait  = 800 * time.Millisecond
	relayPause = 700 * time.Millisecond
	// staleAfter is the time since the store's last answer after which the known configuration
	// may be outdated.
	staleAfter = feedWait + 500*time.Millisecond
)

// RosterTable is the name of the store's table of this system's hosts.
const RosterTable = "hosts"

// Tables has the names of tables and keys in the platform's store.
type Tables struct {
	Configuration, ConfigurationKey string
	Endpoints                       string
	// OrderPrefix is the prefix of the keys of roll-out orders in the configuration's table.
	OrderPrefix string
}

// Decoder decodes the rows that other systems write to the store.
type Decoder interface {
	// Tables returns the names of the tables to follow.
	Tables() Tables
	DecodeConfiguration(value []byte) (routetable.Spec, error)
	DecodeEndpoint(id string, value []byte) (endpoint.Info, error)
	// DecodeOrder decodes a roll-out order; version is the version of its row.
	DecodeOrder(value []byte, version int64) (rollout.Order, error)
}

// View is a node's view of the store. It is safe for concurrent use.
type View struct {
	decoder     Decoder
	clock       *storeclock.Clock
	directory   *endpoint.Directory
	routeTables *routetable.Holder
	endpoints   *discovery.Syncer
	roster      *roster.Roster
	log         *log.Logger
	home        route.Location
	self        string
	outages     outageLog
	// reachableSince is the start of the current period without a failure of the endpoints'
	// feed, or 0 while the feed fails. lastAnswer is the time of the feed's last answer. Both
	// are in nanoseconds since the clock's start.
	reachableSince, lastAnswer atomic.Int64
	rollouts                   *rollout.Splitter
	// rosterRead is set once the rows of hosts have been read, and idleBeforeStart is computed
	// from that first read.
	rosterRead      bool
	idleBeforeStart atomic.Int64
	// configurationRead is set once the configuration's table has been read.
	configurationRead bool
	// configuration is the configuration in force as it was received; nil if there is none.
	configuration atomic.Pointer[statetransfer.Configuration]
	// applyMu serializes batches of the feeds with the state of other hosts.
	applyMu sync.Mutex
	// rows are the rows of hosts and endpoints as they were received.
	rows rowCache
	// endpointRows is how far the endpoints' rows have been applied.
	endpointRows appliedRows
	// storeEra is the highest store era received, or 0 if none.
	storeEra atomic.Int64
	// ordersEndpoints reports whether this host orders endpoints at present; nil if it never does.
	ordersEndpoints atomic.Pointer[func() bool]
	// hurry ends the pause between reads of the endpoints' rows.
	hurry chan struct{}
}

// New returns the view of the host whose process has the incarnation self. heartbeat is
// the interval at which an endpoint writes its row.
func New(decoder Decoder, heartbeat time.Duration, c *storeclock.Clock, members *roster.Roster, home route.Location, self string,
	rollouts *rollout.Splitter, logger *log.Logger,
) *View {
	directory := endpoint.NewDirectory()
	peerReachedStore := func(duration time.Duration) bool { return members.PeerReachedStore(self, duration, c.Now()) }
	return &View{
		decoder:     decoder,
		clock:       c,
		directory:   directory,
		routeTables: routetable.NewHolder(staleAfter, c.Now),
		endpoints:   discovery.New(directory, decodeAndObserve(decoder, rollouts, c), heartbeat, peerReachedStore, c, logger),
		roster:      members,
		log:         logger,
		home:        home,
		self:        self,
		rollouts:    rollouts,
		hurry:       make(chan struct{}, 1),
	}
}

// decodeAndObserve returns a function that decodes an endpoint's row and passes its release to
// rollouts before requests can be sent to the endpoint.
func decodeAndObserve(decoder Decoder, rollouts *rollout.Splitter, c *storeclock.Clock) discovery.DecodeFunc {
	return func(id string, value []byte) (endpoint.Info, error) {
		info, err := decoder.DecodeEndpoint(id, value)
		if err == nil {
			rollouts.ObserveRelease(info.Service, info.Release, c.Now())
		}
		return info, err
	}
}

// answerTimeout is how long after the last answer of the endpoints' feed the store counts
// as reachable. The rows of endpoints change continuously, so a call without an answer does
// not mean that there are no changes.
const answerTimeout = 2500 * time.Millisecond

// StoreReachableFor returns how long the endpoints' feed has not failed, or 0 if its last
// answer is older than answerTimeout.
func (v *View) StoreReachableFor() time.Duration {
	now := v.clock.Uptime()
	since := time.Duration(v.reachableSince.Load())
	if since == 0 || now-time.Duration(v.lastAnswer.Load()) > answerTimeout {
		return 0
	}
	return now - since
}

// Parameters of the start of the feeds.
const (
	// relayDiscoveryTime is how long hosts of a fleet that starts for the first time need to
	// discover their relays. Until then they follow the store directly.
	relayDiscoveryTime = time.Second
	// rosterTimeout limits how long the other feeds wait for the rows of hosts, from which the
	// relays are selected. The store may be unavailable.
	rosterTimeout = time.Second
	// rosterPollInterval is the interval of the checks whether the rows have been read.
	rosterPollInterval = 20 * time.Millisecond
)

// awaitRoster waits until the rows of hosts have been read, for rosterTimeout at most.
func (v *View) awaitRoster(ctx context.Context) {
	for waited := time.Duration(0); !v.roster.Loaded() && waited < rosterTimeout; waited += rosterPollInterval {
		pause.For(ctx, rosterPollInterval)
	}
}

// Follow starts the feeds and returns once all are started.
func (v *View) Follow(ctx context.Context, source feed.Source, firstStart bool) {
	tables := v.decoder.Tables()
	startFeed := func(name string, pause func() time.Duration, apply feed.BatchHandler) {
		timing := feed.Timing{PollTimeout: v.byRole(relayWait, feedWait), PollDelay: pause, RetryDelay: feedRetry}
		if name == tables.Endpoints {
			timing.Hurry = v.hurry
		}
		receive := func(batch feed.Batch) {
			v.clock.Observe(batch.StoreTime)
			v.recordEra(name, batch)
			v.applyMu.Lock()
			defer v.applyMu.Unlock()
			if name != tables.Configuration {
				v.rows.apply(name, batch)
			}
			apply(batch)
			if name == tables.Endpoints {
				v.endpointRows.record(batch.Version, v.clock.Now())
			}
		}
		go feed.New(source, name, timing, receive, v.handleFeedResult).Run(ctx)
	}
	startFeed(RosterTable, v.rosterPause, v.applyRoster)
	if firstStart {
		pause.For(ctx, relayDiscoveryTime)
	}
	v.awaitRoster(ctx)
	startFeed(tables.Configuration, func() time.Duration { return 0 }, v.applyConfiguration)
	startFeed(tables.Endpoints, v.endpointsPause, v.endpoints.Apply)
}

// FollowTable follows another table with the timing of the endpoints' feed until ctx is done.
func (v *View) FollowTable(ctx context.Context, source feed.Source, name string, apply feed.BatchHandler) {
	timing := feed.Timing{PollTimeout: v.byRole(relayWait, feedWait), PollDelay: v.byRole(relayPause, endpointPause), RetryDelay: feedRetry}
	feed.New(source, name, timing, apply, v.handleFeedResult).Run(ctx)
}

// rosterPause returns the pause between reads of the rows of hosts. It increases with the
// size of the fleet and so with the number of rows. In a hierarchical fleet only the hosts of
// the core write their rows repeatedly. The relays belong to the core and discover each other
// through these rows if all earlier hosts of the core are gone.
func (v *View) rosterPause() time.Duration {
	if v.roster.IsHierarchical() && v.IsRelay() {
		return coreRosterPause
	}
	return roster.ScaleInterval(rosterPause, v.roster.Sharing())
}

// Directory returns the directory of known endpoints.
func (v *View) Directory() *endpoint.Directory { return v.directory }

// RouteTables returns the holder of the current configuration.
func (v *View) RouteTables() *routetable.Holder { return v.routeTables }

// EndpointSyncer returns the syncer that applies the rows of endpoints to the directory.
func (v *View) EndpointSyncer() *discovery.Syncer { return v.endpoints }

// StoreEra returns the highest store era received, or 0 if none.
func (v *View) StoreEra() int64 { return v.storeEra.Load() }

// Roster returns the roster of hosts.
func (v *View) Roster() *roster.Roster { return v.roster }

// RecordCallResult records the result of the named call to the store; a nil err is a success. It
// logs a line when the call begins to fail and when it succeeds again.
func (v *View) RecordCallResult(name string, err error) {
	v.outages.record(v.log, name, err, v.clock.Now())
}

// handleFeedResult records the result of a feed's call. feed.ErrHistoryGone does not count as a
// failure: the store has answered, and the feed reads a new snapshot without any rows having
// expired.
func (v *View) handleFeedResult(table string, err error) {
	if errors.Is(err, feed.ErrHistoryGone) {
		v.log.Info().Str("feed", table).Err(err).Msg("history no longer available, reading a new snapshot")
		return
	}
	if table == v.decoder.Tables().Endpoints {
		v.updateReachability(err)
	}
	v.RecordCallResult(table, err)
}

// updateReachability updates reachableSince and lastAnswer for a result of the endpoints' feed.
func (v *View) updateReachability(err error) {
	if err != nil {
		v.reachableSince.Store(0)
		v.endpoints.MarkStoreUnavailable()
		return
	}
	now := max(int64(v.clock.Uptime()), 1)
	v.lastAnswer.Store(now)
	v.reachableSince.CompareAndSwap(0, now)
}

// recordEra records the highest store era received. It logs the era when it is first received and after
// each restore.
func (v *View) recordEra(table string, batch feed.Batch) {
	era := storeversion.Era(batch.Version)
	for previous := v.storeEra.Load(); era > previous; previous = v.storeEra.Load() {
		if v.storeEra.CompareAndSwap(previous, era) {
			v.log.Info().Str("feed", table).Int64("previous", previous).Int64("era", era).Int64("version", batch.Version).Msg("new store era")
			return
		}
	}
}

func (v *View) applyRoster(batch feed.Batch) {
	now := v.clock.Now()
	if !v.rosterRead {
		v.rosterRead = true
		v.idleBeforeStart.Store(int64(idleTime(batch)))
	}
	// The roster counts as loaded from here on, and a start reads the idle time then.
	v.roster.NoteStoreResponse(now)
	present := map[string]bool{v.self: true}
	for _, stored := range batch.Rows {
		if stored.Deleted {
			v.roster.Remove(stored.Key)
			continue
		}
		present[stored.Key] = true
		row, err := roster.Decode(stored.Key, stored.Value)
		if err != nil {
			v.log.Error().Err(err).Msg("failed to decode host row")
			continue
		}
		if row.WrittenAt > 0 {
			row.Age = max(batch.StoreTime-row.WrittenAt, 0)
		}
		v.roster.Merge(row, now)
	}
	if batch.Full {
		v.roster.Retain(func(incarnation string) bool { return present[incarnation] })
	}
}

// Parameters of the computation of idleBeforeStart.
const (
	// recentStart is the maximum age of a process that may have started together with this
	// one. Rows of such processes are ignored, as they do not show that a host served before.
	recentStart = 3 * time.Second
	// minWriters is how many hosts must have written within writerWindow before the last
	// write. With that many, one of them would have written since if it were still alive.
	minWriters   = 4
	writerWindow = 3 * time.Second
	// minIdle is the minimum time without a write after which all hosts count as stopped. Four
	// hosts that write every 1.5 s, at random phases, are all silent that long in 1 of 81 cases.
	minIdle = time.Second
	// idleMargin is how long after the last write the last host may still have been alive.
	idleMargin = 500 * time.Millisecond
)

// IdleBeforeStart returns how long no host had served before this process started, computed
// from its first read of the rows of hosts. It is 0 unless all hosts had stopped.
func (v *View) IdleBeforeStart() time.Duration { return time.Duration(v.idleBeforeStart.Load()) }

// idleTime computes from the rows of hosts how long no host had served when they were read.
func idleTime(batch feed.Batch) time.Duration {
	var written []time.Duration
	for _, stored := range batch.Rows {
		row, err := roster.Decode(stored.Key, stored.Value)
		isWritten := err == nil && !stored.Deleted && row.WrittenAt > 0 && row.WrittenAt <= batch.StoreTime
		if isWritten && batch.StoreTime-row.StartedAt > recentStart {
			written = append(written, row.WrittenAt)
		}
	}
	if len(written) == 0 {
		return 0
	}
	slices.Sort(written)
	last := written[len(written)-1]
	recent := slices.IndexFunc(written, func(at time.Duration) bool { return last-at <= writerWindow })
	idle := batch.StoreTime - last
	if len(written)-recent < minWriters || idle < minIdle {
		return 0
	}
	return idle - idleMargin
}

// Loaded reports whether the configuration, the endpoints and the hosts are known, all of
// which are needed to serve.
func (v *View) Loaded() bool {
	table, _ := v.routeTables.Current()
	return table != nil && v.endpoints.Loaded() && v.roster.Loaded()
}
