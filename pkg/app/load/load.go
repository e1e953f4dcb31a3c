// Package load is the load tool: open-loop load at stated rates, and the
// demonstration of the promises on a running fleet.
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
