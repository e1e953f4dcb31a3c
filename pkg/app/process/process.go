// Package process holds what all ironhollow processes share: reading and
// checking settings, logs, the admin port, traces and signals.
package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/pprof"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/spf13/cobra"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	"go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/semconv/v1.37.0"

	"ironhollow/pkg/settings"
)

// Exit codes of the processes.
const (
	ExitOK              = 0
	ExitFailure         = 1
	ExitInvalidSettings = 2
)

// Main runs a daemon's command line: --settings FILE, --check and
// --print-defaults. read checks a settings file; run serves until ctx ends.
func Main(name string, schemaText []byte, read func(file string, data []byte) error, run func(ctx context.Context, file string, data []byte) error) int {
	var file string
	var check, defaults bool
	exit := ExitOK
	command := &cobra.Command{
		Use:           name,
		Short:         name + " is part of ironhollow; see README.md.",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			if defaults {
				return printDefaults(command.OutOrStdout(), schemaText)
			}
			data, err := os.ReadFile(file)
			if err != nil {
				exit = ExitInvalidSettings
				return fmt.Errorf("--settings: %w", err)
			}
			if err := read(file, data); err != nil {
				exit = ExitInvalidSettings
				return err
			}
			if check {
				_, err := fmt.Fprintln(command.OutOrStdout(), file+": good")
				return err
			}
			ctx, stop := signal.NotifyContext(command.Context(), syscall.SIGTERM, os.Interrupt)
			defer stop()
			return run(ctx, file, data)
		},
	}
	command.Flags().StringVar(&file, "settings", "", "settings file (INI)")
	command.Flags().BoolVar(&check, "check", false, "check the settings and exit")
	command.Flags().BoolVar(&defaults, "print-defaults", false, "print all settings with their defaults and exit")
	if err := command.ExecuteContext(context.Background()); err != nil {
		fmt.Fprintln(os.Stderr, err)
		if exit == ExitOK {
			exit = ExitFailure
		}
	}
	return exit
}

func printDefaults(out io.Writer, schemaText []byte) error {
	shape, err := settings.ParseSchema(schemaText)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, shape.Defaults())
	return err
}

// NewLogger returns a logger of lines for changes of state.
func NewLogger(level, node string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// logQueue is how many lines wait for a slow reader.
const logQueue = 1024

// NewAsyncLogger returns a logger that never waits for its reader: lines that find
// the queue full are dropped. Close the logger's writer to write out the rest.
func NewAsyncLogger(w io.Writer, node string) *log.Logger {
	return &log.Logger{
		Level:      log.InfoLevel,
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer: &log.AsyncWriter{
			ChannelSize:   logQueue,
			DiscardOnFull: true,
			Writer:        &log.IOWriter{Writer: w},
		},
	}
}

// NewRegistry returns a registry with the process's own figures.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return registry
}

// Tracing is where spans go.
type Tracing struct {
	// Address of an OTLP/HTTP collector; empty for off.
	Address string
	// SampleRatio is the share of requests traced, 0 to 1.
	SampleRatio float64
}

// NewTracer returns a provider of tracers and what ends it.
func NewTracer(ctx context.Context, t Tracing, name, node string) (*trace.TracerProvider, error) {
	otel.SetTextMapPropagator(propagation.TraceContext{})
	options := []trace.TracerProviderOption{
		trace.WithResource(resource.NewWithAttributes(semconv.SchemaURL, semconv.ServiceName(name), semconv.ServiceInstanceID(node))),
		trace.WithSampler(trace.ParentBased(trace.TraceIDRatioBased(t.SampleRatio))),
	}
	if t.Address == "" {
		return trace.NewTracerProvider(trace.WithSampler(trace.NeverSample())), nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpoint(t.Address), otlptracehttp.WithInsecure())
	if err != nil {
		return nil, fmt.Errorf("trace: otlp-address: %w", err)
	}
	options = append(options, trace.WithBatcher(exporter, trace.WithBatchTimeout(time.Second)))
	return trace.NewTracerProvider(options...), nil
}

// AdminMux is the mux of the admin port: /metrics, /healthz, /readyz, profiles.
func AdminMux(registry *prometheus.Registry, ready func() error) *http.ServeMux {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok\n")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = io.WriteString(w, "ready\n")
	})
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	return mux
}

// headerTime bounds how long a client may take over its headers, and bytes
// how long they may be.
const (
	headerTime  = 10 * time.Second
	headerBytes = 64 << 10
	idleTime    = 2 * time.Minute
)

// NewServer returns an HTTP server with bounds on slow and endless clients.
func NewServer(handler http.Handler, readTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTime,
		MaxHeaderBytes:    headerBytes,
	}
}

// Serve serves on a listener until the server is closed, and reports a fault.
func Serve(server *http.Server, listener net.Listener, faults chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			faults <- err
		}
	}()
}

// Listen opens a port; the error names the setting at fault.
func Listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return listener, nil
}
