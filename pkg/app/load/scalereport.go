package load

import (
	"bufio"
	"encoding/json"
	"fmt"
	"image/color"
	"math"
	"os"
	"path/filepath"
	"strings"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"ironhollow/pkg/measure"
)

// plannedNodes is the fleet size that the system is designed for.
const plannedNodes = 420

// metric is one row of the table, with a plot of its own.
type metric struct {
	name, unit, fileName string
	value                func(scalePoint) float64
	// budget is the limit at plannedNodes, 0 for none.
	budget float64
}

var scaleMetrics = []metric{
	{"entry, processor", "% of a core", "entry-cpu", func(p scalePoint) float64 { return p.EntryCPUPercent }, 0},
	{"control, processor", "% of a core", "control-cpu", func(p scalePoint) float64 { return p.ControlCPUPercent }, 0},
	{"both, processor", "% of a core", "both-cpu", func(p scalePoint) float64 { return p.EntryCPUPercent + p.ControlCPUPercent }, 4.4},
	{"entry, memory", "MB", "entry-memory", func(p scalePoint) float64 { return p.EntryMemoryMB }, 0},
	{"control, memory", "MB", "control-memory", func(p scalePoint) float64 { return p.ControlMemoryMB }, 0},
	{"both, memory", "MB", "both-memory", func(p scalePoint) float64 { return p.EntryMemoryMB + p.ControlMemoryMB }, 256},
	{"all control traffic of a node", "bytes/s", "wire", func(p scalePoint) float64 { return p.WireBytesPerNode }, 5000},
	{"messages between own processes, of a node", "bytes/s of CBOR", "peer-bytes", func(p scalePoint) float64 { return p.PeerBytesPerNode }, 0},
	{"messages between own processes, of a node", "1/s", "peer-messages", func(p scalePoint) float64 { return p.PeerMessagesPerNode }, 0},
	{"table service, commits of the fleet", "1/s", "commits", func(p scalePoint) float64 { return p.StoreCommits }, 0},
	{"table service, reads of the fleet", "1/s", "reads", func(p scalePoint) float64 { return p.StoreReads }, 0},
	{"a leaving endpoint known to all", "s", "leaving", func(p scalePoint) float64 { return p.LeavingPropagation }, 2},
	{"a revision in force everywhere", "s", "revision", func(p scalePoint) float64 { return p.RevisionPropagation }, 10},
	{"shards taken over after a kill", "s", "take-over", func(p scalePoint) float64 { return p.ShardTakeover }, 10},
	{"nodes wrongly declared dead", "count", "wrongly-dead", func(p scalePoint) float64 { return float64(p.FalselyDeclaredDead) }, 0},
}

func scaleReportCommand() *cobra.Command {
	var in, out string
	command := &cobra.Command{
		Use:   "scale-report",
		Short: "Work out slopes, a table and plots from the lines of scale",
		RunE: func(*cobra.Command, []string) error {
			points, err := readPoints(in)
			if err != nil {
				return err
			}
			if err := os.WriteFile(filepath.Join(out, "scale.md"), []byte(scaleTable(points)), 0o644); err != nil {
				return err
			}
			for _, m := range scaleMetrics {
				if err := plotMetric(m, points, filepath.Join(out, "scale-"+m.fileName+".svg")); err != nil {
					return err
				}
			}
			return nil
		},
	}
	command.Flags().StringVar(&in, "in", "", "file of lines")
	command.Flags().StringVar(&out, "out", "", "directory for the report")
	return command
}

func readPoints(path string) ([]scalePoint, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	var points []scalePoint
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		var p scalePoint
		if err := json.Unmarshal(lines.Bytes(), &p); err != nil {
			return nil, err
		}
		points = append(points, p)
	}
	return points, lines.Err()
}

func series(m metric, points []scalePoint) (xs, ys []float64) {
	for _, p := range points {
		xs = append(xs, float64(p.Nodes))
		ys = append(ys, m.value(p))
	}
	return xs, ys
}

func scaleTable(points []scalePoint) string {
	var b strings.Builder
	b.WriteString("# Fleets of growing size, measured\n\nMade by `make bench-scale`. One machine, plain processes on the loopback with TLS between them; no\n" +
		"callers. The slope is for one more node, with the half width of its 95% interval; the value at\n" +
		fmt.Sprintf("%d nodes is worked out from the line, not measured.\n\n", plannedNodes))
	b.WriteString("| figure | unit |")
	for _, p := range points {
		fmt.Fprintf(&b, " %d nodes, %d endpoints |", p.Nodes, p.Endpoints)
	}
	fmt.Fprintf(&b, " slope a node | at %d (worked out) | budget |\n|---|---|%s---|---|---|\n", plannedNodes, strings.Repeat("---|", len(points)))
	for _, m := range scaleMetrics {
		fmt.Fprintf(&b, "| %s | %s |", m.name, m.unit)
		for _, p := range points {
			fmt.Fprintf(&b, " %s |", formatNumber(m.value(p)))
		}
		line := measure.Fit(series(m, points))
		budget := ""
		if m.budget > 0 {
			budget = formatNumber(m.budget)
		}
		fmt.Fprintf(&b, " %s ± %s | %s | %s |\n", formatNumber(line.Slope), formatNumber(line.SlopeError), formatNumber(line.At(plannedNodes)), budget)
	}
	return b.String()
}

// formatNumber formats a value with about three significant digits, or "?" for NaN.
func formatNumber(v float64) string {
	switch {
	case math.IsNaN(v):
		return "?"
	case v != 0 && math.Abs(v) < 0.01:
		return fmt.Sprintf("%.1e", v)
	case math.Abs(v) >= 1000:
		return fmt.Sprintf("%.0f", v)
	}
	return fmt.Sprintf("%.3g", v)
}

func plotMetric(m metric, points []scalePoint, path string) error {
	p := plot.New()
	p.Title.Text = m.name
	p.X.Label.Text = "nodes"
	p.Y.Label.Text = m.unit
	p.Y.Min = 0
	xs, ys := series(m, points)
	measured := make(plotter.XYs, len(xs))
	for i := range xs {
		measured[i].X, measured[i].Y = xs[i], ys[i]
	}
	dots, err := plotter.NewScatter(measured)
	if err != nil {
		return err
	}
	if len(points) < 2 {
		return nil // A line fit needs two points.
	}
	line := measure.Fit(xs, ys)
	fitted, err := plotter.NewLine(plotter.XYs{{X: 0, Y: line.At(0)}, {X: plannedNodes, Y: line.At(plannedNodes)}})
	if err != nil {
		return err
	}
	fitted.Color = color.Gray{128}
	p.Add(dots, fitted, plotter.NewGrid())
	if m.budget > 0 {
		budget, err := plotter.NewLine(plotter.XYs{{X: 0, Y: m.budget}, {X: plannedNodes, Y: m.budget}})
		if err != nil {
			return err
		}
		budget.Color = color.RGBA{R: 200, A: 255}
		p.Add(budget)
		p.Legend.Add("budget", budget)
	}
	p.Legend.Add("measured", dots)
	p.Legend.Add("fitted", fitted)
	return p.Save(14*vg.Centimeter, 9*vg.Centimeter, path)
}
