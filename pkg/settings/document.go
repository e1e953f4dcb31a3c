// Package settings reads INI files against a JSON schema: process settings and
// the fleet's configuration alike. All errors of a file are reported in one go,
// each with file, line, key and the valid range.
package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is one error in a file.
type Problem struct {
	file    string
	line    int
	key     string
	message string
}

// Line returns the line the problem is at, counted from 1.
func (p Problem) Line() int { return p.line }

// String gives the problem as file:line: key: message.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.key, p.message)
}

// Problems is a list of errors, itself an error.
type Problems []Problem

// Error gives one line for each problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// entry is one key of a section with the line it stands on.
type entry struct {
	key   string
	value string
	line  int
}

// section is one section in file order.
type section struct {
	// kind is the first word of the header, name the rest (may be empty).
	kind, name string
	line       int
	entries    []entry
}

// maxFile bounds the bytes read of a settings file.
const maxFile = 1 << 20

// parse splits a file into sections. The library reads the values; the lines
// and doubled keys, which it does not report, come from a scan of our own.
func parse(file string, data []byte) ([]section, Problems) {
	if len(data) > maxFile {
		return nil, Problems{{file, 1, "(file)", fmt.Sprintf("longer than %d bytes", maxFile)}}
	}
	loaded, err := ini.LoadSources(ini.LoadOptions{
		KeyValueDelimiters:        "=",
		IgnoreInlineComment:       true,
		IgnoreContinuation:        true,
		UnescapeValueDoubleQuotes: true,
		SkipUnrecognizableLines:   true,
		AllowNonUniqueSections:    true,
	}, data)
	if err != nil {
		return nil, Problems{{file, 1, "(file)", err.Error()}}
	}
	return scan(file, data, loaded)
}

func scan(file string, data []byte, loaded *ini.File) ([]section, Problems) {
	var sections []section
	var problems Problems
	seen := map[string]int{}
	header, open := "", (*ini.Section)(nil)
	places := map[string]int{}
	for i, raw := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(raw)
		number := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			header = strings.TrimSpace(line[1 : len(line)-1])
			if first, ok := seen["["+header]; ok {
				problems = append(problems, Problem{file, number, "[" + header + "]", fmt.Sprintf("section stands twice, first at line %d", first)})
			}
			seen["["+header] = number
			open = sectionAt(loaded, header, places[header])
			places[header]++
			kind, name, _ := strings.Cut(header, " ")
			sections = append(sections, section{kind: kind, name: strings.TrimSpace(name), line: number})
		default:
			key, _, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			switch {
			case !ok:
				problems = append(problems, Problem{file, number, line, "is no key = value"})
			case len(sections) == 0:
				problems = append(problems, Problem{file, number, key, "stands before any [section]"})
			default:
				id := fmt.Sprintf("%s\x00%d\x00%s", header, places[header], key)
				if first, doubled := seen[id]; doubled {
					problems = append(problems, Problem{file, number, key, fmt.Sprintf("key stands twice, first at line %d", first)})
					continue
				}
				seen[id] = number
				last := &sections[len(sections)-1]
				last.entries = append(last.entries, entry{key, open.Key(key).String(), number})
			}
		}
	}
	return sections, problems
}

// sectionAt returns the n-th section with a header, counted from 0.
func sectionAt(loaded *ini.File, header string, n int) *ini.Section {
	list, err := loaded.SectionsByName(header)
	if err != nil || n >= len(list) {
		return ini.Empty().Section("")
	}
	return list[n]
}
