package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/config"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/operatorapi/operatorwire"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/peer"
	"ironhollow/schema"
)

// Main runs the command line of ironhollow-control and returns its exit code.
func Main() int {
	check := func(file string, data []byte) error {
		s, err := Read(file, data)
		if err != nil {
			return err
		}
		_, err = newTLS(s)
		return err
	}
	return process.Main("ironhollow-control", schema.Control, check, run)
}

func run(ctx context.Context, file string, data []byte) error {
	settings, err := Read(file, data)
	if err != nil {
		return err
	}
	logger := process.NewLogger(settings.logLevel, settings.id)
	tracer, err := process.NewTracer(context.WithoutCancel(ctx), settings.tracing, "ironhollow-control", settings.id)
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Shutdown(context.WithoutCancel(ctx)) }()
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	app, err := build(life, settings, Incarnation(time.Now().UnixMilli()), logger, process.NewRegistry(), tracer)
	if err != nil {
		return err
	}
	return app.Serve(ctx, life)
}

// releaseTime bounds how long a stop waits for its leases to be given back.
const releaseTime = 3 * time.Second

// Serve runs the process until stop ends; then it gives back its leases, so
// that others take the shards without waiting for them to lapse.
func (a *App) Serve(stop, life context.Context) error {
	faults := make(chan error, 2)
	if err := a.listen(faults); err != nil {
		return err
	}
	life, end := context.WithCancel(life)
	defer end()
	a.start(life)
	a.log.Info().Str("operator_address", a.settings.operatorAddress).Msg("control is up")
	select {
	case err := <-faults:
		return err
	case <-stop.Done():
	}
	end()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(life), releaseTime)
	defer cancel()
	a.leases.Release(ctx)
	a.log.Info().Msg("control has stopped")
	return nil
}

func (a *App) listen(faults chan<- error) error {
	operators, err := process.Listen("[node] operator-address", a.settings.operatorAddress)
	if err != nil {
		return err
	}
	if config := a.tls.ExternalServer(); config != nil {
		operators = tls.NewListener(operators, config)
	}
	admin, err := process.Listen("[node] admin-address", a.settings.adminAddress)
	if err != nil {
		return err
	}
	const readTime = 30 * time.Second
	process.Serve(process.NewServer(a.operatorMux(), readTime), operators, faults)
	process.Serve(process.NewServer(process.AdminMux(a.registry, a.ready), readTime), admin, faults)
	return nil
}

func (a *App) operatorMux() http.Handler {
	mux := http.NewServeMux()
	a.operators.Register(mux)
	mux.Handle("GET /v1/status", a.operators.Guarded(a.serveStatus))
	return mux
}

var errNotReady = errors.New("not attached to an entry, and no configuration yet")

func (a *App) ready() error {
	if a.config.Current().Revision() == 0 && a.peers.LinkCount() == 0 {
		return errNotReady
	}
	return nil
}

// Periods of what a control process does.
const (
	attachPeriod = 500 * time.Millisecond
	// configPeriod is how often the store's revision is looked at by one
	// control process; news reaches the rest over the mesh.
	configPeriod = 2 * time.Second
)

func (a *App) start(ctx context.Context) {
	watch := a.settings.watchPeriod
	a.operators.OnApplied(func(ctx context.Context) { a.followConfig(ctx) })
	go a.peers.Run()
	go a.attach(ctx)
	go pause.Every(ctx, a.settings.leaseTiming.RenewInterval, a.stepLeases)
	go pause.Every(ctx, configPeriod, a.relayConfig)
	go pause.Every(ctx, watch, a.readNotices)
	go pause.Every(ctx, a.settings.hostListPeriod, a.readHosts)
	go pause.Every(ctx, a.settings.reportPeriod/hurry, a.readReports)
	go pause.Every(ctx, 2*watch, a.place)
}

// Attachment to an entry.
const (
	// homeTries is how often the entry on this host is tried before another.
	homeTries = 10
	// awayTime is how long a link to another one is kept before the entry on
	// this host is tried again.
	awayTime = 20 * time.Second
)

// attach keeps a link to an entry: the one on this host if it answers.
func (a *App) attach(ctx context.Context) {
	home, others := a.settings.entries[0], a.settings.entries[1:]
	for round := 0; ctx.Err() == nil; round++ {
		for try := 0; try < homeTries && !a.peers.DialAddress(ctx, home); try++ {
			pause.For(ctx, attachPeriod)
		}
		if len(others) > 0 {
			away, cancel := context.WithTimeout(ctx, awayTime)
			a.peers.DialAddress(away, others[round%len(others)])
			cancel()
		}
		pause.For(ctx, attachPeriod)
	}
}

// workConfig is the piece of work of looking for new revisions.
const workConfig = "config"

// relayConfig looks for a new revision if that is this process's work.
func (a *App) relayConfig(ctx context.Context) {
	if _, ok := a.holds(workConfig); ok || a.config.Current().Revision() == 0 {
		a.followConfig(ctx)
	}
}

// followConfig brings the configuration up to the store's and tells the others.
func (a *App) followConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	before := a.config.Current().Revision()
	head, err := a.store.Head(ctx)
	if err != nil || head <= before {
		return
	}
	if before == 0 {
		fresh := config.NewHolder()
		if a.store.Load(ctx, fresh) == nil {
			a.tell(peer.Update{Changes: fresh.ChangesAfter(0)})
		}
	} else if changes, err := a.store.Changes(ctx, before); err == nil {
		a.tell(peer.Update{Changes: changes})
	}
	a.log.Info().Int64("revision", a.config.Current().Revision()).Msg("configuration in force")
}

func (a *App) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := operatorwire.ControlStatus{
		Node: a.settings.id, Revision: a.config.Current().Revision(), StoreDown: a.guard.CircuitOpen(),
		Nodes: operatorwire.FromNodes(a.nodes.Nodes()), Endpoints: operatorwire.FromEndpoints(a.endpoints.View().Infos()),
	}
	for _, g := range a.leases.Grants() {
		status.Shards = append(status.Shards, operatorwire.ShardStatus{Shard: int(g.Shard), Epoch: g.Epoch})
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}
