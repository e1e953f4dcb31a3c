package storeview_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"

	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/feed"
	"ironhollow/pkg/rollout"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/route"
	"ironhollow/pkg/storeclock"
	"ironhollow/pkg/storeversion"
	"ironhollow/pkg/storeview"
)

// releaseDecoder decodes rows of endpoints that hold a release.
type releaseDecoder struct{ decoder }

func (releaseDecoder) DecodeEndpoint(id string, value []byte) (endpoint.Info, error) {
	return endpoint.Info{ID: id, Service: "svc", Release: string(value), State: endpoint.Live}, nil
}

// outdatedFeed is a store whose feed of endpoints ends with the first snapshot, while calls that do not wait are answered.
type outdatedFeed struct {
	rows
	// changes are those since the snapshot, err is what calls fail with. era is that of the snapshot after the first.
	changes []feed.Row
	err     error
	era     int64
	// restored ends the feed's first call for changes once it is closed.
	restored  chan struct{}
	snapshots int
}

func (f *outdatedFeed) Snapshot(ctx context.Context, name string) (feed.Batch, error) {
	if name != "endpoints" {
		return f.rows.Snapshot(ctx, name)
	}
	f.snapshots++
	version := int64(1)
	if f.snapshots > 1 {
		version = storeversion.New(f.era, 1)
	}
	return feed.Batch{Full: true, Version: version, Rows: []feed.Row{{Key: "e1", Value: []byte("v1"), Version: 1}}}, nil
}

func (f *outdatedFeed) Changes(ctx context.Context, name string, after int64, wait time.Duration) (feed.Batch, error) {
	if name == "endpoints" && wait == 0 {
		return feed.Batch{Version: after + 1, Rows: f.changes}, f.err
	}
	if name == "endpoints" && f.snapshots == 1 {
		select {
		case <-f.restored:
			return feed.Batch{}, feed.ErrHistoryGone
		case <-ctx.Done():
		}
	}
	<-ctx.Done()
	return feed.Batch{}, ctx.Err()
}

// Guards against a host that takes its outdated view for all endpoints there are.
func TestLatestEndpointsHaveWhatTheFeedHasNotRead(t *testing.T) {
	const failed = "error"
	for name, c := range map[string]struct {
		changes  []feed.Row
		err      error
		restored bool
		want     string
	}{
		"no change":                    {want: "[v1]"},
		"another release":              {changes: []feed.Row{{Key: "e2", Value: []byte("v2"), Version: 2}}, want: "[v1 v2]"},
		"restarted as another":         {changes: []feed.Row{{Key: "e1", Value: []byte("v2"), Version: 2}}, want: "[v1 v2]"},
		"known one removed":            {changes: []feed.Row{{Key: "e1", Version: 2, Deleted: true}}, want: "[v1]"},
		"come and gone":                {changes: []feed.Row{{Key: "e2", Version: 2, Deleted: true}}, want: failed},
		"store away":                   {err: context.DeadlineExceeded, want: failed},
		"store has just been restored": {restored: true, want: failed},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(context.Background())
				defer cancel()
				store := &outdatedFeed{changes: c.changes, err: c.err, era: 1, restored: make(chan struct{})}
				members := roster.New(time.Minute, func(int) time.Duration { return time.Second })
				logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
				view := storeview.New(releaseDecoder{}, time.Second, storeclock.New(), members, route.Location{Node: "self"}, "self", rollout.New(rollout.Bounds{}), logger)
				if _, err := view.LatestEndpoints(ctx, store); err == nil {
					t.Error("before the first read: got no error, want one")
				}
				view.Follow(ctx, store, false)
				time.Sleep(2 * time.Second)
				if c.restored {
					close(store.restored)
					time.Sleep(2 * time.Second)
				}
				infos, err := view.LatestEndpoints(ctx, store)
				var releases []string
				for _, info := range infos {
					releases = append(releases, info.Release)
				}
				got := fmt.Sprint(releases)
				if err != nil {
					got = failed
				}
				if got != c.want {
					t.Errorf("got %s (%v), want %s", got, err, c.want)
				}
			})
		})
	}
}
