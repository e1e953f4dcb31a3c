// Package settings reads INI files and validates them against a JSON schema. It is
// used for process settings and for the configuration of the fleet. All errors in a
// file are reported together, each with file, line, key and the valid values.
package settings

import (
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// Problem is an error at one line of a file.
type Problem struct {
	file    string
	line    int
	key     string
	message string
}

// Line returns the line number of the problem, counted from 1.
func (p Problem) Line() int { return p.line }

// String formats the problem as "file:line: key: message".
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", p.file, p.line, p.key, p.message)
}

// Problems is a list of problems that implements error.
type Problems []Problem

// Error returns one line per problem.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// entry is a key and value in a section, with its line number.
type entry struct {
	key   string
	value string
	line  int
}

// section is a section of a file with its entries in file order.
type section struct {
	// kind is the part of the header before the first space and name the rest, which may be empty.
	kind, name string
	line       int
	entries    []entry
}

// maxFileBytes is the maximum size of a file.
const maxFileBytes = 1 << 20

// parseDocument splits a file into sections. The ini library parses the values. It
// reports neither line numbers nor duplicate keys, so scanLines determines those.
func parseDocument(file string, data []byte) ([]section, Problems) {
	if len(data) > maxFileBytes {
		return nil, Problems{{file, 1, "(file)", fmt.Sprintf("longer than %d bytes", maxFileBytes)}}
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
	return scanLines(file, data, loaded)
}

func scanLines(file string, data []byte, loaded *ini.File) ([]section, Problems) {
	var sections []section
	var problems Problems
	seen := map[string]int{}
	header, current := "", (*ini.Section)(nil)
	occurrences := map[string]int{}
	for i, raw := range strings.Split(string(data), "\n") {
		line := strings.TrimSpace(raw)
		lineNumber := i + 1
		switch {
		case line == "" || line[0] == '#' || line[0] == ';':
		case line[0] == '[' && strings.HasSuffix(line, "]"):
			header = strings.TrimSpace(line[1 : len(line)-1])
			if firstLine, ok := seen["["+header]; ok {
				problems = append(problems, Problem{file, lineNumber, "[" + header + "]", fmt.Sprintf("section appears twice, first at line %d", firstLine)})
			} else {
				seen["["+header] = lineNumber
			}
			current = nthSection(loaded, header, occurrences[header])
			occurrences[header]++
			kind, name, _ := strings.Cut(header, " ")
			sections = append(sections, section{kind: kind, name: strings.TrimSpace(name), line: lineNumber})
		default:
			key, _, ok := strings.Cut(line, "=")
			key = strings.TrimSpace(key)
			switch {
			case !ok:
				problems = append(problems, Problem{file, lineNumber, line, "is no key = value"})
			case len(sections) == 0:
				problems = append(problems, Problem{file, lineNumber, key, "stands before any [section]"})
			default:
				id := fmt.Sprintf("%s\x00%d\x00%s", header, occurrences[header], key)
				if firstLine, duplicate := seen[id]; duplicate {
					problems = append(problems, Problem{file, lineNumber, key, fmt.Sprintf("key appears twice, first at line %d", firstLine)})
					continue
				}
				seen[id] = lineNumber
				last := &sections[len(sections)-1]
				last.entries = append(last.entries, entry{key, current.Key(key).String(), lineNumber})
			}
		}
	}
	return sections, problems
}

// nthSection returns the n-th section with the given header, counted from 0, or an
// empty section if there is none.
func nthSection(loaded *ini.File, header string, n int) *ini.Section {
	list, err := loaded.SectionsByName(header)
	if err != nil || n >= len(list) {
		return ini.Empty().Section("")
	}
	return list[n]
}
