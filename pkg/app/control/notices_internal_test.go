package control

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/cloud"
	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/lease"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// fakeCloud returns one notice, or an error while it is down.
type fakeCloud struct {
	cloud.API
	notice cloud.Notice
	down   bool
}

func (c *fakeCloud) Notices(context.Context, int64) ([]cloud.Notice, error) {
	if c.down {
		return nil, errors.New("cloud: down")
	}
	return []cloud.Notice{c.notice}, nil
}

// Guards against an endpoint that is sent work until it is reclaimed, because the cloud fails after its notice was read.
func TestWaitingNoticeIsPublishedWhileCloudIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		timing := lease.Timing{Duration: 9 * time.Second, RenewInterval: time.Second}
		endpoints, registry := endpoint.NewDirectory(), prometheus.NewRegistry()
		mesh := peer.NewAttached(membership.Node{ID: "c"}, membership.NewTable(), endpoints, config.NewHolder())
		provider := &fakeCloud{notice: cloud.Notice{Sequence: 1, Endpoint: endpoint.Ref{ID: "e", Incarnation: 1}, LeaveBy: time.Now().Add(time.Minute)}}
		logger := &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}
		app := &App{
			log: logger, cloud: provider, endpoints: endpoints, mesh: mesh,
			settings: Settings{shardCount: 1}, counters: NewCounters(registry), leases: lease.New(table.NewWriter(tables.New(), "c"), "c", timing, time.Now, logger),
			peers: peer.NewServer(t.Context(), mesh, peer.RoleControl, nil, peer.NewCounters(registry)),
		}
		app.leases.Step(t.Context(), map[lease.Shard]lease.Intent{0: lease.Acquire})
		if _, ok := app.grantFor(taskNotices); !ok {
			t.Fatal("got no lease")
		}
		app.pollNotices(t.Context())
		endpoints.Merge(endpoint.Info{ID: "e", Incarnation: 1, State: endpoint.Live})
		provider.down = true
		app.pollNotices(t.Context())
		if got, _ := endpoints.Get("e"); got.State != endpoint.Leaving {
			t.Errorf("got endpoint %+v, want it leaving", got)
		}
	})
}
