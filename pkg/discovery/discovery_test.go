package discovery_test

import (
	"errors"
	"io"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/discovery"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/storeversion"
)

// site is a directory fed by rows whose value is the endpoint's state.
type site struct {
	*discovery.Syncer
	directory *endpoint.Directory
	now       time.Time
	version   int64
	// others is how long another host has been in touch with the store.
	others time.Duration
}

func decode(id string, value []byte) (endpoint.Info, error) {
	info := endpoint.Info{ID: id, State: endpoint.Live, Service: "svc", Kind: endpoint.Plain}
	text, born, _ := strings.Cut(string(value), " ")
	info.StartedMS, _ = strconv.ParseInt(born, 10, 64)
	switch text {
	case "live":
	case "leaving":
		info.State = endpoint.Leaving
	default:
		return info, errors.New("no such state")
	}
	return info, nil
}

func newSite() *site {
	s := &site{directory: endpoint.NewDirectory(), now: time.Unix(1000, 0)}
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	s.Syncer = discovery.New(s.directory, decode, 1200*time.Millisecond, func(d time.Duration) bool { return s.others >= d }, func() time.Time { return s.now }, logger)
	return s
}

// rows gives rows as id, state; an empty state removes the row.
func (s *site) rows(full bool, pairs ...string) {
	batch := feed.Batch{Full: full}
	for i := 0; i+1 < len(pairs); i += 2 {
		s.version++
		batch.Version = s.version
		batch.Rows = append(batch.Rows, feed.Row{Key: pairs[i], Value: []byte(pairs[i+1]), Version: s.version, Deleted: pairs[i+1] == ""})
	}
	s.Apply(batch)
}

func (s *site) want(t *testing.T, when, id string, takes bool) {
	t.Helper()
	info, ok := s.directory.Get(id)
	if got := ok && info.AcceptsWork(); got != takes {
		t.Errorf("%s, %s takes work: got %v, want %v", when, id, got, takes)
	}
}

func TestRowsComeAndGo(t *testing.T) {
	s := newSite()
	if s.Loaded() {
		t.Error("known before anything was read")
	}
	s.rows(true, "a", "live", "b", "live", "c", "live")
	s.rows(false, "a", "leaving")
	s.want(t, "draining", "a", false)
	s.rows(false, "a", "live")
	s.want(t, "a leaving endpoint that says it lives", "a", false)
	s.rows(false, "b", "")
	s.want(t, "removed", "b", false)
	s.rows(false, "b", "live")
	s.want(t, "back after it was cut off", "b", true)
	s.rows(false, "c", "of a state to come")
	s.want(t, "a row that does not decode", "c", true)
	s.rows(true, "b", "live")
	s.want(t, "not in a snapshot", "c", false)
}

// Rows lapse while the store is away: those endpoints stay in use for two
// seconds after its return.
func TestRowsThatLapseWhileTheStoreIsAway(t *testing.T) {
	for _, full := range []bool{false, true} {
		s := newSite()
		s.rows(true, "back", "live", "dead", "live", "other", "live")
		s.MarkStoreUnavailable()
		s.now = s.now.Add(10 * time.Second)
		s.want(t, "away", "dead", true)
		if full {
			s.rows(true, "other", "live")
		} else {
			s.rows(false, "back", "", "dead", "")
		}
		s.want(t, "just returned", "dead", true)
		s.now = s.now.Add(time.Second)
		s.rows(false, "back", "live")
		s.now = s.now.Add(1100 * time.Millisecond)
		s.rows(false)
		s.want(t, "two seconds after", "dead", false)
		s.want(t, "two seconds after", "back", true)
		s.want(t, "two seconds after", "other", true)
	}
}

// The store sends nothing more after its return: what is missing goes in time.
func TestLapsedEndpointGoesWithoutABatch(t *testing.T) {
	s := newSite()
	s.rows(true, "dead", "live")
	s.MarkStoreUnavailable()
	s.now = s.now.Add(10 * time.Second)
	s.rows(false, "dead", "")
	s.now = s.now.Add(discovery.RenewalGrace)
	s.Expire()
	s.want(t, "two seconds after", "dead", true)
	s.now = s.now.Add(time.Millisecond)
	s.Expire()
	s.want(t, "over two seconds after", "dead", false)
}

// An endpoint that leaves while the store is away is not kept.
func TestLeavingWhileTheStoreIsAway(t *testing.T) {
	s := newSite()
	s.rows(true, "a", "live")
	s.MarkStoreUnavailable()
	s.rows(false, "a", "leaving")
	s.want(t, "returned", "a", false)
}

// A call fails and the next one has a removal: the row did not lapse for
// that, and the endpoint gets nothing more.
func TestShortLossKeepsNoEndpoint(t *testing.T) {
	s := newSite()
	s.rows(true, "a", "live", "b", "live")
	s.MarkStoreUnavailable()
	s.now = s.now.Add(1300 * time.Millisecond)
	s.rows(false, "a", "")
	s.want(t, "after a call that failed", "a", false)
	s.MarkStoreUnavailable()
	s.now = s.now.Add(1300 * time.Millisecond)
	s.rows(true)
	s.want(t, "not in a snapshot after a call that failed", "b", false)
}

// Endpoints whose rows are missing after a restore must not be removed before RenewalGrace has passed.
func TestEndpointsThatARestoredStoreLacksAreKept(t *testing.T) {
	s := newSite()
	s.rows(true, "a", "live", "b", "live")
	s.version = storeversion.New(1, 0)
	batch := feed.Batch{Full: true, Version: s.version}
	s.Apply(batch)
	s.want(t, "restored", "a", true)
	s.want(t, "restored", "b", true)
	s.rows(false, "a", "live")
	s.now = s.now.Add(discovery.RenewalGrace + time.Millisecond)
	s.Expire()
	s.want(t, "written again", "a", true)
	s.want(t, "not written again", "b", false)
}

// This host alone was cut off from the store, and an endpoint left meanwhile: its
// row did not lapse, since another host was in touch all the time.
func TestLeavingWhileThisHostIsCutOff(t *testing.T) {
	s := newSite()
	s.rows(true, "a", "live")
	s.MarkStoreUnavailable()
	s.now = s.now.Add(6 * time.Second)
	s.others = time.Minute
	s.rows(false, "a", "")
	s.want(t, "back in touch", "a", false)
}

// An endpoint that starts again under its id takes work, whatever its earlier life has
// said in its rows or its answers; heartbeats of a life take no word back.
func TestStartUnderTheSameID(t *testing.T) {
	s := newSite()
	s.rows(true, "e1", "live 5", "e2", "live 5")
	s.rows(false, "e1", "leaving 5")
	info, _ := s.directory.Get("e2")
	s.directory.Update(info.Ref(), func(i *endpoint.Info) { i.State = endpoint.Leaving })
	s.rows(false, "e1", "live 5", "e2", "live 5")
	s.want(t, "heartbeats after the word", "e1", false)
	s.want(t, "heartbeats after the word", "e2", false)
	s.rows(false, "e1", "live 6", "e2", "live 6")
	s.want(t, "started again", "e1", true)
	s.want(t, "started again", "e2", true)
	if later, _ := s.directory.Get("e2"); later.Incarnation <= info.Incarnation {
		t.Errorf("incarnation: got %d after %d, want a later one", later.Incarnation, info.Incarnation)
	}
}

// A row that comes back after its endpoint had said that it leaves and went is a late
// write of the same life: it takes no work, whatever it says. One that went without such
// a word was cut off and serves again.
func TestLateRowOfALifeThatLeft(t *testing.T) {
	for _, born := range []string{"", " 5"} {
		s := newSite()
		s.rows(true, "e1", "live"+born, "e2", "live"+born)
		s.rows(false, "e1", "leaving"+born)
		s.rows(false, "e1", "", "e2", "")
		s.rows(false, "e1", "live"+born, "e2", "live"+born)
		s.want(t, "late row of one that left", "e1", false)
		s.want(t, "row of one that was cut off", "e2", true)
		s.rows(false, "e1", "", "e2", "")
		s.rows(false, "e1", "live"+born)
		s.want(t, "second late row of one that left", "e1", false)
		// Without its start a next life has another id.
		if born != "" {
			s.rows(false, "e1", "live 6")
			s.want(t, "next life of one that left", "e1", true)
		}
	}
}
