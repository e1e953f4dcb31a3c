package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"net/http"
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/job"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/peer"
	"ironhollow/schema"
)

// Main runs the command line of ironhollow-entry and returns its exit code.
func Main() int {
	validate := func(file string, data []byte) error {
		s, err := ParseSettings(file, data)
		if err != nil {
			return err
		}
		_, err = newTLS(s)
		return err
	}
	return process.Main("ironhollow-entry", schema.Entry, validate, run)
}

func run(ctx context.Context, file string, data []byte) error {
	settings, err := ParseSettings(file, data)
	if err != nil {
		return err
	}
	logger := process.NewLogger(settings.logLevel, settings.node.ID)
	tracer, err := process.NewTracer(context.WithoutCancel(ctx), settings.tracing, "ironhollow-entry", settings.node.ID)
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Shutdown(context.WithoutCancel(ctx)) }()
	// The components outlive the signal, because a drain uses all of them.
	lifetime, endLifetime := context.WithCancel(context.WithoutCancel(ctx))
	defer endLifetime()
	app, err := build(lifetime, settings, NewIncarnation(), logger, process.NewRegistry(), tracer)
	if err != nil {
		return err
	}
	return app.Serve(ctx, lifetime)
}

// Serve runs the entry until stop is done or a drain is requested, then drains it. The
// components run until lifetime is done.
func (a *App) Serve(stop, lifetime context.Context) error {
	serveErrors := make(chan error, 3)
	servers, err := a.listen(serveErrors)
	if err != nil {
		return err
	}
	a.start(lifetime)
	a.log.Info().Str("caller_address", a.self.CallerAddress).Int64("incarnation", a.self.Incarnation).Msg("entry started")
	select {
	case err := <-serveErrors:
		return err
	case <-stop.Done():
	case <-a.drainRequested:
	}
	a.drain(lifetime, servers)
	return nil
}

// listen starts the servers of the caller, peer and admin ports, and returns them in that order.
func (a *App) listen(serveErrors chan<- error) ([]*http.Server, error) {
	var servers []*http.Server
	open := func(key, address string, handler http.Handler, readTimeout time.Duration, config *tls.Config) error {
		listener, err := process.Listen(key, address)
		if err != nil {
			return err
		}
		if config != nil {
			listener = tls.NewListener(listener, config)
		}
		server := process.NewServer(handler, readTimeout)
		server.ConnContext = httpx.WithCallerConn
		servers = append(servers, server)
		process.Serve(server, listener, serveErrors)
		return nil
	}
	if err := open("[node] caller-address", a.self.CallerAddress, a.api, a.settings.readTimeout, a.tls.ExternalServer()); err != nil {
		return nil, err
	}
	if err := open("[node] peer-address", a.self.PeerAddress, a.peerMux(), 0, a.tls.PeerServer()); err != nil {
		return nil, err
	}
	return servers, open("[node] admin-address", a.settings.adminAddress, a.adminMux(), a.settings.readTimeout, nil)
}

func (a *App) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+peer.Path, a.peers)
	return mux
}

// start starts the background work.
func (a *App) start(ctx context.Context) {
	a.endpoints.OnLeaving(func(info endpoint.Info) { a.onLeaving(ctx, info) })
	a.runner.OnReport(a.applyReport)
	a.api.Notices.OnLeave(a.publishEndpoint)
	go a.peers.Run()
	go a.applyConfigChanges(ctx)
	go a.join(ctx)
	go a.pollReports(ctx)
	go pause.Every(ctx, shareUpdateInterval, a.updateShares)
}

// joinRetryInterval is the wait before another attempt to join when the store did not answer.
const joinRetryInterval = 500 * time.Millisecond

// join registers this node and publishes the registered nodes, then runs the periodic work that
// needs the store. While the store is down, it connects to the seeds instead, which send the
// configuration.
func (a *App) join(ctx context.Context) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, storeTimeout)
		err := a.register(tryCtx)
		if err == nil {
			err = a.publishRegisteredNodes(tryCtx)
		}
		cancel()
		if err == nil {
			break
		}
		a.dialSeeds(ctx)
		if !pause.For(ctx, joinRetryInterval) {
			return
		}
	}
	a.syncConfig(ctx)
	a.recoverOwnJobs(ctx)
	go pause.Every(ctx, recoverInterval, a.recoverJobs)
	go pause.Every(ctx, sweepInterval, a.sweep)
	pause.Every(ctx, configSyncInterval, a.syncConfig)
}

func (a *App) dialSeeds(ctx context.Context) {
	if a.peers.LinkCount() > 0 {
		return
	}
	for _, seed := range a.settings.seeds {
		if seed != a.self.PeerAddress {
			go a.peers.DialAddress(ctx, seed)
		}
	}
}

// recoverOwnJobs takes over the jobs of earlier incarnations of this node, if that has not been done
// yet. No other entry does so while this node is alive.
func (a *App) recoverOwnJobs(ctx context.Context) {
	if a.ownRecovery == recoveryDone {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch err := a.recoverEarlierIncarnations(ctx); {
	case err == nil:
		a.ownRecovery = recoveryDone
	case a.ownRecovery == recoveryPending:
		a.ownRecovery = recoveryFailed
		a.log.Warn().Err(err).Msg("jobs of an earlier incarnation not taken over yet")
	}
}

func (a *App) recoverEarlierIncarnations(ctx context.Context) error {
	owners, err := a.jobs.Owners(ctx, a.self.ID)
	if err != nil {
		return err
	}
	var unusable error
	for _, owner := range owners {
		if membership.IncarnationOfOwner(owner) >= a.self.Incarnation {
			continue
		}
		taken, err := a.worker.RecoverAll(ctx, owner)
		if taken > 0 {
			a.log.Info().Str("owner", owner).Int("jobs", taken).Msg("jobs of an earlier incarnation taken over")
		}
		if job.IsUnusable(err) {
			unusable = errors.Join(unusable, err)
		} else if err != nil {
			return err
		}
	}
	return unusable
}

// requestDrain requests a drain. It may be called more than once.
func (a *App) requestDrain() {
	a.drainOnce.Do(func() { close(a.drainRequested) })
}

const (
	// drainPollInterval is the interval at which a drain checks for requests in flight.
	drainPollInterval = 20 * time.Millisecond
	// answerTime is the part of a drain in which requests that still run are ended and answered. The
	// outcome of a call with a key is recorded before its answer.
	answerTime = 500 * time.Millisecond
)

// drain stops the entry as planned. The entry is no longer advertised, and serves until the lists
// of entries that callers cache have expired and no request or job is left, or until the drain
// times out. Requests that still run then are ended and answered.
func (a *App) drain(ctx context.Context, servers []*http.Server) {
	requestTime := a.settings.drainTimeout - answerTime
	notice := max(a.settings.drainNotice, a.config.Current().Policy().EntryListTTL())
	a.log.Info().Int64("requests", a.api.InFlight()).Msg("draining")
	a.api.StartDrain(min(notice, requestTime/2), requestTime)
	a.peers.Send(a.mesh.Leave())
	endRequests := time.AfterFunc(requestTime, a.api.EndRequests)
	defer endRequests.Stop()
	ctx, cancel := context.WithTimeout(ctx, a.settings.drainTimeout)
	defer cancel()
	a.awaitIdle(ctx, notice, requestTime, servers[0])
	err := servers[0].Shutdown(ctx)
	for _, r := range a.api.InProgress() {
		a.log.Warn().Str("method", r.Method).Str("path", r.Path).Dur("age", time.Since(r.StartedAt)).Msg("request cut by the end of the process")
	}
	a.claims.Wait()
	waiting, running := a.worker.Depth()
	a.log.Info().Int64("requests_left", a.api.InFlight()).Int("jobs_left", waiting+running).AnErr("callers", err).Msg("drained")
	for _, server := range servers[1:] {
		_ = server.Close()
	}
}

// awaitIdle waits for notice, and then until no request or running job is left. It returns after
// requestTime at the latest.
func (a *App) awaitIdle(ctx context.Context, notice, requestTime time.Duration, callers *http.Server) {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	pause.For(ctx, notice)
	// The callers' keep-alive connections are closed when they become idle. A request that
	// arrives on one before that is served.
	callers.SetKeepAlivesEnabled(false)
	a.worker.Drain(ctx)
	for pause.For(ctx, drainPollInterval) {
		if a.api.InFlight() == 0 {
			return
		}
	}
}
