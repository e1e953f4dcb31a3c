package soak

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"ironhollow/platform/standin"
)

// HostOptions describes a host that StartHost starts.
type HostOptions struct {
	// Program is the path of ironhollow-node, Folder the folder for settings and logs.
	Program, Folder string
	// MemoryMB is the memory limit in the settings.
	MemoryMB int
	// WrapStore, if it is not nil, returns the handler that the host uses as the store, and WrapCloud the one for the cloud.
	WrapStore, WrapCloud func(http.Handler) http.Handler
	// Peers are the IP addresses of other hosts in the settings, and ServePeer, if it is not nil, is called with the address at
	// which the host expects each of them, before it starts.
	Peers     []string
	ServePeer func(address string) error
}

// Host is one host with a store, a cloud and endpoints of its own. It is for tests that send it what no client or server
// should.
type Host struct {
	run  *run
	node *node
	// pid is the process that StartHost started.
	pid int
}

// StartHost starts a host and waits until it is ready.
func StartHost(o HostOptions) (*Host, error) {
	h := &Host{run: newRun(Options{Program: o.Program, Folder: o.Folder, Log: io.Discard})}
	if err := h.start(o); err != nil {
		h.Stop()
		return nil, err
	}
	return h, nil
}

func wrap(handler http.Handler, with func(http.Handler) http.Handler) http.Handler {
	if with == nil {
		return handler
	}
	return with(handler)
}

func (h *Host) start(o HostOptions) error {
	r := h.run
	storeAddress, _, err := standin.Serve(wrap(r.store, o.WrapStore))
	if err != nil {
		return err
	}
	cloudAddress, _, err := standin.Serve(wrap(r.cloud, o.WrapCloud))
	if err != nil {
		return err
	}
	if err := standin.PutConfiguration(r.store, r.configVersion, r.configVersion); err != nil {
		return err
	}
	for i := range plainEndpoints {
		r.endpoints, r.proxies = append(r.endpoints, nil), append(r.proxies, nil)
		if err := r.startEndpoint(i); err != nil {
			return err
		}
	}
	if h.node, err = newNode(0, o.Program, o.Folder, storeAddress, cloudAddress); err != nil {
		return err
	}
	r.nodes = append(r.nodes, h.node)
	h.node.settings.MemoryMB, h.node.settings.Seeds = o.MemoryMB, o.Peers
	for _, ip := range o.Peers {
		if err := o.ServePeer(net.JoinHostPort(ip, strconv.Itoa(h.node.settings.PeerPort))); err != nil {
			return err
		}
	}
	if err := h.node.writeSettings(); err != nil {
		return err
	}
	if err := h.node.start(); err != nil {
		return err
	}
	h.pid = h.node.pid()
	return r.waitReady(startTimeout)
}

// Stop stops the host and its stand-ins.
func (h *Host) Stop() { h.run.stop() }

// Address is the address for callers.
func (h *Host) Address() string { return h.node.settings.Callers }

// DirectoryAddress is the address at which callers ask for hosts.
func (h *Host) DirectoryAddress() string { return h.node.settings.Directory }

// ReadyAddress is the address at which the platform asks whether the host is ready.
func (h *Host) ReadyAddress() string { return h.node.settings.Ready }

// PutEndpoint adds an endpoint at an address to those that the store lists. The endpoint is the caller's.
func (h *Host) PutEndpoint(id, service, address string) error {
	row := map[string]any{"service": service, "address": address, "zone": "dc", "slots": maxListedSlots, "state": "ready", "version": initialVersion, "sequence": 1, "born": time.Now().UnixMilli()}
	if service == standin.StreamService {
		row["phase"] = "combined"
	}
	return h.run.store.Put("servers", id, row)
}

// maxListedSlots is the number of slots of an endpoint of PutEndpoint.
const maxListedSlots = 64

// HasEnded reports whether the process has ended; another one may have been started since.
func (h *Host) HasEnded() bool { return h.node.pid() != h.pid }

// PeakMemoryMB returns the most memory that the process has held.
func (h *Host) PeakMemoryMB() (int, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if kb, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			peak, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(kb), "kB")))
			return peak >> 10, err
		}
	}
	return 0, fmt.Errorf("soak: no peak of the memory of process %d", h.pid)
}

// OpenFiles returns the number of open descriptors of the process.
func (h *Host) OpenFiles() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", h.pid))
	return len(entries), err
}

// Send sends a request of a kind and returns the status of the response, once that is complete.
func (h *Host) Send(ctx context.Context, kind standin.RequestKind, id, body string) (status int, err error) {
	request, err := standin.NewRequest(h.Address(), kind, id, body)
	if err != nil {
		return 0, err
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request.WithContext(ctx))
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
