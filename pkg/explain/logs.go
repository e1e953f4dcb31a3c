package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Line is one structured log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	fields  map[string]any
}

// Text returns a field as text, empty if it is not there.
func (l Line) Text(name string) string {
	switch v := l.fields[name].(type) {
	case string:
		return v
	case float64:
		return strconv.FormatFloat(v, 'f', -1, 64)
	case bool:
		return strconv.FormatBool(v)
	default:
		return ""
	}
}

// millis returns a field that holds milliseconds.
func (l Line) millis(name string) time.Duration {
	v, _ := l.fields[name].(float64)
	return time.Duration(v * float64(time.Millisecond))
}

// mostLine bounds a log line.
const mostLine = 1 << 20

// ReadLogs reads the structured lines of a log; what stands before a line's
// brace, and lines without one, are left out.
func ReadLogs(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, mostLine)
	var lines []Line
	for scanner.Scan() {
		_, text, ok := bytes.Cut(scanner.Bytes(), []byte("{"))
		if !ok {
			continue
		}
		var fields map[string]any
		if json.Unmarshal(append([]byte("{"), text...), &fields) != nil {
			continue
		}
		l := Line{fields: fields}
		l.Node = l.Text("node")
		l.Message = l.Text("message")
		at, err := time.Parse(time.RFC3339Nano, l.Text("time"))
		if err != nil {
			continue
		}
		l.Time = at
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// Step is one step of a request's way.
type Step struct {
	Time time.Time
	Node string
	Text string
}

// Timeline tells a request's way over all hosts from their logs: what each host
// believed when it took the request, each send, and the end. It is empty where
// no line names the request.
func Timeline(lines []Line, request string) []Step {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	var steps []Step
	for i, l := range lines {
		if l.Message == "request" && l.Text("request") == request {
			steps = append(steps, wayOf(lines[:i], l)...)
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].Time.Before(steps[j].Time) })
	return steps
}

// wayOf tells one host's part. before is all earlier lines.
func wayOf(before []Line, l Line) []Step {
	begun := l.Time.Add(-l.millis("took"))
	var steps []Step
	add := func(at time.Time, format string, args ...any) {
		steps = append(steps, Step{at, l.Node, fmt.Sprintf(format, args...)})
	}
	add(begun, "taken: team %s, route %s, service %s, configuration %s", l.Text("team"), l.Text("route"), l.Text("service"), l.Text("config"))
	for _, belief := range beliefs(before, l) {
		add(belief.Time, "believed since then: %s", describe(belief))
	}
	sent := begun
	for i := 1; l.Text(hopField(i, "")) != ""; i++ {
		took := l.millis(hopField(i, "-took"))
		add(sent, "sent to %s (row %s): expected %s ms, %s ms behind others, %s tokens cached", l.Text(hopField(i, "")), l.Text(hopField(i, "-row")),
			l.Text(hopField(i, "-expected")), l.Text(hopField(i, "-queued")), l.Text(hopField(i, "-cached")))
		sent = sent.Add(took)
		add(sent, "%s after %v: %s", l.Text(hopField(i, "")), took, l.Text(hopField(i, "-end")))
	}
	end := "ended: " + l.Text("outcome")
	if status := l.Text("status"); status != "" {
		end += " with " + status
	}
	if why := l.Text("why"); why != "" {
		end += ", " + why
	}
	if notes, ok := l.fields["notes"].([]any); ok && len(notes) > 0 {
		end += fmt.Sprintf(" %v", notes)
	}
	add(l.Time, "%s, %s bytes passed on", end, l.Text("bytes"))
	return steps
}

func hopField(i int, suffix string) string { return "hop" + strconv.Itoa(i) + suffix }

// beliefs are the latest lines on what decided: the configuration, the endpoints
// asked, dependencies that are lost, and whether the host stops.
func beliefs(before []Line, l Line) []Line {
	hops := map[string]bool{}
	for i := 1; l.Text(hopField(i, "")) != ""; i++ {
		hops[l.Text(hopField(i, ""))] = true
	}
	latest := map[string]Line{}
	for _, b := range before {
		if b.Node != l.Node {
			continue
		}
		switch b.Message {
		case "configuration in force", "stopping", "lease of the duties", "part in the fleet":
			latest[b.Message] = b
		case "endpoint", "endpoint gone", "endpoint's row lapsed while the store was away":
			if hops[b.Text("endpoint")] {
				latest["endpoint "+b.Text("endpoint")] = b
			}
		case "store lost":
			latest["store "+b.Text("feed")] = b
		case "store back":
			delete(latest, "store "+b.Text("feed"))
		case "start":
			clear(latest)
		}
	}
	list := make([]Line, 0, len(latest))
	for _, b := range latest {
		list = append(list, b)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

func describe(l Line) string {
	var parts []string
	for _, name := range []string{"endpoint", "state", "dc", "why", "feed", "error", "version", "held", "row"} {
		if text := l.Text(name); text != "" {
			parts = append(parts, name+" "+text)
		}
	}
	return l.Message + " (" + strings.Join(parts, ", ") + ")"
}
