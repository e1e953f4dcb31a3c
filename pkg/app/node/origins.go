package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/gossip"
	"ironhollow/pkg/origin"
	"ironhollow/pkg/originlog"
	"ironhollow/pkg/routetable"
	"ironhollow/pkg/storecalls"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
	"ironhollow/pkg/table"
)

// originSender sends datagrams about the origins of streams once the exchange with other hosts has
// been set.
type originSender struct {
	exchange atomic.Pointer[gossip.Exchange]
}

func newOriginSender() *originSender { return &originSender{} }

func (s *originSender) set(e *gossip.Exchange) { s.exchange.Store(e) }

// SendOrigins implements origin.Sender.
func (s *originSender) SendOrigins(records []origin.Record, unknown []origin.Key, to string) {
	if e := s.exchange.Load(); e != nil {
		e.SendOrigins(records, unknown, to)
	}
}

// QueryOrigin implements origin.Sender.
func (s *originSender) QueryOrigin(key origin.Key, to string) {
	if e := s.exchange.Load(); e != nil {
		e.QueryOrigin(key, to)
	}
}

// newOrigins returns a directory that shares its records with the advertised hosts: others serve callers
// for a moment only, and do not know of each other in a large fleet.
func newOrigins(view *storeview.View, s Settings, sender *originSender, clock *storeclock.Clock) *origin.Directory {
	peers := func() []origin.Peer {
		var list []origin.Peer
		for _, h := range view.Roster().AdvertisedHosts() {
			if h.Node != s.Node && h.PeerAddress != "" {
				list = append(list, origin.Peer{Node: h.Node, Address: h.PeerAddress})
			}
		}
		return list
	}
	return origin.New(s.PeerAddress, peers, sender, clock.Now)
}

func newOriginLog(view *storeview.View, store *storecalls.CountingStore, writer *table.Writer, clock *storeclock.Clock, s Settings, registry *prometheus.Registry, logger *log.Logger) *originlog.Log {
	sources := &streamSources{view: view, store: store}
	hosts := func() int { return view.Roster().Advertised() }
	return originlog.New(s.Node, writer, clock, sources, hosts, view.StoreEra, registry, logger)
}

// streamSources finds where streams of each route may begin. It is safe for concurrent use.
type streamSources struct {
	view  *storeview.View
	store feed.Source

	mu sync.Mutex
	// table and generation are those that sources were found for.
	table      *routetable.Table
	generation uint64
	sources    map[string][]origin.Source
}

// Known implements originlog.Sources.
func (p *streamSources) Known() map[string][]origin.Source {
	p.mu.Lock()
	defer p.mu.Unlock()
	table, _ := p.view.RouteTables().Current()
	endpoints := p.view.Directory().View()
	if p.sources == nil || table != p.table || endpoints.Generation() != p.generation {
		p.table, p.generation, p.sources = table, endpoints.Generation(), sourcesByRoute(table, endpoints.Infos())
	}
	return p.sources
}

// Latest implements originlog.Sources.
func (p *streamSources) Latest(ctx context.Context) (map[string][]origin.Source, error) {
	endpoints, err := p.view.LatestEndpoints(ctx, p.store)
	if err != nil {
		return nil, err
	}
	table, _ := p.view.RouteTables().Current()
	return sourcesByRoute(table, endpoints), nil
}

// sourcesByRoute returns the services of each route with streams that may be resumed, with the releases of their endpoints.
func sourcesByRoute(table *routetable.Table, endpoints []endpoint.Info) map[string][]origin.Source {
	sources := map[string][]origin.Source{}
	if table == nil {
		return sources
	}
	byService := map[string][]origin.Source{}
	for _, info := range endpoints {
		source := origin.Source{Service: info.Service, Release: info.Release}
		if info.State != endpoint.Gone && !slices.Contains(byService[info.Service], source) {
			byService[info.Service] = append(byService[info.Service], source)
		}
	}
	routes := table.Routes()
	for i := range routes {
		if r := &routes[i]; r.Kind == routetable.Stream && r.MayRepeat() {
			for _, split := range r.Splits {
				sources[r.Name] = append(sources[r.Name], byService[split.Service]...)
			}
		}
	}
	return sources
}
