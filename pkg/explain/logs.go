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

// Line is a structured log line.
type Line struct {
	Time    time.Time
	Node    string
	Message string
	fields  map[string]any
}

// Text returns a field as text, or "" if the line does not have it.
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

// millis returns the value of a field in milliseconds.
func (l Line) millis(name string) time.Duration {
	v, _ := l.fields[name].(float64)
	return time.Duration(v * float64(time.Millisecond))
}

// maxLineBytes bounds the length of a log line.
const maxLineBytes = 1 << 20

// ReadLogs reads the structured lines of a log. It ignores any text before the first brace of a
// line, and lines without a brace.
func ReadLogs(r io.Reader) ([]Line, error) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
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

// Step is a step in the handling of a request.
type Step struct {
	At   time.Time
	Node string
	Text string
}

// Timeline reconstructs from the logs of all hosts how a request was handled: the state that each
// host knew when it accepted the request, each attempt, and the outcome. It is empty if no line
// names the request.
func Timeline(lines []Line, request string) []Step {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time.Before(lines[j].Time) })
	var steps []Step
	for i, l := range lines {
		if l.Message == "request" && l.Text("request") == request {
			steps = append(steps, hostSteps(lines[:i], l)...)
		}
	}
	sort.SliceStable(steps, func(i, j int) bool { return steps[i].At.Before(steps[j].At) })
	return steps
}

// hostSteps returns the steps of one host, whose line about the request is l; earlier are all
// lines before it.
func hostSteps(earlier []Line, l Line) []Step {
	startedAt := l.Time.Add(-l.millis("took"))
	var steps []Step
	add := func(at time.Time, format string, args ...any) {
		steps = append(steps, Step{at, l.Node, fmt.Sprintf(format, args...)})
	}
	add(startedAt, "taken: team %s, route %s, service %s, configuration %s%s", l.Text("team"), l.Text("route"), l.Text("service"), l.Text("config"), withLabel(", prompt parts ", l.Text("parts")))
	if resumes := l.Text("resumes"); resumes != "" {
		add(startedAt, "%s", describeTakeUp(resumes, l))
	}
	for _, state := range stateLines(earlier, l) {
		add(state.Time, "believed since then: %s", describe(state))
	}
	if l.Text("quarantine-fingerprint") != "" {
		add(l.Time, "%s", describeQuarantine(l))
	}
	if l.Text("quarantine-trial") != "" {
		add(startedAt, "admitted to find out whether endpoints still crash under it")
	}
	sentAt := startedAt
	for i := 1; l.Text(hopField(i, "")) != ""; i++ {
		took := l.millis(hopField(i, "-took"))
		release := ""
		if name := l.Text(hopField(i, "-release")); name != "" {
			release = ", release " + name
		}
		add(sentAt, "sent to %s (row %s%s): expected %s ms, %s ms behind others, %s tokens cached", l.Text(hopField(i, "")), l.Text(hopField(i, "-row")), release,
			l.Text(hopField(i, "-expected")), l.Text(hopField(i, "-queued")), l.Text(hopField(i, "-cached")))
		sentAt = sentAt.Add(took)
		add(sentAt, "%s after %v: %s", l.Text(hopField(i, "")), took, l.Text(hopField(i, "-end")))
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

// describeQuarantine describes why the request was rejected as quarantined.
func describeQuarantine(l Line) string {
	what := "the request itself"
	if part := l.Text("quarantine-part"); part != "" {
		what = "prompt part " + part
	}
	return fmt.Sprintf("quarantined for %s (%s): endpoints %s crashed under it, the first of them at %s; %s trials", what,
		l.Text("quarantine-fingerprint"), l.Text("quarantine-endpoints"), l.Text("quarantine-since"), l.Text("quarantine-trials"))
}

// describeTakeUp describes a stream that the request takes up.
func describeTakeUp(resumes string, l Line) string {
	text := fmt.Sprintf("takes up the stream of %s after event %s: origin %s", resumes, l.Text("after-event"), l.Text("origin"))
	if release := l.Text("origin-release"); release != "" {
		text += ", service " + l.Text("origin-service") + ", release " + release
	}
	if from := l.Text("origin-from"); from != "" {
		text += ", from " + from
	}
	return text + fmt.Sprintf(", recorded %v before, %s hosts asked", l.millis("origin-age"), l.Text("origin-asked"))
}

func hopField(i int, suffix string) string { return "hop" + strconv.Itoa(i) + suffix }

// stateLines returns the latest lines about the state that decided how the request was handled:
// the configuration, the endpoints it was sent to, dependencies that were lost, and whether the
// host was stopping.
func stateLines(earlier []Line, l Line) []Line {
	endpoints := map[string]bool{}
	for i := 1; l.Text(hopField(i, "")) != ""; i++ {
		endpoints[l.Text(hopField(i, ""))] = true
	}
	latest := map[string]Line{}
	for _, line := range earlier {
		if line.Node != l.Node {
			continue
		}
		switch line.Message {
		case "configuration in force", "stopping", "lease of the duties", "part in the fleet":
			latest[line.Message] = line
		case "endpoint", "endpoint gone", "endpoint's row lapsed while the store was away":
			if endpoints[line.Text("endpoint")] {
				latest["endpoint "+line.Text("endpoint")] = line
			}
		case "endpoint ended under requests":
			if endpoints[line.Text("endpoint")] {
				latest["crash of "+line.Text("endpoint")] = line
			}
		case "request held back: endpoints ended under it":
			if line.Text("fingerprint") == l.Text("quarantine-fingerprint") {
				latest[line.Message] = line
			}
		case "store lost":
			latest["store "+line.Text("feed")] = line
		case "store back":
			delete(latest, "store "+line.Text("feed"))
		case "start":
			clear(latest)
		}
	}
	list := make([]Line, 0, len(latest))
	for _, line := range latest {
		list = append(list, line)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Time.Before(list[j].Time) })
	return list
}

// withLabel returns a text after its label, or "" if the text is empty.
func withLabel(label, text string) string {
	if text == "" {
		return ""
	}
	return label + text
}

func describe(l Line) string {
	var parts []string
	for _, name := range []string{"endpoint", "state", "dc", "why", "feed", "error", "version", "held", "row", "requests", "unanswered", "parts", "shown-by", "part", "endpoints", "since", "from"} {
		if text := l.Text(name); text != "" {
			parts = append(parts, name+" "+text)
		}
	}
	return l.Message + " (" + strings.Join(parts, ", ") + ")"
}
