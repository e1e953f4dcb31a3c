package quarantinesync_test

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/table"
)

// host is a process as far as it holds requests back.
type host struct {
	watch  *quarantine.Watch
	clock  *storeclock.Clock
	keeper *quarantinesync.Syncer
	era    atomic.Int64
}

// newHost starts a process when the store's clock has been running for a time.
func newHost(store table.Store, name string, storeNow time.Duration) *host {
	logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
	h := &host{watch: quarantine.NewWatch(prometheus.NewRegistry(), logger), clock: storeclock.New()}
	h.clock.Heard(storeNow)
	h.keeper = quarantinesync.NewSyncer(h.watch, table.NewWriter(store, name), h.clock, h.era.Load, logger)
	return h
}

// crash has runs of a request broken off by the ends of endpoints.
func (h *host) crash(f quarantine.Fingerprint, endpoints int) {
	for i := range endpoints {
		id := fmt.Sprint("e", i)
		h.watch.RecordInterruption(id, f, h.clock.Now())
		h.watch.EndpointCrashed(id, "test", h.clock.Now())
	}
}

func (h *host) holds(f quarantine.Fingerprint) bool {
	_, held := h.watch.Quarantined(f, h.clock.Now())
	return held
}

// A request that is held back still is when all hosts have ended and others start, also
// where the store was away when it was to be written; until its time is over.
func TestHeldBackBeyondAllHosts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		storeNow := func() time.Duration { return time.Hour + time.Since(began) }
		store := tables.New()
		f, rare := quarantine.FingerprintOf("POST", "/x", "red", []byte("a")), quarantine.FingerprintOf("POST", "/x", "red", []byte("b"))
		ctx, kill := context.WithCancel(t.Context())
		first := newHost(store, "first", storeNow())
		go first.keeper.Run(ctx)
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Refuse{} })
		first.crash(f, 3)
		first.crash(rare, 2)
		time.Sleep(3 * time.Second)
		store.SetFaults(nil)
		time.Sleep(3 * time.Second)
		kill()
		writes := store.Count(tables.OperationCommit)

		second := newHost(store, "second", storeNow())
		second.keeper.Load(t.Context())
		if !second.holds(f) || second.holds(rare) {
			t.Errorf("a host that starts: got %v and %v, want the one held back and the other not", second.holds(f), second.holds(rare))
		}
		ctx, kill = context.WithCancel(t.Context())
		go second.keeper.Run(ctx)
		time.Sleep(10 * time.Second)
		kill()
		if got := store.Count(tables.OperationCommit); got != writes {
			t.Errorf("writes of a host that has seen no end: got %d, want none", got-writes)
		}

		time.Sleep(time.Hour)
		if third := newHost(store, "third", storeNow()); third.loaded(t).holds(f) {
			t.Error("an hour later: got held back, want one more try")
		}
		time.Sleep(24 * time.Hour)
		newHost(store, "fourth", storeNow()).loaded(t)
		if rows, err := store.List(t.Context(), quarantinesync.Table+"/", "", 10); err != nil || len(rows) != 0 {
			t.Errorf("rows a day later: got %v, %v, want none", rows, err)
		}
	})
}

// Guards against a restore of the store that lets held back requests through or holds cleared
// ones back again.
func TestHeldBackRequestsAreWrittenAgainAfterRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		held, cleared := quarantine.FingerprintOf("POST", "/x", "red", []byte("a")), quarantine.FingerprintOf("POST", "/x", "red", []byte("b"))
		writer := newHost(store, "writer", time.Hour)
		go writer.keeper.Run(t.Context())
		writer.crash(held, 3)
		writer.crash(cleared, 3)
		time.Sleep(time.Second)
		rows, err := store.List(t.Context(), quarantinesync.Table+"/", "", 10)
		if err != nil || len(rows) != 2 {
			t.Fatalf("rows before the restore: got %v, error %v, want two rows", rows, err)
		}
		writer.watch.RecordSuccess(cleared, writer.clock.Now())
		time.Sleep(time.Second)
		// The restored store lacks the row of held and contains that of cleared again.
		restorer := table.NewWriter(store, "restore")
		for _, row := range rows {
			write := table.Write{Key: row.Key, Value: row.Value, If: table.Always{}, Delete: row.Key == quarantinesync.Table+"/"+held.String()}
			restorer.Commit(t.Context(), write)
		}
		writer.era.Store(1)
		time.Sleep(time.Second)
		reader := newHost(store, "reader", time.Hour).loaded(t)
		if !reader.holds(held) || reader.holds(cleared) {
			t.Errorf("host started after the restore: got held back %v for held and %v for cleared, want true and false", reader.holds(held), reader.holds(cleared))
		}
	})
}

func (h *host) loaded(t *testing.T) *host {
	h.keeper.Load(t.Context())
	return h
}

// Rows that others wrote hold nothing back and stop nothing.
func TestRowsOfOtherFormsAreLeftOut(t *testing.T) {
	store := tables.New()
	good := quarantine.FingerprintOf("POST", "/x", "red", []byte("a"))
	host := newHost(store, "writer", time.Hour)
	host.crash(good, 3)
	ctx, stop := context.WithTimeout(t.Context(), time.Second)
	defer stop()
	host.keeper.Run(ctx)
	writer := table.NewWriter(store, "other")
	bad := map[string][]byte{
		"not a fingerprint":                  {0xa0},
		"00":                                 {0xa0},
		"000000000000000000000000":           []byte("not encoded"),
		"000000000000000000000001":           nil,
		"000000000000000000000003":           {0xa1, 0x01, 0x81, 0x82, 0x61, 'e', 0x1b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"000000000000000000000002":           {0xa1, 0x01, 0x81, 0x82, 0x61, 'e', 0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		good.String() + "and something more": {0xa0},
	}
	for key, value := range bad {
		writer.Commit(t.Context(), table.Write{Key: quarantinesync.Table + "/" + key, Value: value, If: table.Always{}})
	}
	reader := newHost(store, "reader", time.Hour).loaded(t)
	if !reader.holds(good) {
		t.Error("the good row beside them: got not held back, want held back")
	}
	if got := len(reader.watch.Reports(reader.clock.Now())); got != 1 {
		t.Errorf("cases known: got %d, want 1", got)
	}
}

// What was held back by mistake and cleared by a whole answer is not held back again by
// its row when all hosts have ended, whether the one that clears it wrote the row or read
// it.
func TestClearedRequestsHaveNoRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := tables.New()
		f := quarantine.FingerprintOf("POST", "/x", "red", []byte("popular"))
		storeNow := time.Hour
		writer := newHost(store, "writer", storeNow)
		go writer.keeper.Run(t.Context())
		for _, clears := range []func() *host{
			func() *host { return writer },
			func() *host {
				reader := newHost(store, "reader", storeNow).loaded(t)
				go reader.keeper.Run(t.Context())
				return reader
			},
		} {
			time.Sleep(time.Minute)
			storeNow += time.Minute
			writer.crash(f, 3)
			time.Sleep(time.Second)
			storeNow += time.Second
			host := clears()
			if !host.holds(f) {
				t.Fatal("before the answer: got not held back, want held back")
			}
			host.watch.RecordSuccess(f, host.clock.Now())
			time.Sleep(time.Second)
			storeNow += time.Second
			if newHost(store, "later", storeNow).loaded(t).holds(f) {
				t.Error("a host that starts after the answer: got held back, want not")
			}
			writer.watch.RecordSuccess(f, writer.clock.Now())
		}
	})
}
