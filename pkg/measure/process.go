// Package measure reads the resource usage of running processes and computes statistics.
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

// clockTicksPerSecond is the kernel's unit of CPU time (USER_HZ), which is 100 on every Linux
// platform that Go supports.
const clockTicksPerSecond = 100

// Usage is the CPU time that a process has used so far and its resident memory.
type Usage struct {
	CPU time.Duration
	// ResidentBytes is the size of the resident set.
	ResidentBytes int64
}

// ProcessUsage reads the usage of a process from /proc.
func ProcessUsage(pid int) (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	// The name of the process is in parentheses and may contain blanks.
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
	return Usage{time.Duration(user+system) * time.Second / clockTicksPerSecond, pages * int64(os.Getpagesize())}, nil
}

// LoopbackBytes returns the number of bytes sent over the loopback interface so far, including the
// headers of all layers.
func LoopbackBytes() (int64, error) {
	data, err := os.ReadFile("/proc/net/dev")
	if err != nil {
		return 0, err
	}
	scanner := bufio.NewScanner(bytes.NewReader(data))
	for scanner.Scan() {
		name, rest, ok := strings.Cut(strings.TrimSpace(scanner.Text()), ":")
		if ok && name == "lo" {
			const sentField = 8
			return strconv.ParseInt(strings.Fields(rest)[sentField], 10, 64)
		}
	}
	return 0, fmt.Errorf("measure: no loopback interface in /proc/net/dev")
}

// Counters reads the counters of a process from its /metrics, each summed over its labels.
func Counters(ctx context.Context, client *http.Client, adminAddress string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+adminAddress+"/metrics", nil)
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
