// Package soak implements the command line of the fault soak test.
package soak

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"ironhollow/pkg/app/process"
	"ironhollow/pkg/soak"
)

// Main runs the command line and returns the exit code.
func Main() int {
	var o soak.Options
	var firstSeed uint64
	var seeds int
	var keepLogs bool
	command := &cobra.Command{
		Use:           "ironhollow-soak",
		Short:         "Run processes under random faults and check their guarantees",
		SilenceUsage:  true,
		SilenceErrors: true,
		Args:          cobra.NoArgs,
		RunE: func(command *cobra.Command, _ []string) error {
			ctx, stop := signal.NotifyContext(command.Context(), os.Interrupt)
			defer stop()
			return runSeeds(ctx, o, firstSeed, seeds, keepLogs, command.OutOrStdout())
		},
	}
	flags := command.Flags()
	flags.StringVar(&o.Program, "program", "bin/ironhollow-node", "path of ironhollow-node")
	flags.StringVar(&o.OtherProgram, "other-program", "", "path of another release of ironhollow-node, which every other host runs")
	flags.Uint64Var(&firstSeed, "seed", uint64(time.Now().Unix()), "first seed; the current time if omitted")
	flags.IntVar(&seeds, "seeds", 1, "number of seeds to run one after the other")
	flags.DurationVar(&o.Length, "length", 15*time.Second, "how long faults are injected for each seed")
	flags.IntVar(&o.Nodes, "nodes", 4, "number of host processes")
	flags.IntVar(&o.Callers, "callers", 12, "number of callers")
	flags.StringVar(&o.Folder, "folder", os.TempDir(), "folder for the logs of failed seeds")
	flags.BoolVar(&keepLogs, "keep", false, "keep the logs of all seeds")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return process.ExitFailure
	}
	return process.ExitOK
}

// runSeeds runs the seeds and prints the result of each.
func runSeeds(ctx context.Context, o soak.Options, firstSeed uint64, seeds int, keepLogs bool, out io.Writer) error {
	failed := 0
	for seed := firstSeed; seed < firstSeed+uint64(seeds) && ctx.Err() == nil; seed++ {
		broken, err := runSeed(ctx, o, seed, keepLogs, out)
		if err != nil {
			return err
		}
		if broken {
			failed++
		}
	}
	if failed > 0 {
		return fmt.Errorf("%d of %d seeds violated a guarantee", failed, seeds)
	}
	return ctx.Err()
}

func runSeed(ctx context.Context, o soak.Options, seed uint64, keepLogs bool, out io.Writer) (broken bool, err error) {
	folder, err := os.MkdirTemp(o.Folder, fmt.Sprintf("soak-%d-", seed))
	if err != nil {
		return false, err
	}
	faults, err := os.Create(filepath.Join(folder, "faults.log"))
	if err != nil {
		return false, err
	}
	defer func() { _ = faults.Close() }()
	o.Folder, o.Seed, o.Log = folder, seed, faults
	outcome, err := soak.Run(ctx, o)
	if err != nil {
		return false, fmt.Errorf("seed %d: %w (logs in %s)", seed, err, folder)
	}
	_, err = fmt.Fprintf(out, "seed %d: %d served, %d failed, %d windows reported, %d violations\n", seed, outcome.Served, outcome.Failed, outcome.ReportedWindows, len(outcome.Violations))
	for _, violation := range outcome.Violations {
		_, _ = fmt.Fprintln(out, "  ", violation)
	}
	if len(outcome.Violations) > 0 || keepLogs {
		_, _ = fmt.Fprintln(out, "   logs in", folder)
		return len(outcome.Violations) > 0, err
	}
	return false, os.RemoveAll(folder)
}
