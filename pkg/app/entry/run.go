package entry

import (
	"context"
	"crypto/tls"
	"net/http"
	"time"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/job"
	"ironhollow/pkg/membership"
	"ironhollow/pkg/pause"
	"ironhollow/pkg/peer"
	"ironhollow/schema"
)

// Main runs the command line of ironhollow-entry and returns its exit code.
func Main() int {
	check := func(file string, data []byte) error {
		s, err := Read(file, data)
		if err != nil {
			return err
		}
		_, err = newTLS(s)
		return err
	}
	return process.Main("ironhollow-entry", schema.Entry, check, run)
}

func run(ctx context.Context, file string, data []byte) error {
	settings, err := Read(file, data)
	if err != nil {
		return err
	}
	logger := process.NewLogger(settings.logLevel, settings.node.ID)
	tracer, err := process.NewTracer(context.WithoutCancel(ctx), settings.tracing, "ironhollow-entry", settings.node.ID)
	if err != nil {
		return err
	}
	defer func() { _ = tracer.Shutdown(context.WithoutCancel(ctx)) }()
	// The parts outlive the signal: a drain uses all of them.
	life, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	app, err := build(life, settings, NewIncarnation(), logger, process.NewRegistry(), tracer)
	if err != nil {
		return err
	}
	return app.Serve(ctx, life)
}

// Serve runs the entry until stop ends, then drains it. life ends all parts.
func (a *App) Serve(stop, life context.Context) error {
	faults := make(chan error, 3)
	servers, err := a.listen(faults)
	if err != nil {
		return err
	}
	a.start(life)
	a.log.Info().Str("caller_address", a.self.CallerAddress).Int64("incarnation", a.self.Incarnation).Msg("entry is up")
	select {
	case err := <-faults:
		return err
	case <-stop.Done():
	case <-a.drainAsked:
	}
	a.drain(life, servers)
	return nil
}

// listen opens the three ports.
func (a *App) listen(faults chan<- error) ([]*http.Server, error) {
	var servers []*http.Server
	open := func(key, address string, handler http.Handler, read time.Duration, config *tls.Config) error {
		listener, err := process.Listen(key, address)
		if err != nil {
			return err
		}
		if config != nil {
			listener = tls.NewListener(listener, config)
		}
		server := process.NewServer(handler, read)
		servers = append(servers, server)
		process.Serve(server, listener, faults)
		return nil
	}
	if err := open("[node] caller-address", a.self.CallerAddress, a.api, a.settings.readTimeout, a.tls.ExternalServer()); err != nil {
		return nil, err
	}
	if err := open("[node] peer-address", a.self.PeerAddress, a.peerMux(), 0, a.tls.PeerServer()); err != nil {
		return nil, err
	}
	return servers, open("[node] admin-address", a.settings.adminAddress, a.admin(), a.settings.readTimeout, nil)
}

func (a *App) peerMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+peer.Path, a.peers)
	return mux
}

// start begins what an entry does beside serving.
func (a *App) start(ctx context.Context) {
	a.endpoints.OnLeaving(func(info endpoint.Info) { a.onLeave(ctx, info) })
	a.runner.OnReport(a.takeReport)
	a.api.Notices.OnLeave(a.spread)
	go a.peers.Run()
	go a.watchConfig(ctx)
	go a.begin(ctx)
	go a.readReports(ctx)
	go pause.Every(ctx, sharePeriod, a.share)
}

// beginPeriod is how often a start that the store did not answer is repeated.
const beginPeriod = 500 * time.Millisecond

// begin registers and finds the others; with the store down, it finds them by
// the seeds, and takes the configuration from them.
func (a *App) begin(ctx context.Context) {
	for {
		tryCtx, cancel := context.WithTimeout(ctx, storeTime)
		err := a.register(tryCtx)
		if err == nil {
			err = a.discover(tryCtx)
		}
		cancel()
		if err == nil {
			break
		}
		a.dialSeeds(ctx)
		if !pause.For(ctx, beginPeriod) {
			return
		}
	}
	a.followConfig(ctx)
	a.recoverOwn(ctx)
	go pause.Every(ctx, recoverPeriod, a.recoverJobs)
	go pause.Every(ctx, sweepPeriod, a.sweep)
	pause.Every(ctx, configPeriod, a.followConfig)
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

// recoverOwn takes up jobs of earlier starts of this node.
func (a *App) recoverOwn(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, storeTime)
	defer cancel()
	owners, err := a.jobs.Owners(ctx, a.self.ID)
	if err != nil {
		return
	}
	for _, owner := range owners {
		if membership.IncarnationOfOwner(owner) >= a.self.Incarnation {
			continue
		}
		if taken, _, err := a.worker.Recover(ctx, owner, job.Shard{Count: 1}); err == nil && taken > 0 {
			a.log.Info().Str("owner", owner).Int("jobs", taken).Msg("jobs of an earlier start taken up")
		}
	}
}

// startDrain asks for a planned stop; it may be called more than once.
func (a *App) startDrain() {
	a.drainOnce.Do(func() { close(a.drainAsked) })
}

// idlePeriod is how often a drain looks whether requests are left.
const idlePeriod = 20 * time.Millisecond

// drain is the planned stop: leave the advertised entries, serve on until the
// answers that callers keep have expired and no request or job is left.
func (a *App) drain(ctx context.Context, servers []*http.Server) {
	a.log.Info().Msg("draining")
	a.peers.Send(a.mesh.Leave())
	ctx, cancel := context.WithTimeout(ctx, a.settings.drainMost)
	defer cancel()
	notice := max(a.settings.drainNotice, a.config.Current().Policy().EntriesKept())
	pause.For(ctx, notice)
	a.worker.Drain(ctx)
	// Connections kept by callers are closed as they fall idle; a request that
	// comes in on one meanwhile is served.
	for _, server := range servers[:1] {
		server.SetKeepAlivesEnabled(false)
	}
	for pause.For(ctx, idlePeriod) {
		if a.api.InFlight() == 0 {
			break
		}
	}
	_ = servers[0].Shutdown(ctx)
	a.claims.Wait()
	waiting, running := a.worker.Depth()
	a.log.Info().Int64("requests_left", a.api.InFlight()).Int("jobs_left", waiting+running).Msg("drained")
	for _, server := range servers[1:] {
		_ = server.Close()
	}
}
