package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"ironhollow/platform"
	"ironhollow/platform/standin"
)

// node is one host: the same addresses over all its processes.
type node struct {
	settings standin.NodeSettings
	program  string
	folder   string
	// storeProxy is the proxy between this host and the storeProxy.
	storeProxy *Proxy

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	stopped bool
	// faultyUntil is until when faults or their traces are at this host.
	faultyUntil time.Time
}

// Ports of hosts lie below those that the kernel gives to outgoing connections:
// a restarted process must find its own free. Several soaks may run at once.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter counts the ports tried by all fleets of this process; each process begins somewhere
// else.
var portCounter atomic.Int64

func init() { portCounter.Store(int64(os.Getpid() * 97)) }

// freePort returns a loopback address that is free.
func freePort() (string, int, error) {
	for range portCount {
		port := firstPort + int(portCounter.Add(1)%portCount)
		address := fmt.Sprintf("127.0.0.1:%d", port)
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		return address, port, listener.Close()
	}
	return "", 0, errors.New("soak: no port is free")
}

func newNode(number int, program, folder, storeAddress, cloudAddress string) (*node, error) {
	proxy, err := NewProxy(storeAddress)
	if err != nil {
		return nil, err
	}
	n := &node{program: program, folder: folder, storeProxy: proxy}
	n.settings = standin.NodeSettings{
		Name: fmt.Sprintf("node-%d", number), Store: proxy.Address(), Cloud: cloudAddress,
		GraceS: int(gracePeriod / time.Second), LeaseMS: 3000, ReportWindowS: 2, RetryWindowS: 10,
	}
	for _, address := range []*string{&n.settings.Callers, &n.settings.Ready, &n.settings.Directory, &n.settings.Admin} {
		if *address, _, err = freePort(); err != nil {
			return nil, err
		}
	}
	if _, n.settings.PeerPort, err = freePort(); err != nil {
		return nil, err
	}
	path := filepath.Join(folder, n.settings.Name+".toml")
	return n, os.WriteFile(path, []byte(n.settings.TOML()), 0o600)
}

// start starts a process, and another whenever it ends, until end.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	log, err := os.OpenFile(filepath.Join(n.folder, n.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	n.process = exec.Command(n.program)
	n.process.Env = append(os.Environ(), platform.SettingsPathVariable+"="+filepath.Join(n.folder, n.settings.Name+".toml"))
	n.process.Stdout, n.process.Stderr = log, log
	n.done = make(chan struct{})
	if err := n.process.Start(); err != nil {
		return errors.Join(err, log.Close())
	}
	go n.restartOnExit(n.process, n.done, log)
	return nil
}

// restartPause is the time from a process's end to the next one's start.
const restartPause = 300 * time.Millisecond

func (n *node) restartOnExit(process *exec.Cmd, done chan struct{}, log *os.File) {
	// How it ended stands in its log.
	_ = process.Wait()
	_ = log.Close()
	close(done)
	time.Sleep(restartPause)
	if err := n.start(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

// signal sends a signal to the process that this node started.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// It may just have ended: then there is nothing to signal.
	_ = n.process.Process.Signal(s)
}

// stop ends the node for good and waits for its process.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	process, done := n.process, n.done
	n.mu.Unlock()
	n.storeProxy.Close()
	if process != nil {
		_ = process.Process.Kill()
		<-done
	}
}

// markFaulty notes that faults are at this host until some time.
func (n *node) markFaulty(until time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if until.After(n.faultyUntil) {
		n.faultyUntil = until
	}
}

func (n *node) faulty(at time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return at.Before(n.faultyUntil)
}

// ready asks the node whether it is ready.
func (n *node) ready(client *http.Client) bool {
	response, err := client.Get(standin.ReadyURL(n.settings.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
