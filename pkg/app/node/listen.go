package node

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/urfave/negroni/v3"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/forward"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/reach"
	"ironhollow/pkg/relay"
	"ironhollow/pkg/roster"
	"ironhollow/pkg/statetransfer"
	"ironhollow/pkg/upstream"
)

// Limits for the clients of all ports.
const (
	// entriesMaxAge is how long callers may use a list of entries.
	entriesMaxAge = 2 * time.Second
	// headerTimeout bounds the time that a client may take to send its headers.
	headerTimeout = 10 * time.Second
	// requestTimeout bounds the time that a client may take to send a request whose handler reads no body. The HTTP
	// server reads a body before it answers, and cancels the context of a handler that takes longer than this.
	requestTimeout = 10 * time.Second
	// idleTimeout is how long a client's connection may be idle.
	idleTimeout = 30 * time.Second
	// maxHeaderBytes bounds the size of a caller's headers.
	maxHeaderBytes = 64 << 10
	// maxPeerHeaderBytes leaves room for what a host adds to the headers of a caller.
	maxPeerHeaderBytes = maxHeaderBytes + 4<<10
)

// servers are the servers to shut down at the end of the process.
type servers struct{ callers, peers *http.Server }

// listen starts the servers of all ports. It returns those to shut down at the end.
func (n *node) listen(faults chan<- error) (servers, error) {
	callers := &http.Server{
		Handler: n.forwarder, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: httpx.WithCallerConn,
	}
	peers := &http.Server{
		Handler: n.peersHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxPeerHeaderBytes, ConnContext: httpx.WithCallerConn,
	}
	ports := []struct {
		name, address string
		server        *http.Server
	}{
		{"callers", n.settings.CallerAddress, callers},
		{"ready", n.settings.ReadyAddress, &http.Server{Handler: n.readyHandler(), ReadTimeout: requestTimeout, IdleTimeout: idleTimeout}},
		{"directory", n.settings.DirectoryAddress, &http.Server{Handler: n.directoryHandler(), ReadTimeout: requestTimeout, IdleTimeout: idleTimeout}},
		{"peers", n.settings.PeerAddress, peers},
		{"metrics", n.settings.AdminAddress, &http.Server{Handler: process.AdminMux(n.registry, n.checkReady), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}},
	}
	config := net.ListenConfig{
		Control:         upstream.ControlUserTimeout(unackedTimeout),
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 5 * time.Second, Interval: 2 * time.Second, Count: 3},
	}
	for _, p := range ports {
		if p.address == "" {
			continue
		}
		listener, err := config.Listen(context.Background(), "tcp", p.address)
		if err != nil {
			return servers{}, fmt.Errorf("port of %s: %w", p.name, err)
		}
		process.Serve(p.server, listener, faults)
	}
	return servers{callers, peers}, nil
}

func (n *node) readyHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.ReadyPath(), func(w http.ResponseWriter, _ *http.Request) {
		if n.checkReady() != nil {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
}

func (n *node) peersHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET "+relay.Path, n.storeReplica)
	mux.Handle("GET "+reach.Path, n.links)
	mux.HandleFunc("DELETE "+forward.StreamsPath, n.forwarder.ServeStreamEnd)
	mux.Handle("GET "+statetransfer.Path, statetransfer.NewServer(n.hostState, n.known))
	others := negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if forward.IsDetour(r) {
			// The recovery would turn an aborted response into a complete one.
			n.forwarder.ServeDetour(w, r)
			return
		}
		others.ServeHTTP(w, r)
	})
}

func (n *node) directoryHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+n.platform.DirectoryPath(), func(w http.ResponseWriter, _ *http.Request) {
		entries := n.view.Roster().EntryHosts(n.clock.Now())
		if len(entries) == 0 && !n.lifecycle.IsLeaving() {
			entries = []roster.AdvertisedHost{{Node: n.settings.Node, DataCenter: n.settings.DataCenter, CallerAddress: n.settings.CallerAddress}}
		}
		if err := n.platform.EncodeEntries(w, entries, entriesMaxAge); err != nil {
			n.log.Debug().Err(err).Msg("failed to send the list of entries to a caller")
		}
	})
	return negroni.New(negroni.NewRecovery(), negroni.Wrap(mux))
}
