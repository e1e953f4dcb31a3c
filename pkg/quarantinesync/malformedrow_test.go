package quarantinesync_test

import (
	"math"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"ironhollow/pkg/quarantine"
	"ironhollow/pkg/quarantinesync"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// Guards against hosts that end again and again because a row has a huge number of trials.
func TestHugeTrialCountDoesNotEndHosts(t *testing.T) {
	for _, trials := range []int64{math.MaxInt64, math.MaxInt64 - 1, 1 << 40, 1_000_001} {
		synctest.Test(t, func(t *testing.T) {
			store := tables.New()
			sound := quarantine.FingerprintOf("POST", "/x", "red", []byte("sound"))
			writer := newHost(store, "writer", time.Hour)
			writer.crash(sound, 3)
			go writer.syncer.Run(t.Context())
			time.Sleep(time.Second)
			malformed := quarantine.FingerprintOf("POST", "/x", "red", []byte("malformed"))
			crashes := []any{[]any{"o0", 3_600_000}, []any{"o1", 3_600_000}, []any{"o2", 3_600_000}}
			value, err := cbor.Marshal(map[int]any{1: crashes, 3: trials, 4: 3_600_000})
			if err != nil {
				t.Fatal(err)
			}
			table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: quarantinesync.Table + "/" + malformed.String(), Value: value, If: table.Always{}})
			reader := newHost(store, "reader", time.Hour+time.Second).loaded(t)
			go reader.syncer.Run(t.Context())
			for range 30 {
				for _, f := range []quarantine.Fingerprint{malformed, sound} {
					reader.watch.CheckRequest(quarantine.NewRequest(f, quarantine.Prompt{}), reader.clock.Now())
				}
				time.Sleep(100 * time.Millisecond)
			}
			if !reader.quarantined(sound) {
				t.Errorf("%d trials: row beside it: got not quarantined, want quarantined", trials)
			}
		})
	}
}

// Guards against hosts that end because a peer reports a huge number of trials.
func TestReportOfHugeTrialCountDoesNotEndHost(t *testing.T) {
	store := tables.New()
	h := newHost(store, "host", time.Hour)
	f := quarantine.FingerprintOf("POST", "/x", "red", []byte("malformed"))
	now := h.clock.Now()
	var crashes []quarantine.Crash
	for _, id := range []string{"e0", "e1", "e2"} {
		crashes = append(crashes, quarantine.Crash{Endpoint: id, At: now})
	}
	h.watch.ApplyReports([]quarantine.Case{{Fingerprint: f, Crashes: crashes, Trials: math.MaxInt, TrialAt: now}}, "peer", now)
	h.watch.CheckRequest(quarantine.NewRequest(f, quarantine.Prompt{}), now)
	if got := h.watch.DueTrials(now.Add(time.Second)); len(got) != 0 {
		t.Errorf("trials due a second after the last one: got %d, want none", len(got))
	}
}
