package originlog_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/origin"
	"ironhollow/pkg/originlog"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// clock is a clock whose store time is the time since it was made.
type clock struct{ start time.Time }

func (clock) Now() time.Time                     { return time.Now() }
func (c clock) StoreTime() (time.Duration, bool) { return time.Since(c.start), true }
func v(release string) origin.Source             { return origin.Source{Service: "svc", Release: release} }

func at(sources ...origin.Source) map[string][]origin.Source {
	return map[string][]origin.Source{"route": sources}
}

const life = time.Minute

var key, other = origin.KeyOf("team", "attempt"), origin.KeyOf("team", "other")

// fleet is a store and the logs of hosts, which know the same sources.
type fleet struct {
	t       *testing.T
	store   *tables.Store
	clock   clock
	sources map[string][]origin.Source
	// newer are sources that the store has and the hosts have not read yet, err is what a read of them fails with.
	newer []origin.Source
	err   error
	boots int
}

func (f *fleet) Known() map[string][]origin.Source { return f.sources }

func (f *fleet) Latest(context.Context) (map[string][]origin.Source, error) {
	return at(append(f.newer, f.sources["route"]...)...), f.err
}

func newFleet(t *testing.T, sources ...origin.Source) *fleet {
	t.Helper()
	return &fleet{t: t, store: tables.New(), clock: clock{time.Now()}, sources: at(sources...)}
}

// start starts a host, or starts it again without what it knew. It runs until stop is called.
func (f *fleet) start(node string) (l *originlog.Log, stop func()) {
	f.boots++
	writer := table.NewWriter(f.store, node+"."+string(rune('a'+f.boots)))
	l = originlog.New(node, writer, f.clock, f, func() int { return 1 }, func() int64 { return 0 }, prometheus.NewRegistry(),
		&log.Logger{Writer: &log.IOWriter{Writer: io.Discard}})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		l.Run(ctx)
	}()
	stop = func() {
		cancel()
		<-done
	}
	f.t.Cleanup(stop)
	return l, stop
}

// addAt starts a host at which a stream begins, and stops it.
func (f *fleet) addAt(node string, k origin.Key, source origin.Source) {
	l, stop := f.start(node)
	l.Add(k, "route", source, life)
	time.Sleep(writeTime)
	stop()
}

// expect checks what a host that has just started finds.
func (f *fleet) expect(k origin.Key, want origin.Source, wantOK bool) {
	f.t.Helper()
	l, stop := f.start("new")
	defer stop()
	if got, ok := l.Find(context.Background(), []origin.Key{k}, "route"); got != want || ok != wantOK {
		f.t.Errorf("got %v, %v, want %v, %v", got, ok, want, wantOK)
	}
}

// writeTime is enough for a host to write its row.
const writeTime = 700 * time.Millisecond

func TestOriginIsFoundAfterAllHostsEnded(t *testing.T) {
	t.Parallel()
	f := newFleet(t, v("v1"), v("v2"))
	f.addAt("a", key, v("v1"))
	f.expect(key, v("v1"), true)
	f.expect(other, origin.Source{}, false)

	f.addAt("a", other, v("v2"))
	f.expect(key, v("v1"), true)
	f.expect(other, v("v2"), true)
}

func TestOriginIsTheOnlyPlaceOfItsRoute(t *testing.T) {
	t.Parallel()
	f := newFleet(t, v("v1"))
	f.expect(key, origin.Source{}, false)
	f.addAt("a", other, v("v1"))
	f.expect(key, v("v1"), true)
}

// Guards against a stream that continues at another release, as the row of the host that began it is late or cannot be read.
func TestOriginThatIsNotCertainIsUnknown(t *testing.T) {
	t.Parallel()
	for name, change := range map[string]func(f *fleet){
		"another release now":    func(f *fleet) { f.sources = at(v("v1"), v("v2")) },
		"another release before": func(f *fleet) { f.addAt("b", other, v("v0")) },
		"only another release":   func(f *fleet) { f.sources = at(v("v2")) },
		"another release unread": func(f *fleet) { f.newer = []origin.Source{v("v2")} },
		"endpoints not readable": func(f *fleet) { f.err = errors.New("no answer") },
		"row that cannot be read": func(f *fleet) {
			f.store.Commit(context.Background(), table.Commit{Writes: []table.Write{{Key: originlog.Table + "/bad", Value: []byte("bad"), If: table.Absent{}}}})
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, v("v1"))
			f.addAt("a", other, v("v1"))
			change(f)
			f.expect(key, origin.Source{}, false)
		})
	}
}

func TestRepeatedKeyHasNoOrigin(t *testing.T) {
	t.Parallel()
	f := newFleet(t, v("v1"), v("v2"))
	f.addAt("a", key, v("v1"))
	f.addAt("b", key, v("v2"))
	f.expect(key, origin.Source{}, false)
}
