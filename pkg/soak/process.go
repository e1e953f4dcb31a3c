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

// node is a host. It keeps its addresses when its process is restarted.
type node struct {
	settings standin.NodeSettings
	program  string
	folder   string
	// storeProxy is the proxy between this host and the store.
	storeProxy *Proxy
	// links are the links to endpoints, nil if all hosts use the same.
	links *endpointLinks

	mu      sync.Mutex
	process *exec.Cmd
	done    chan struct{}
	stopped bool
	// faultyUntil is the time until which this host has faults or residual effects of them.
	faultyUntil time.Time
}

// Ports of hosts are below the kernel's range for outgoing connections, so that a restarted process
// finds its ports free. Several soak runs may use the machine at once.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter counts the ports tried by all fleets of this process. Each process starts at a different
// port.
var portCounter atomic.Int64

func init() { portCounter.Store(int64(os.Getpid() * 97)) }

// freePort returns a free loopback address and its port.
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
	return "", 0, errors.New("soak: no free port")
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
	return n, n.writeSettings()
}

func (n *node) writeSettings() error {
	return os.WriteFile(filepath.Join(n.folder, n.settings.Name+".toml"), []byte(n.settings.TOML()), 0o600)
}

// start starts a process, which is restarted whenever it ends until stop is called.
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

// restartPause is the time between the end of a process and the start of the next one.
const restartPause = 300 * time.Millisecond

func (n *node) restartOnExit(process *exec.Cmd, done chan struct{}, log *os.File) {
	// The exit status is ignored: the reason is in the process's log.
	_ = process.Wait()
	_ = log.Close()
	close(done)
	time.Sleep(restartPause)
	if err := n.start(); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
	}
}

// pid returns the ID of the latest process.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process.Process.Pid
}

// signal sends a signal to the current process of this node.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	// The error is ignored because the process may just have ended.
	_ = n.process.Process.Signal(s)
}

// stop stops the node permanently and waits for its process.
func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	process, done := n.process, n.done
	n.mu.Unlock()
	n.storeProxy.Close()
	if n.links != nil {
		n.links.close()
	}
	if process != nil {
		_ = process.Process.Kill()
		<-done
	}
}

// markFaulty records that this host has faults until the given time.
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

// ready reports whether the node reports that it is ready.
func (n *node) ready(client *http.Client) bool {
	response, err := client.Get(standin.ReadyURL(n.settings.Ready))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
