package routetable_test

import (
	"testing"
	"time"

	"ironhollow/pkg/routetable"
)

func TestHolderRejectsOlderVersions(t *testing.T) {
	now := time.Unix(1000, 0)
	h := routetable.NewHolder(time.Second, func() time.Time { return now })
	if table, fresh := h.Current(); table != nil || fresh {
		t.Errorf("before the first version: got %v, fresh %v, want no table, not fresh", table, fresh)
	}
	for _, c := range []struct {
		version     int64
		wantAdopted bool
		wantVersion int64
	}{{3, true, 3}, {7, true, 7}, {5, false, 7}, {7, false, 7}, {8, true, 8}} {
		h.MarkConfirmed()
		if got := h.Adopt(routetable.Spec{Version: c.version}); got != c.wantAdopted {
			t.Errorf("version %d adopted: got %v, want %v", c.version, got, c.wantAdopted)
		}
		if table, _ := h.Current(); table.Version() != c.wantVersion {
			t.Errorf("after version %d: got %d in force, want %d", c.version, table.Version(), c.wantVersion)
		}
	}
	now = now.Add(2 * time.Second)
	if table, fresh := h.Current(); fresh || table.Version() != 8 {
		t.Errorf("2 s after the last answer of the store: got version %d, fresh %v, want 8, not fresh", table.Version(), fresh)
	}
}
