package statetransfer

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/pause"
)

// Parameters of the requests.
const (
	// requestTimeout bounds a request. Hosts usually answer within milliseconds.
	requestTimeout = 400 * time.Millisecond
	// maxRounds is how often others are asked at a start if too few have answered: they may be
	// starting too.
	maxRounds = 3
	// startAnswers is how many answers a start waits for. One host alone may have missed a change
	// that its peers have.
	startAnswers = 2
	// storeWait is how long a start waits for the store's rows of hosts before it asks the seeds,
	// and seedInterval the time between two rounds of requests to them.
	storeWait    = 600 * time.Millisecond
	seedInterval = 500 * time.Millisecond
	// checkInterval is the time between checks whether the configuration is confirmed.
	checkInterval = time.Second
	// pollInterval is the interval at which a start checks whether the store has answered.
	pollInterval = 20 * time.Millisecond
	// maxResponseBytes bounds the body of a response. The rows of 1,000 hosts and 3,000 endpoints take some 2 MB.
	maxResponseBytes = 8 << 20
)

// View is a host's view of the fleet.
type View interface {
	// ConfigurationVersion returns the version in force, 0 if there is none.
	ConfigurationVersion() int64
	// Loaded reports whether the configuration and the rows of endpoints and hosts are known.
	Loaded() bool
	// IsConfirmed reports whether the store has recently answered about the configuration.
	IsConfirmed() bool
	// StoreEra returns the highest store era received, which rises with each restore.
	StoreEra() int64
	// Apply applies the state of another host.
	Apply(State)
}

// Syncer asks other hosts for their state.
type Syncer struct {
	client *http.Client
	view   View
	// peers returns the addresses of the other hosts, seeds those that are known before any row of
	// a host has been read. Seeds may be outdated.
	peers func() []string
	seeds []string
	log   *log.Logger
	asked atomic.Bool
	// era is the store's era when other hosts were last asked. Only Run uses it.
	era int64
}

// NewSyncer returns a syncer. client must not reuse connections: those of the pool may have fallen
// silent, which is one of the reasons to ask.
func NewSyncer(client *http.Client, view View, peers func() []string, seeds []string, logger *log.Logger) *Syncer {
	return &Syncer{client: client, view: view, peers: peers, seeds: seeds, log: logger}
}

// Asked reports whether the other hosts have been asked since the start.
func (s *Syncer) Asked() bool { return s.asked.Load() }

// Run asks other hosts until ctx ends: at the start, unless the whole fleet starts for the first time,
// after each restore of the store, and while the store does not confirm the configuration.
func (s *Syncer) Run(ctx context.Context, firstStart bool) {
	if !firstStart {
		s.askAtStart(ctx)
	}
	s.era = s.view.StoreEra()
	s.asked.Store(true)
	for pause.For(ctx, checkInterval) {
		if !s.view.IsConfirmed() || s.view.StoreEra() != s.era {
			s.era = s.view.StoreEra()
			s.ask(ctx, s.peers(), 1, 1, false)
		}
	}
}

// askAtStart asks until the store has answered, or another host with the rows of its tables.
func (s *Syncer) askAtStart(ctx context.Context) {
	for waited := time.Duration(0); !s.view.Loaded() && waited < storeWait; waited += pollInterval {
		if !pause.For(ctx, pollInterval) {
			return
		}
	}
	for !s.view.Loaded() {
		s.ask(ctx, s.candidates(), maxRounds, startAnswers, true)
		if !s.view.Loaded() && !pause.For(ctx, seedInterval) {
			return
		}
	}
	s.ask(ctx, s.candidates(), maxRounds, startAnswers, false)
}

// candidates returns the hosts to ask at a start: the seeds too if fewer hosts are known than have to
// answer. A restored store may lack the rows of the others.
func (s *Syncer) candidates() []string {
	peers := s.peers()
	if len(peers) >= startAnswers {
		return peers
	}
	return slices.Compact(slices.Sorted(slices.Values(slices.Concat(peers, s.seeds))))
}

// ask asks hosts in random order until enough have answered, and applies their state.
func (s *Syncer) ask(ctx context.Context, peers []string, rounds, enough int, withTables bool) {
	started := time.Now()
	peers = slices.Clone(peers)
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	before := s.view.ConfigurationVersion()
	asked, answered := 0, 0
	for range rounds {
		// One more than needed, as one may be unreachable.
		group := peers[asked:min(asked+enough+1, len(peers))]
		if len(group) == 0 || answered >= enough {
			break
		}
		asked += len(group)
		answered += s.askGroup(ctx, group, enough-answered, withTables)
	}
	after := s.view.ConfigurationVersion()
	level := log.DebugLevel
	if !s.Asked() || after != before {
		level = log.InfoLevel
	}
	if asked > 0 {
		s.log.WithLevel(level).Int("asked", asked).Int("answered", answered).Bool("tables", withTables).Int64("version", after).Int64("previous", before).
			Dur("took", time.Since(started)).Msg("asked other hosts for their state")
	}
}

// askGroup asks hosts concurrently and returns how many have answered, once enough have.
func (s *Syncer) askGroup(ctx context.Context, group []string, enough int, withTables bool) int {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	type result struct {
		state State
		err   error
	}
	results := make(chan result, len(group))
	after := s.view.ConfigurationVersion()
	for _, address := range group {
		go func() {
			state, err := s.fetch(ctx, address, after, withTables)
			results <- result{state, err}
		}()
	}
	answered := 0
	for range group {
		r := <-results
		if r.err != nil {
			s.log.Debug().Err(r.err).Msg("failed to ask another host for its state")
			continue
		}
		s.view.Apply(r.state)
		if answered++; answered >= enough {
			break
		}
	}
	return answered
}

func (s *Syncer) fetch(ctx context.Context, address string, after int64, withTables bool) (State, error) {
	query := url.Values{afterParameter: {strconv.FormatInt(after, 10)}}
	if withTables {
		query.Set(tablesParameter, "1")
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+Path+"?"+query.Encode(), nil)
	if err != nil {
		return State{}, err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return State{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return State{}, err
	}
	if response.StatusCode != http.StatusOK {
		return State{}, fmt.Errorf("statetransfer: %s: status %d", address, response.StatusCode)
	}
	return decode(data)
}
