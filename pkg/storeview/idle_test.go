package storeview_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/feed"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeview"
)

// rows is a store that has only rows of hosts.
type rows struct {
	list []roster.Row
	now  time.Duration
}

func (r rows) Snapshot(_ context.Context, name string) (feed.Batch, error) {
	batch := feed.Batch{Full: true, StoreTime: r.now}
	if name != storeview.RosterTable {
		return batch, nil
	}
	for i, row := range r.list {
		value, err := row.Encode()
		if err != nil {
			return batch, err
		}
		batch.Rows = append(batch.Rows, feed.Row{Key: fmt.Sprint("h", i), Value: value})
	}
	return batch, nil
}

func (r rows) Changes(ctx context.Context, _ string, _ int64, _ time.Duration) (feed.Batch, error) {
	<-ctx.Done()
	return feed.Batch{}, ctx.Err()
}

// TestIdleBeforeAStart checks that the fleet counts as idle only if several hosts wrote rows
// and all of them stopped: not if one has written since, unless that one has just started.
func TestIdleBeforeAStart(t *testing.T) {
	const now = time.Minute
	hosts := func(count int, written, startedAt time.Duration) []roster.Row {
		var list []roster.Row
		for i := range count {
			at := written - time.Duration(i)*100*time.Millisecond
			list = append(list, roster.Row{Host: roster.Host{Node: fmt.Sprint("n", written, i), CallerAddress: "10.0.0.1:1", StartedAt: startedAt}, Sequence: 1, WrittenAt: at})
		}
		return list
	}
	stopped := hosts(6, now-1700*time.Millisecond, time.Second)
	for _, c := range []struct {
		name string
		list []roster.Row
		want time.Duration
	}{
		{"no rows", nil, 0},
		{"all stopped 1.7 s ago", stopped, 1200 * time.Millisecond},
		{"one has written since", append(hosts(1, now-200*time.Millisecond, time.Second), stopped...), 0},
		{"one that has just started has written since", append(hosts(1, now-200*time.Millisecond, now-time.Second), stopped...), 1200 * time.Millisecond},
		{"a malformed row was written in the future", append(hosts(1, now+time.Hour, time.Second), stopped...), 1200 * time.Millisecond},
		{"too few hosts", hosts(3, now-1700*time.Millisecond, time.Second), 0},
		{"next writes may not be due yet", hosts(6, now-800*time.Millisecond, time.Second), 0},
	} {
		members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		view := storeview.New(decoder{}, time.Second, storeclock.New(), members, route.Location{Node: "self"}, "self", rollout.New(rollout.Bounds{}), logger)
		ctx, cancel := context.WithCancel(context.Background())
		view.Follow(ctx, rows{c.list, now}, false)
		if got := view.IdleBeforeStart(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.name, got, c.want)
		}
		cancel()
	}
}
