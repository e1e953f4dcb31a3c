// Package process contains what all ironhollow processes share: the command line, checking of
// settings, logging, the admin port, tracing and signal handling.
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

// Main runs the command line of a daemon: --settings FILE, --check and --print-defaults. validate
// checks a settings file; run serves until ctx is done.
func Main(name string, schemaText []byte, validate func(file string, data []byte) error, run func(ctx context.Context, file string, data []byte) error) int {
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
			if err := validate(file, data); err != nil {
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
	schema, err := settings.ParseSchema(schemaText)
	if err != nil {
		return err
	}
	_, err = io.WriteString(out, schema.Defaults())
	return err
}

// NewLogger returns a logger for changes of state. It writes to standard error.
func NewLogger(level, node string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: time.RFC3339Nano,
		Context:    log.NewContext(nil).Str("node", node).Value(),
		Writer:     &log.IOWriter{Writer: os.Stderr},
	}
}

// NewRegistry returns a registry with the metrics of the process and of the Go runtime.
func NewRegistry() *prometheus.Registry {
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), collectors.NewGoCollector())
	return registry
}

// Tracing configures the export of spans.
type Tracing struct {
	// Address is the address of an OTLP/HTTP collector; tracing is off if it is empty.
	Address string
	// SampleRatio is the fraction of requests that are traced, from 0 to 1.
	SampleRatio float64
}

// NewTracer returns a tracer provider. The caller must shut it down.
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

// AdminMux returns the mux of the admin port: /metrics, /healthz, /readyz and profiles.
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

// Limits for a client: the time to send its headers, the size of the headers, and the time for
// which a connection may be idle.
const (
	headerTimeout  = 10 * time.Second
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
)

// NewServer returns an HTTP server with limits for slow clients and large headers.
func NewServer(handler http.Handler, readTimeout time.Duration) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// Serve serves on a listener until the server is closed. It does not block; if serving fails, the
// error is sent to faults.
func Serve(server *http.Server, listener net.Listener, faults chan<- error) {
	go func() {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			faults <- err
		}
	}()
}

// Listen listens on a TCP address; key is the setting that an error names.
func Listen(key, address string) (net.Listener, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return listener, nil
}
