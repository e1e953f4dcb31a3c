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

// rows is a store that has rows of hosts, and nothing else.
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

// Only where several hosts wrote and all of them stopped, none served: not where one has
// written since, nor where those that write have just begun.
func TestIdleBeforeAStart(t *testing.T) {
	const now = time.Minute
	hosts := func(count int, written, since time.Duration) []roster.Row {
		var list []roster.Row
		for i := range count {
			at := written - time.Duration(i)*100*time.Millisecond
			list = append(list, roster.Row{Host: roster.Host{Node: fmt.Sprint("n", written, i), StartedAt: since}, Sequence: 1, WrittenAt: at})
		}
		return list
	}
	stopped := hosts(6, now-1700*time.Millisecond, time.Second)
	for _, c := range []struct {
		what string
		list []roster.Row
		want time.Duration
	}{
		{"no rows", nil, 0},
		{"all stopped 1.7 s ago", stopped, 1200 * time.Millisecond},
		{"one has written since", append(hosts(1, now-200*time.Millisecond, time.Second), stopped...), 0},
		{"one that has just begun has written since", append(hosts(1, now-200*time.Millisecond, now-time.Second), stopped...), 1200 * time.Millisecond},
		{"too few to tell", hosts(3, now-1700*time.Millisecond, time.Second), 0},
		{"they may just not have written yet", hosts(6, now-800*time.Millisecond, time.Second), 0},
	} {
		members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		view := storeview.New(decoder{}, time.Second, storeclock.New(), members, route.Location{Node: "self"}, "self", rollout.New(rollout.Bounds{}), logger)
		ctx, cancel := context.WithCancel(context.Background())
		view.Follow(ctx, rows{c.list, now}, false)
		if got := view.IdleBeforeStart(); got != c.want {
			t.Errorf("%s: got %v, want %v", c.what, got, c.want)
		}
		cancel()
	}
}
