package lease_test

import (
	"io"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/lease"
	"ironhollow/pkg/standin/malformedrows"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

var discardLogger = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}

// Guards against duties that no host performs any more because the lease's row cannot be decoded.
func TestMalformedLeaseRowDoesNotEndDuties(t *testing.T) {
	values := malformedrows.Values()
	maps.Copy(values, malformedrows.JSON(map[string]string{"holder": `"other"`, "epoch": "7"}))
	for name, value := range values {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := tables.New()
				overwrite := func() {
					table.NewWriter(store, "other").Commit(t.Context(), table.Write{Key: "lease/0003", Value: value, If: table.Always{}})
				}
				overwrite()
				holders := []*holder{newHolder(store, "a", lease.Acquire), newHolder(store, "b", lease.Standby)}
				// check returns the number of holders after a time, and fails if there were several at once.
				check := func(during time.Duration) int {
					count := 0
					for range during / (100 * time.Millisecond) {
						time.Sleep(100 * time.Millisecond)
						count = 0
						for _, h := range holders {
							if h.holds() {
								count++
							}
						}
						if count > 1 {
							t.Fatalf("got %d holders at once, want one at most", count)
						}
					}
					return count
				}
				if got := check(12 * time.Second); got != 1 {
					t.Errorf("got %d holders after 12 s, want 1", got)
				}
				overwrite()
				if got := check(15 * time.Second); got != 1 {
					t.Errorf("row written over a held lease: got %d holders after 15 s, want 1", got)
				}
				for _, h := range holders {
					close(h.stop)
				}
			})
		})
	}
}
