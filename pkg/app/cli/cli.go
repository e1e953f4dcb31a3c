// Package cli implements the operators' command line.
package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"ironhollow/pkg/code"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/operatorclient"
	"ironhollow/pkg/settings"
)

// Exit codes, documented in docs/operators/cli.md.
const (
	exitOK             = 0
	exitFailure        = 1
	exitInvalidFile    = 2
	exitConflict       = 3
	exitOutcomeUnknown = 4
	// exitDiffers is the exit code of diff if the file differs from the configuration in force.
	exitDiffers = 5
)

// errDiffers is returned by diff if there is a difference. It is not printed.
var errDiffers = errors.New("differs")

// tool contains the global flags and the output, which all commands share.
type tool struct {
	servers []string
	key     string
	ca      string
	asJSON  bool
	out     io.Writer
}

// Main runs the command line and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	return Run(ctx, os.Args[1:], os.Stdout, os.Stderr)
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, args []string, out, errOut io.Writer) int {
	t := &tool{out: out}
	root := t.rootCommand()
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.ExecuteContext(ctx)
	if err != nil && !errors.Is(err, errDiffers) {
		_, _ = fmt.Fprintln(errOut, err)
	}
	return exitCode(err)
}

func exitCode(err error) int {
	var problems settings.Problems
	var serverError *operatorclient.Error
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errDiffers):
		return exitDiffers
	case errors.As(err, &problems) || errors.Is(err, errInvalidFile):
		return exitInvalidFile
	case errors.As(err, &serverError):
		return exitCodeOfError(serverError.Number())
	}
	return exitFailure
}

func exitCodeOfError(number int) int {
	switch number {
	case code.RevisionConflict.Number():
		return exitConflict
	case code.ApplyUnknown.Number():
		return exitOutcomeUnknown
	case code.BadConfig.Number():
		return exitInvalidFile
	}
	return exitFailure
}

func (t *tool) rootCommand() *cobra.Command {
	root := &cobra.Command{
		Use:           "ironhollow",
		Short:         "Operate an ironhollow fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	flags := root.PersistentFlags()
	flags.StringSliceVar(&t.servers, "server", splitEnv("IRONHOLLOW_SERVERS"), "operator addresses of control processes, tried in order (or IRONHOLLOW_SERVERS)")
	flags.StringVar(&t.key, "key", os.Getenv("IRONHOLLOW_KEY"), "operator's bearer key (or IRONHOLLOW_KEY)")
	flags.StringVar(&t.ca, "ca", "", "certificate of the site's authority, if operators' ports use TLS")
	flags.BoolVar(&t.asJSON, "json", false, "print JSON instead of a table")
	root.AddCommand(t.checkCommand(), t.diffCommand(), t.applyCommand(), t.getCommand(), t.statusCommand(),
		t.drainCommand(), t.explainCommand(), t.keysCommand(), t.defaultsCommand())
	return root
}

func splitEnv(name string) []string {
	if value := os.Getenv(name); value != "" {
		return strings.Split(value, ",")
	}
	return nil
}

var errNoServer = errors.New("--server: needed, an IP number and port")

func (t *tool) client() (*operatorclient.Client, error) {
	if len(t.servers) == 0 {
		return nil, errNoServer
	}
	return operatorclient.New(t.servers, t.key, t.ca)
}

// errInvalidFile is wrapped by errors for files that cannot be read or are invalid.
var errInvalidFile = errors.New("not applied")

// readFile reads and validates a configuration file.
func readFile(name string) ([]fleet.Section, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errInvalidFile, err)
	}
	sections, err := fleet.Parse(name, data)
	var problems settings.Problems
	if err != nil && !errors.As(err, &problems) {
		return nil, fmt.Errorf("%w: %w", errInvalidFile, err)
	}
	return sections, err
}

// print writes value as JSON if --json is set; otherwise it calls table to print a table.
func (t *tool) print(value any, table func(w io.Writer)) error {
	if t.asJSON {
		encoder := json.NewEncoder(t.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	w := tabwriter.NewWriter(t.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

func writeRow(w io.Writer, cells ...any) {
	texts := make([]string, len(cells))
	for i, cell := range cells {
		texts[i] = fmt.Sprint(cell)
	}
	_, _ = fmt.Fprintln(w, strings.Join(texts, "\t"))
}
