package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/upstream"
)

// Bounds of what others ask.
const (
	// entriesKept is how long callers keep the answer of which entries to use.
	entriesKept = 2 * time.Second
	// headerTime bounds how long a caller may take over its headers.
	headerTime = 10 * time.Second
	// idleTime is how long a caller's connection may rest.
	idleTime = 30 * time.Second
	// headerBytes bounds a caller's headers.
	headerBytes = 64 << 10
)

// listen opens the ports.
func (n *node) listen(faults chan<- error) ([]*http.Server, error) {
	callers := &http.Server{
		Handler: n.forwarder, ReadHeaderTimeout: headerTime, IdleTimeout: idleTime, MaxHeaderBytes: headerBytes,
	}
	ports := []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", n.settings.CallerAddress, callers},
		{"ready", n.settings.ReadyAddress, &http.Server{Handler: n.readyHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{"directory", n.settings.DirectoryAddress, &http.Server{Handler: n.directoryHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{"peers", n.settings.PeerAddress, &http.Server{Handler: n.peersHandler(), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
		{"metrics", n.settings.AdminAddress, &http.Server{Handler: process.AdminMux(n.registry, n.isReady), ReadHeaderTimeout: headerTime, IdleTimeout: idleTime}},
	}
	config := net.ListenConfig{
		Control:         upstream.ControlUserTimeout(deadPeer),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	var servers []*http.Server
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", p.address)
		if err != nil {
			return nil, fmt.Errorf("port of %s: %w", p.name, err)
		}
		process.Serve(p.server, listener, faults)
		if p.server == callers {
			servers = append(servers, p.server)
		}
	}
	return servers, nil
}

func (n *node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if n.isReady() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
}

func (n *node) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relay.Path, n.copy)
	return negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
}

func (n *node) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.DirectoryPath(), func(w http.ResponseWriter, _ *http.Request) {
		entries := n.view.Roster().AdvertisedHosts()
		if len(entries) == 0 && !n.life.leaving() {
			entries = []roster.AdvertisedHost{{Node: n.settings.Node, DataCenter: n.settings.DataCenter, CallerAddress: n.settings.CallerAddress}}
		}
		if err := n.platform.EncodeEntries(w, entries, entriesKept); err != nil {
			n.log.Debug().Err(err).Msg("a caller left while it was told the entries")
		}
	})
	return negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
}
