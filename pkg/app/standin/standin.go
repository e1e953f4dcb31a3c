// Package standin implements the process that simulates the platform, the model engines and
// the plain services in tests and demonstrations.
package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/cloud"
	"ironhollow/pkg/endpoint"
	"ironhollow/pkg/hostlist"
	"ironhollow/pkg/httpx"
	"ironhollow/pkg/standin/clouds"
	"ironhollow/pkg/standin/engines"
	"ironhollow/pkg/standin/objects"
	"ironhollow/pkg/standin/services"
	"ironhollow/pkg/standin/tables"
)

// Main runs the command line and returns its exit code.
func Main() int {
	root := &cobra.Command{
		Use:           "ironhollow-standin",
		Short:         "Stand-ins of the platform, of model engines and of plain services",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(platformCommand(), engineCommand(), serviceCommand(), portsCommand(), passthroughCommand())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}

func passthroughCommand() *cobra.Command {
	var address, target string
	command := &cobra.Command{
		Use:   "passthrough",
		Short: "A naive hop that checks nothing, to measure against",
		RunE: func(command *cobra.Command, _ []string) error {
			mux := process.AdminMux(process.NewRegistry(), func() error { return nil })
			mux.Handle("/", services.Passthrough(target, httpx.NewClient(passthroughConns)))
			return serveUntil(command.Context(), address, mux, make(chan struct{}))
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address")
	command.Flags().StringVar(&target, "to", "", "address to pass requests on to")
	return command
}

// passthroughConns is how many connections the passthrough proxy keeps: as many as an entry.
const passthroughConns = 64

func portsCommand() *cobra.Command {
	var count int
	command := &cobra.Command{
		Use:   "ports",
		Short: "Print free ports of the loopback, one a line",
		RunE: func(command *cobra.Command, _ []string) error {
			ports, err := freePorts(count)
			for _, port := range ports {
				_, _ = fmt.Fprintln(command.OutOrStdout(), port)
			}
			return err
		},
	}
	command.Flags().IntVar(&count, "count", 1, "how many")
	return command
}

// Ports are chosen below the kernel's range for outgoing connections, which could occupy a
// free port before the process that is to listen on it has started.
const (
	firstPort = 10_000
	lastPort  = 32_000
)

// freePorts returns ports that were free when they were checked. The search starts at a
// random port, to make a collision between concurrent callers less likely.
func freePorts(count int) ([]int, error) {
	var ports []int
	port := firstPort + rand.IntN(lastPort-firstPort)
	for range lastPort - firstPort {
		if len(ports) == count {
			return ports, nil
		}
		port++
		if port >= lastPort {
			port = firstPort
		}
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			continue
		}
		_ = listener.Close()
		ports = append(ports, port)
	}
	return ports, fmt.Errorf("only %d ports are free", len(ports))
}

func platformCommand() *cobra.Command {
	var address string
	var listLag time.Duration
	command := &cobra.Command{
		Use:   "platform",
		Short: "Table service, object store, cloud API and list of hosts on one port",
		RunE: func(command *cobra.Command, _ []string) error {
			return servePlatform(command.Context(), address, listLag)
		},
	}
	command.Flags().StringVar(&address, "listen", "127.0.0.1:0", "address")
	command.Flags().DurationVar(&listLag, "list-lag", 2*time.Second, "how late the list of hosts is")
	return command
}

// StoreFault is the fault of the stores, set through /standin/store.
type StoreFault struct {
	// Kind is none, down, lose-answers or slow.
	Kind string `json:"kind"`
	// DelayMS is the delay of each call to the table service if Kind is slow.
	DelayMS int64 `json:"delay_ms"`
}

// StoreCounts are the numbers of calls to the table service so far.
type StoreCounts struct {
	Commits int64 `json:"commits"`
	Gets    int64 `json:"gets"`
	Lists   int64 `json:"lists"`
}

func servePlatform(ctx context.Context, address string, listLag time.Duration) error {
	client := httpx.NewClient(4)
	stop := func(_ endpoint.Ref, admin string) {
		_ = httpx.CallJSON(context.WithoutCancel(ctx), client, http.MethodPost, "http://"+admin+"/standin/kill", nil, nil)
	}
	store := tables.New()
	objectStore := objects.New()
	cloudAPI := clouds.New(listLag, stop, func(cloud.Order) (string, bool) { return "", false })
	mux := http.NewServeMux()
	store.Register(mux)
	objectStore.Register(mux)
	cloudAPI.Register(mux)
	mux.HandleFunc("POST /standin/store", func(w http.ResponseWriter, r *http.Request) {
		var fault StoreFault
		if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		setFault(store, objectStore, fault)
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("GET /standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		httpx.WriteJSON(w, http.StatusOK, StoreCounts{
			store.Count(tables.OperationCommit), store.Count(tables.OperationGet), store.Count(tables.OperationList),
		})
	})
	return serveUntil(ctx, address, mux, make(chan struct{}))
}

func setFault(store *tables.Store, objectStore *objects.Store, fault StoreFault) {
	objectStore.SetDown(fault.Kind == "down")
	switch fault.Kind {
	case "down":
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Down{} })
	case "lose-answers":
		store.SetFaults(func(tables.Call) tables.Fault { return tables.LoseResponse{} })
	case "slow":
		delay := time.Duration(fault.DelayMS) * time.Millisecond
		store.SetFaults(func(tables.Call) tables.Fault { return tables.Delay{Duration: delay} })
	default:
		store.SetFaults(nil)
	}
}

// serveUntil serves until ctx ends or kill is closed, then closes every connection.
func serveUntil(ctx context.Context, address string, handler http.Handler, kill <-chan struct{}) error {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	return serveListener(ctx, listener, handler, kill)
}

func serveListener(ctx context.Context, listener net.Listener, handler http.Handler, kill <-chan struct{}) error {
	server := &http.Server{Handler: handler, ReadHeaderTimeout: 10 * time.Second}
	go func() {
		select {
		case <-ctx.Done():
		case <-kill:
		}
		_ = server.Close()
	}()
	if err := server.Serve(listener); err != http.ErrServerClosed {
		return err
	}
	return nil
}

// hostFlags are the flags for the hosts of one process.
type hostFlags struct {
	platform, prefix, dataCenter, class string
	count                               int
	onDemand, noChecks                  bool
}

func (f *hostFlags) register(command *cobra.Command) {
	flags := command.Flags()
	flags.StringVar(&f.platform, "platform", "", "address of the platform stand-in")
	flags.StringVar(&f.prefix, "prefix", "host", "prefix of the hosts' names")
	flags.StringVar(&f.dataCenter, "data-center", "dc1", "data centre")
	flags.StringVar(&f.class, "class", "standard", "class of host")
	flags.IntVar(&f.count, "count", 1, "how many hosts")
	flags.BoolVar(&f.onDemand, "on-demand", false, "not reclaimable")
	flags.BoolVar(&f.noChecks, "no-checks", false, "does not check epochs or deadlines")
}

// serveHosts runs count hosts, each on its own port, until ctx ends.
func (f *hostFlags) serveHosts(ctx context.Context, describe func(*hostlist.Host), handler func(kill func(), incarnation int64) http.Handler) error {
	client := httpx.NewClient(2)
	var hostGroup sync.WaitGroup
	for i := range f.count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		address := listener.Addr().String()
		incarnation := time.Now().UnixMilli()
		host := hostlist.Host{
			ID: fmt.Sprintf("%s-%d", f.prefix, i+1), Incarnation: incarnation, State: endpoint.Live.String(),
			DataCenter: f.dataCenter, Class: f.class, Address: address, ChecksOrders: !f.noChecks, Reclaimable: !f.onDemand,
		}
		describe(&host)
		kill := make(chan struct{})
		var once sync.Once
		hostHandler := handler(func() { once.Do(func() { close(kill) }) }, incarnation)
		hostGroup.Go(func() { _ = serveListener(ctx, listener, hostHandler, kill) })
		registration := clouds.Registration{Host: host, Admin: address}
		if err := httpx.CallJSON(ctx, client, http.MethodPost, "http://"+f.platform+"/standin/hosts", registration, nil); err != nil {
			return err
		}
	}
	hostGroup.Wait()
	<-ctx.Done()
	return nil
}

// withKillHandler adds the path by which the cloud stand-in stops a host.
func withKillHandler(handler http.Handler, kill func()) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/", handler)
	mux.HandleFunc("POST /standin/kill", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		go kill()
	})
	return mux
}

func engineCommand() *cobra.Command {
	var flags hostFlags
	options := engines.DefaultOptions()
	command := &cobra.Command{
		Use:   "engine",
		Short: "Model engines",
		RunE: func(command *cobra.Command, _ []string) error {
			options.ChecksOrders = !flags.noChecks
			client := httpx.NewClient(4)
			describe := func(h *hostlist.Host) { h.Kind = string(endpoint.Model) }
			return flags.serveHosts(command.Context(), describe, func(kill func(), incarnation int64) http.Handler {
				return withKillHandler(engines.NewServer(engines.New(incarnation, options), client).Handler(), kill)
			})
		},
	}
	flags.register(command)
	command.Flags().DurationVar(&options.TokenGap, "token-gap", options.TokenGap, "time between tokens")
	command.Flags().IntVar(&options.Slots, "slots", options.Slots, "streams at once")
	command.Flags().DurationVar(&options.PrefillPerToken, "prefill", options.PrefillPerToken, "time to compute one prompt token")
	command.Flags().DurationVar(&options.LoadTime, "load-time", options.LoadTime, "time to load a model")
	return command
}

func serviceCommand() *cobra.Command {
	var flags hostFlags
	var name string
	var options services.Options
	command := &cobra.Command{
		Use:   "service",
		Short: "Plain services that share a ledger",
		RunE: func(command *cobra.Command, _ []string) error {
			ledger := services.NewLedger()
			options.ChecksDeadline = !flags.noChecks
			describe := func(h *hostlist.Host) {
				h.Kind = string(endpoint.Plain)
				h.Service = name
			}
			return flags.serveHosts(command.Context(), describe, func(kill func(), _ int64) http.Handler {
				return withKillHandler(services.Handler(ledger, options), kill)
			})
		},
	}
	flags.register(command)
	command.Flags().StringVar(&name, "service", "ledger", "name of the service")
	command.Flags().DurationVar(&options.Latency, "work", time.Millisecond, "time a call takes")
	return command
}
