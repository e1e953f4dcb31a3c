package entry

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"

	"ironhollow/pkg/config"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/peer"
	"ironhollow/pkg/standin/tables"
	"ironhollow/pkg/table"
)

// Guards against an entry that cannot read its configuration and does not log it.
func TestConfigurationThatCannotBeReadIsLogged(t *testing.T) {
	ctx := t.Context()
	rows, holder, logged := tables.New(), config.NewHolder(), &bytes.Buffer{}
	store := config.NewStore(table.NewWriter(rows, "a"))
	sections, err := fleet.Parse("test.ini", []byte("[service s]\nkind = plain\n"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Publish(ctx, 0, "1", sections); err != nil {
		t.Fatal(err)
	}
	mesh := peer.NewMesh(membership.Node{ID: "n", Incarnation: 1}, membership.NewTable(), endpoint.NewDirectory(), holder)
	app := &App{
		log: &log.Logger{Writer: &log.IOWriter{Writer: logged}}, config: holder, store: store, mesh: mesh,
		peers: peer.NewServer(ctx, mesh, peer.RoleEntry, nil, peer.NewCounters(prometheus.NewRegistry())),
	}
	const message = "configuration in force"
	// The head can be read, the sections can't.
	rows.SetFaults(func(call tables.Call) tables.Fault {
		if call.Operation == tables.OperationList {
			return tables.Down{}
		}
		return tables.NoFault{}
	})
	app.syncConfig(ctx)
	if got := logged.String(); strings.Contains(got, message) || !strings.Contains(got, "not loaded") {
		t.Errorf("store down: got log %q, want only that the configuration is not loaded", got)
	}
	rows.SetFaults(nil)
	app.syncConfig(context.Background())
	if got := logged.String(); !strings.Contains(got, message) || holder.Current().Revision() != 1 {
		t.Errorf("got log %q and revision %d, want revision 1 in force", got, holder.Current().Revision())
	}
}
