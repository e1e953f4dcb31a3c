// Package measure takes figures of running processes and works out slopes.
package measure

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
)

// clockTicks is the kernel's unit of processor time a second (USER_HZ), which
// is 100 on every Linux that Go runs on.
const clockTicks = 100

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// ResidentBytes is in bytes.
	ResidentBytes int64
}

// ProcessUsage reads a process's usage.
func ProcessUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The name stands in brackets and may hold blanks.
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	const userField, systemField = 11, 12
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return Usage{}, err
	}
	pages, err := strconv.ParseInt(strings.Fields(string(statm))[1], 10, 64)
	if err != nil {
		return Usage{}, err
	}
	return Usage{time.Duration(user+system) * time.Second / clockTicks, pages * int64(os.Getpagesize())}, nil
}

// LoopbackBytes returns the bytes sent over the loopback so far, headers of
// all layers counted.
func LoopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, err
	}
	lines := bufio.NewScanner(bytes.NewReader(data))
	for lines.Scan() {
		name, rest, ok := strings.Cut(strings.TrimSpace(lines.Text()), ":")
		if ok && name == "lo" {
			const sentField = 8
			return strconv.ParseInt(strings.Fields(rest)[sentField], 10, 64)
		}
	}
	return 0, fmt.Errorf("measure: no loopback in /proc/net/dev")
}

// Counters reads a process's counters, summed over their labels.
func Counters(ctx context.Context, client *http.Client, admin string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/metrics", nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(response.Body)
	if err != nil {
		return nil, err
	}
	values := map[string]float64{}
	for name, family := range families {
		for _, m := range family.GetMetric() {
			if c := m.GetCounter(); c != nil {
				values[name] += c.GetValue()
			}
		}
	}
	return values, nil
}
