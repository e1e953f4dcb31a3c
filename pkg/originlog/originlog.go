// Package originlog saves where streams began to the store, so that callers can resume them after all hosts
// have ended at once. Each host that relays streams has a row. It names the sources of each route: services, with the
// releases of their endpoints, at which its streams may begin. While a route has one source, all its streams
// began there, and nothing is written for a stream. While it has several, the row also names the streams.
//
// A stream that no row names is only continued if its route had one source by all rows, and has the same one by what the
// store lists of the endpoints after its caller has resumed it: this host's view of them may be outdated. A row that is lost
// or late means that an origin is unknown.
package originlog

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/table"
)

// Timing of a log.
const (
	// retention is how long a source counts after it was last seen, and a row after it was written. Callers
	// resume streams sooner.
	retention = time.Minute
	// minInterval is the least time between two writes of a host. Streams that began within it are lost if all
	// hosts end. With many hosts the interval is longer: intervalPerHost for each of them.
	minInterval     = 200 * time.Millisecond
	intervalPerHost = 10 * time.Millisecond
	// sourceInterval is the time between two checks for new sources, which are written at once.
	sourceInterval = 100 * time.Millisecond
	// refreshInterval is the time after which a row is written again if nothing has changed, while streams run.
	refreshInterval = retention / 3
	writeTimeout    = 2 * time.Second
	retryInterval   = time.Second
	// readTimeout bounds a search, readInterval is the time for which the rows read are used.
	readTimeout  = 300 * time.Millisecond
	readInterval = 300 * time.Millisecond
	// expiredRows is the age from which on the rows of other hosts are deleted, maxDeleted how many a read deletes.
	expiredRows = 10 * time.Minute
	maxDeleted  = 20
	// maxTracked bounds the streams in memory; further ones are not saved.
	maxTracked = 8 << 10
	// pageSize is the number of rows that one call reads, the store's maximum.
	pageSize = 500
)

// Sources knows where streams of each route may begin, by the name of the route.
type Sources interface {
	// Known returns the sources by this host's view of the endpoints, which may be outdated.
	Known() map[string][]origin.Source
	// Latest returns those of Known and of the endpoints that the store lists during the call. It returns an error if
	// that is not known.
	Latest(ctx context.Context) (map[string][]origin.Source, error)
}

// Clock is the clock of the store.
type Clock interface {
	Now() time.Time
	StoreTime() (time.Duration, bool)
}

// routeSource is a source of a route.
type routeSource struct {
	route  string
	source origin.Source
}

// begun is a stream that began at this host.
type begun struct {
	begunAt routeSource
	until   time.Time
}

// Log is the log of one host. It is safe for concurrent use.
type Log struct {
	node    string
	writer  *table.Writer
	clock   Clock
	sources Sources
	// hosts returns the number of hosts that relay streams.
	hosts    func() int
	storeEra func() int64
	metrics  *metrics
	log      *log.Logger

	mu sync.Mutex
	// streams are those that began here, seen is when each source was last there. Both have what the previous
	// process of this host had written, once isLoaded is set; nothing is written before.
	streams  map[origin.Key]begun
	seen     map[routeSource]time.Time
	isLoaded bool
	// hasNew is set if streams have begun since the last write, addedAt is when the latest one did.
	hasNew  bool
	addedAt time.Time

	readMu sync.Mutex
	// read is what was read last. That began at readAt, or failed then.
	read   snapshot
	readAt time.Time
	// malformedRows are the rows that could not be decoded, by key.
	malformedRows map[string]malformedRow

	latestMu sync.Mutex
	// latest is what Sources.Latest returned last without an error. The call began at latestAt.
	latest   map[string][]origin.Source
	latestAt time.Time

	// The rest is used by Run only. version is that of this host's row as last known, 0 for none; written are the
	// sources that it names.
	version   int64
	written   map[routeSource]bool
	writtenAt time.Time
	era       int64
}

// New returns a log. node is the name of this host.
func New(node string, writer *table.Writer, clock Clock, sources Sources, hosts func() int, storeEra func() int64, registry prometheus.Registerer, logger *log.Logger) *Log {
	return &Log{
		node: node, writer: writer, clock: clock, sources: sources, hosts: hosts, storeEra: storeEra, metrics: newMetrics(registry), log: logger,
		streams: map[origin.Key]begun{}, seen: map[routeSource]time.Time{}, written: map[routeSource]bool{},
	}
}

// Add adds a stream that began. life is how long its caller may resume it.
func (l *Log) Add(key origin.Key, route string, source origin.Source, life time.Duration) {
	now := l.clock.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	begunAt := routeSource{route, source}
	l.seen[begunAt], l.addedAt = now, now
	if len(l.streams) < maxTracked {
		l.streams[key] = begun{begunAt, now.Add(life)}
		l.hasNew = true
	}
}

// Remove removes a stream that is complete.
func (l *Log) Remove(key origin.Key) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, key)
}

// Run writes this host's row until ctx ends.
func (l *Log) Run(ctx context.Context) {
	for pause.For(ctx, sourceInterval) {
		if !l.step(ctx) {
			pause.For(ctx, retryInterval)
		}
	}
}

// step writes the row if that is due. It returns false if the store did not take it.
func (l *Log) step(ctx context.Context) (done bool) {
	storeNow, known := l.clock.StoreTime()
	if !known || !l.relaysStreams() {
		return true
	}
	if !l.isLoaded {
		return l.loadOwn(ctx)
	}
	now := l.clock.Now()
	sources := l.currentSources(now)
	isRestored := l.storeEra() > l.era
	isNewSource := slices.ContainsFunc(sources, func(p routeSource) bool { return !l.written[p] })
	interval := max(minInterval, time.Duration(l.hosts())*intervalPerHost)
	age := now.Sub(l.writtenAt)
	if !isNewSource && !isRestored && age < refreshInterval && (age < interval || !l.hasNewAmbiguous(sources)) {
		return true
	}
	l.era = l.storeEra()
	return l.write(ctx, sources, now, storeNow)
}

// relaysStreams reports whether a stream has begun at this host recently.
func (l *Log) relaysStreams() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.addedAt.IsZero() && l.clock.Now().Sub(l.addedAt) < retention
}

// currentSources notes the sources there are now, and returns those of the last retention.
func (l *Log) currentSources(now time.Time) []routeSource {
	l.mu.Lock()
	defer l.mu.Unlock()
	for route, sources := range l.sources.Known() {
		for _, s := range sources {
			l.seen[routeSource{route, s}] = now
		}
	}
	maps.DeleteFunc(l.seen, func(_ routeSource, at time.Time) bool { return now.Sub(at) > retention })
	maps.DeleteFunc(l.streams, func(_ origin.Key, s begun) bool { return now.After(s.until) })
	return slices.Collect(maps.Keys(l.seen))
}

// hasNewAmbiguous reports whether streams have begun since the last write whose routes have several sources.
func (l *Log) hasNewAmbiguous(sources []routeSource) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.hasNew && len(ambiguousRoutes(sources)) > 0
}

// ambiguousRoutes returns the routes with several sources.
func ambiguousRoutes(sources []routeSource) map[string]bool {
	count, ambiguous := map[string]int{}, map[string]bool{}
	for _, p := range sources {
		if count[p.route]++; count[p.route] > 1 {
			ambiguous[p.route] = true
		}
	}
	return ambiguous
}

func (l *Log) write(ctx context.Context, sources []routeSource, now time.Time, storeNow time.Duration) (done bool) {
	value, err := encode(l.row(sources, now, storeNow))
	if err != nil {
		l.log.Error().Err(err).Msg("failed to encode this host's row of stream origins")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	// A late copy of an earlier write must not replace this one.
	var condition table.Condition = table.Absent{}
	if l.version != 0 {
		condition = table.AtVersion{Version: l.version}
	}
	switch o := l.writer.Commit(ctx, table.Write{Key: keyOf(l.node), Value: value, If: condition}).(type) {
	case table.Committed:
		l.metrics.writes.WithLabelValues("committed").Inc()
		l.version, l.writtenAt = o.Version, now
		l.written = map[routeSource]bool{}
		for _, p := range sources {
			l.written[p] = true
		}
		return true
	case table.Refused:
		l.metrics.writes.WithLabelValues("refused").Inc()
		l.log.Warn().Err(o.Err).Int("conflicts", len(o.Conflicts)).Msg("the store refused this host's row of stream origins")
	case table.Unknown:
		l.metrics.writes.WithLabelValues("unknown").Inc()
		l.log.Warn().Err(o.Err).Msg("failed to write this host's row of stream origins")
	}
	l.setNew()
	return l.readVersion(ctx)
}

func (l *Log) setNew() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasNew = true
}

// readVersion reads the version of this host's row after a write that did not succeed.
func (l *Log) readVersion(ctx context.Context) (done bool) {
	stored, ok, err := l.writer.Store().Get(ctx, keyOf(l.node))
	if err != nil {
		return false
	}
	l.version = 0
	if ok {
		l.version = stored.Version
	}
	return true
}

// row returns the row to write.
func (l *Log) row(sources []routeSource, now time.Time, storeNow time.Duration) row {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.hasNew = false
	r, index := row{WrittenMS: toMS(storeNow)}, map[routeSource]uint16{}
	for _, p := range sources {
		index[p] = uint16(len(r.Sources))
		r.Sources = append(r.Sources, rowSource{Route: p.route, Service: p.source.Service, Release: p.source.Release, LastMS: toMS(storeNow - now.Sub(l.seen[p]))})
	}
	ambiguous := ambiguousRoutes(sources)
	for key, s := range l.streams {
		if i, ok := index[s.begunAt]; ok && ambiguous[s.begunAt.route] {
			r.Streams = append(r.Streams, stream{Key: key[:], Source: i, UntilMS: toMS(storeNow + s.until.Sub(now))})
		}
	}
	if len(r.Streams) > maxStreams {
		slices.SortFunc(r.Streams, func(a, b stream) int { return int(b.UntilMS - a.UntilMS) })
		r.Streams = r.Streams[:maxStreams]
	}
	return r
}

// loadOwn takes over what the previous process of this host has written, which the first write would replace.
func (l *Log) loadOwn(ctx context.Context) (done bool) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	stored, ok, err := l.writer.Store().Get(ctx, keyOf(l.node))
	storeNow, known := l.clock.StoreTime()
	if err != nil || !known {
		return false
	}
	var r row
	if ok {
		l.version = stored.Version
		if r, err = decode(stored.Value); err != nil {
			l.metrics.badRows.Inc()
			l.log.Error().Err(err).Str("row", stored.Key).Msg("failed to decode this host's row of stream origins")
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isLoaded = true
	now := l.clock.Now()
	local := func(ms int64) time.Time { return now.Add(fromMS(ms) - storeNow) }
	for _, p := range r.Sources {
		known := routeSource{p.Route, p.source()}
		if at := local(p.LastMS); at.After(l.seen[known]) && !at.After(now) {
			l.seen[known] = at
		}
	}
	for _, s := range r.Streams {
		if key := origin.Key(s.Key); l.streams[key].until.IsZero() {
			l.streams[key] = begun{routeSource{r.Sources[s.Source].Route, r.Sources[s.Source].source()}, local(s.UntilMS)}
		}
	}
	return true
}
