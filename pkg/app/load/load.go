// Package load is the load tool: it sends open-loop load at given rates,
// demonstrates the guarantees on a running fleet, and runs the hop and scale
// benchmarks.
package load

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

// Main runs the command line and returns its exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	root := &cobra.Command{
		Use:           "ironhollow-load",
		Short:         "Load and demonstrations for an ironhollow fleet",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(demoCommand(), hopCommand(), runCommand(), scaleCommand(), scaleReportCommand())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "FAILED:", err)
		return 1
	}
	return 0
}
