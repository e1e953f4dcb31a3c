package control

import (
	"context"
	"crypto/tls"
	"errors"
	"net"
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
	validate := func(file string, data []byte) error {
		s, err := ParseSettings(file, data)
		if err != nil {
			return err
		}
		_, err = newTLS(s)
		return err
	}
	return process.Main("ironhollow-control", schema.Control, validate, run)
}

func run(ctx context.Context, file string, data []byte) error {
	settings, err := ParseSettings(file, data)
	if err != nil {
		return err
	}
	logger := process.NewLogger(settings.logLevel, settings.id)
	tracer, err := process.NewTracer(context.WithoutCancel(ctx), settings.tracing, "ironhollow-control", settings.id)
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Shutdown(context.WithoutCancel(ctx)) }()
	lifetime, endLifetime := context.WithCancel(context.WithoutCancel(ctx))
	defer endLifetime()
	app, err := build(lifetime, settings, Incarnation(time.Now().UnixMilli()), logger, process.NewRegistry(), tracer)
	if err != nil {
		return err
	}
	return app.Serve(ctx, lifetime)
}

const (
	// stopTimeout bounds the release of the leases and the requests in progress when the process stops.
	stopTimeout = 3 * time.Second
	// answerTime is the part of stopTimeout in which requests that still run are ended and answered.
	answerTime = 500 * time.Millisecond
)

// Serve runs the process until stop is done. It then releases its leases, so that other processes
// acquire the shards without waiting for the leases to expire, and answers the requests in progress.
func (a *App) Serve(stop, lifetime context.Context) error {
	serveErrors := make(chan error, 2)
	requests, endRequests := context.WithCancel(context.WithoutCancel(lifetime))
	defer endRequests()
	operators, err := a.listen(requests, serveErrors)
	if err != nil {
		return err
	}
	lifetime, endLifetime := context.WithCancel(lifetime)
	defer endLifetime()
	a.start(lifetime)
	a.log.Info().Str("operator_address", a.settings.operatorAddress).Msg("control started")
	select {
	case err := <-serveErrors:
		return err
	case <-stop.Done():
	}
	endLifetime()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(lifetime), stopTimeout)
	defer cancel()
	defer time.AfterFunc(stopTimeout-answerTime, endRequests).Stop()
	closed := make(chan error, 1)
	go func() { closed <- operators.Shutdown(ctx) }()
	a.leases.Release(ctx)
	if err := <-closed; err != nil {
		a.log.Warn().Err(err).Msg("connections of operators were still open at the end of the process")
	}
	a.log.Info().Msg("control stopped")
	return nil
}

// listen starts the servers of the operator and admin ports, and returns the first. The requests of
// operators end with the context.
func (a *App) listen(requests context.Context, serveErrors chan<- error) (*http.Server, error) {
	operatorListener, err := process.Listen("[node] operator-address", a.settings.operatorAddress)
	if err != nil {
		return nil, err
	}
	if config := a.tls.ExternalServer(); config != nil {
		operatorListener = tls.NewListener(operatorListener, config)
	}
	adminListener, err := process.Listen("[node] admin-address", a.settings.adminAddress)
	if err != nil {
		return nil, err
	}
	const readTimeout = 30 * time.Second
	operators := process.NewServer(a.operatorMux(), readTimeout)
	operators.BaseContext = func(net.Listener) context.Context { return requests }
	process.Serve(operators, operatorListener, serveErrors)
	process.Serve(process.NewServer(process.AdminMux(a.registry, a.ready), readTimeout), adminListener, serveErrors)
	return operators, nil
}

func (a *App) operatorMux() http.Handler {
	mux := http.NewServeMux()
	a.operatorAPI.Register(mux)
	mux.Handle("GET /v1/status", a.operatorAPI.RequireOperator(a.serveStatus))
	return mux
}

var errNotReady = errors.New("not attached to an entry, and no configuration yet")

func (a *App) ready() error {
	if a.config.Current().Revision() == 0 && a.peers.LinkCount() == 0 {
		return errNotReady
	}
	return nil
}

// Intervals of the work of a control process.
const (
	attachRetryInterval = 500 * time.Millisecond
	// configPollInterval is the interval at which one control process checks the store for a new
	// revision. The other processes receive it over the mesh.
	configPollInterval = 2 * time.Second
)

func (a *App) start(ctx context.Context) {
	watchInterval := a.settings.watchInterval
	a.operatorAPI.OnApplied(func(ctx context.Context) { a.syncConfig(ctx) })
	go a.peers.Run()
	go a.attach(ctx)
	go pause.Every(ctx, a.settings.leaseTiming.RenewInterval, a.updateLeases)
	go pause.Every(ctx, configPollInterval, a.pollConfig)
	go pause.Every(ctx, watchInterval, a.pollNotices)
	go pause.Every(ctx, a.settings.hostListInterval, a.pollHostLists)
	go pause.Every(ctx, a.settings.reportInterval/pendingPollFactor, a.pollReports)
	go pause.Every(ctx, 2*watchInterval, a.placeModels)
}

// Parameters of the link to an entry.
const (
	// localEntryAttempts is the number of attempts to connect to the entry on this host before
	// another one is tried.
	localEntryAttempts = 10
	// remoteEntryDuration is how long a link to another entry is kept before the entry on this
	// host is tried again.
	remoteEntryDuration = 20 * time.Second
)

// attach keeps a link to an entry: to the one on this host if it answers, otherwise to one of the
// others in turn.
func (a *App) attach(ctx context.Context) {
	localEntry, remoteEntries := a.settings.entryAddresses[0], a.settings.entryAddresses[1:]
	for round := 0; ctx.Err() == nil; round++ {
		for attempt := 0; attempt < localEntryAttempts && !a.peers.DialAddress(ctx, localEntry); attempt++ {
			pause.For(ctx, attachRetryInterval)
		}
		if len(remoteEntries) > 0 {
			linkCtx, cancel := context.WithTimeout(ctx, remoteEntryDuration)
			a.peers.DialAddress(linkCtx, remoteEntries[round%len(remoteEntries)])
			cancel()
		}
		pause.For(ctx, attachRetryInterval)
	}
}

// taskConfig is the task of checking the store for new revisions.
const taskConfig = "config"

// pollConfig checks for a new revision if this process holds that task or has no configuration
// yet.
func (a *App) pollConfig(ctx context.Context) {
	if _, ok := a.grantFor(taskConfig); ok || a.config.Current().Revision() == 0 {
		a.syncConfig(ctx)
	}
}

// syncConfig applies the store's newer revisions and publishes them to the mesh.
func (a *App) syncConfig(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	before := a.config.Current().Revision()
	head, err := a.store.Head(ctx)
	if err != nil || head <= before {
		return
	}
	changes, err := a.changesAfter(ctx, before)
	if err != nil {
		a.log.Warn().Err(err).Int64("revision", head).Msg("configuration not loaded")
		return
	}
	a.publish(peer.Update{Changes: changes})
	if after := a.config.Current().Revision(); after > before {
		a.log.Info().Int64("revision", after).Msg("configuration in force")
	}
}

// changesAfter reads the changes after a revision from the store. After revision 0 these are the
// changes that result in the current configuration.
func (a *App) changesAfter(ctx context.Context, revision int64) ([]config.Change, error) {
	if revision > 0 {
		return a.store.Changes(ctx, revision)
	}
	loaded := config.NewHolder()
	if err := a.store.Load(ctx, loaded); err != nil {
		return nil, err
	}
	return loaded.ChangesAfter(0), nil
}

func (a *App) serveStatus(w http.ResponseWriter, _ *http.Request) {
	status := operatorwire.ControlStatus{
		Node: a.settings.id, Revision: a.config.Current().Revision(), StoreDown: a.guardedStore.CircuitOpen(),
		Nodes: operatorwire.FromNodes(a.nodes.Nodes()), Endpoints: operatorwire.FromEndpoints(a.endpoints.View().Infos()),
	}
	for _, g := range a.leases.Grants() {
		status.Shards = append(status.Shards, operatorwire.ShardStatus{Shard: int(g.Shard), Epoch: g.Epoch})
	}
	httpx.WriteJSON(w, http.StatusOK, status)
}
