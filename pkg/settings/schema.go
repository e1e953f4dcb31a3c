package settings

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"strconv"
	"strings"
	"time"
)

// Schema is a JSON schema for an INI file. Its properties are the sections, and the
// properties of those are the keys. A section of type array may occur several times
// in a file: each [kind name] becomes one element with that name.
type Schema struct {
	root property
}

// property is a property of a JSON schema, with the keywords used for INI files.
// x-min and x-max are extensions that limit durations.
type property struct {
	Type        string              `json:"type"`
	Format      string              `json:"format"`
	Description string              `json:"description"`
	Properties  map[string]property `json:"properties"`
	Items       *property           `json:"items"`
	Required    []string            `json:"required"`
	Enum        []string            `json:"enum"`
	Default     any                 `json:"default"`
	Minimum     *float64            `json:"minimum"`
	Maximum     *float64            `json:"maximum"`
	MinDuration string              `json:"x-min"`
	MaxDuration string              `json:"x-max"`
}

// ParseSchema parses a JSON schema.
func ParseSchema(data []byte) (Schema, error) {
	var root property
	if err := json.Unmarshal(data, &root); err != nil {
		return Schema{}, fmt.Errorf("schema: %w", err)
	}
	return Schema{root: root}, nil
}

// Read validates a file against the schema, fills in defaults and decodes the result
// into target, a pointer to the struct generated from the schema. The error is of
// type Problems if the file is invalid.
func (s Schema) Read(file string, data []byte, target any) error {
	sections, problems := parseDocument(file, data)
	if sections == nil && len(problems) > 0 {
		return problems
	}
	tree := map[string]any{}
	for _, sec := range sections {
		problems = append(problems, s.readSection(file, sec, tree)...)
	}
	problems = append(problems, s.fillMissingSections(file, tree)...)
	if len(problems) > 0 {
		sort.SliceStable(problems, func(i, j int) bool { return problems[i].line < problems[j].line })
		return problems
	}
	encoded, err := json.Marshal(tree)
	if err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := json.Unmarshal(encoded, target); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

func (s Schema) readSection(file string, sec section, tree map[string]any) Problems {
	sectionSchema, ok := s.root.Properties[sec.kind]
	if !ok {
		return Problems{{file, sec.line, "[" + sec.kind + "]", "unknown section; valid: " + strings.Join(sortedKeys(s.root.Properties), ", ")}}
	}
	repeated := sectionSchema.Type == "array"
	elementSchema := sectionSchema
	if repeated {
		elementSchema = *sectionSchema.Items
	}
	values, problems := readKeys(file, sec, elementSchema)
	switch {
	case repeated && sec.name == "":
		problems = append(problems, Problem{file, sec.line, "[" + sec.kind + "]", "needs a name: [" + sec.kind + " NAME]"})
	case repeated:
		values["name"] = sec.name
		list, _ := tree[sec.kind].([]any)
		tree[sec.kind] = append(list, values)
	case sec.name != "":
		problems = append(problems, Problem{file, sec.line, "[" + sec.kind + " " + sec.name + "]", "takes no name"})
	default:
		tree[sec.kind] = values
	}
	return problems
}

func readKeys(file string, sec section, sectionSchema property) (map[string]any, Problems) {
	var problems Problems
	values := map[string]any{}
	for _, e := range sec.entries {
		p, ok := sectionSchema.Properties[e.key]
		if !ok || e.key == "name" {
			problems = append(problems, Problem{file, e.line, e.key, "unknown key; valid: " + strings.Join(keysExcept(sectionSchema.Properties, "name"), ", ")})
			continue
		}
		value, message := p.parse(e.value)
		if message != "" {
			problems = append(problems, Problem{file, e.line, e.key, message})
			continue
		}
		values[e.key] = value
	}
	return values, append(problems, fillMissingKeys(file, sec.line, sec.kind, sectionSchema, sec.entries, values)...)
}

func fillMissingKeys(file string, line int, kind string, sectionSchema property, entries []entry, values map[string]any) Problems {
	var problems Problems
	for _, key := range sortedKeys(sectionSchema.Properties) {
		if _, ok := values[key]; ok {
			continue
		}
		p := sectionSchema.Properties[key]
		isGiven := slices.ContainsFunc(entries, func(e entry) bool { return e.key == key })
		switch {
		case p.Default != nil:
			values[key] = p.defaultValue()
		case key != "name" && slices.Contains(sectionSchema.Required, key) && !isGiven:
			problems = append(problems, Problem{file, line, key, "missing in [" + kind + "]; valid: " + p.validText()})
		}
	}
	return problems
}

// fillMissingSections adds the sections that are not in the file, with their
// defaults. It reports required keys of such sections at line 1.
func (s Schema) fillMissingSections(file string, tree map[string]any) Problems {
	var problems Problems
	for _, kind := range sortedKeys(s.root.Properties) {
		p := s.root.Properties[kind]
		if _, ok := tree[kind]; ok || p.Type == "array" {
			continue
		}
		values := map[string]any{}
		problems = append(problems, fillMissingKeys(file, 1, kind, p, nil, values)...)
		tree[kind] = values
	}
	return problems
}

// parse converts the text of one value. The message is empty if it is valid.
func (p property) parse(text string) (any, string) {
	invalid := "got " + strconv.Quote(text) + ", valid: " + p.validText()
	switch p.Type {
	case "integer":
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil || !p.inRange(float64(n)) {
			return nil, invalid
		}
		return n, ""
	case "number":
		f, err := strconv.ParseFloat(text, 64)
		if err != nil || !p.inRange(f) {
			return nil, invalid
		}
		return f, ""
	case "boolean":
		b, err := strconv.ParseBool(text)
		if err != nil {
			return nil, invalid
		}
		return b, ""
	case "array":
		return p.parseList(text)
	}
	if !p.validString(text) {
		return nil, invalid
	}
	return p.encode(text), ""
}

// encode converts a valid string to the JSON value that the generated structs
// expect. Durations are numbers of nanoseconds there.
func (p property) encode(text string) any {
	if p.Format != "duration" {
		return text
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		return text
	}
	return int64(d)
}

// defaultValue returns the default as the JSON value that the generated structs
// expect.
func (p property) defaultValue() any {
	text, ok := p.Default.(string)
	if !ok {
		return p.Default
	}
	return p.encode(text)
}

func (p property) parseList(text string) (any, string) {
	items := []any{}
	for _, part := range strings.Split(text, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		value, message := p.Items.parse(part)
		if message != "" {
			return nil, message
		}
		items = append(items, value)
	}
	return items, ""
}

func (p property) inRange(f float64) bool {
	if f != f { // NaN
		return false
	}
	return (p.Minimum == nil || f >= *p.Minimum) && (p.Maximum == nil || f <= *p.Maximum)
}

func (p property) validString(text string) bool {
	if len(p.Enum) > 0 {
		return slices.Contains(p.Enum, text)
	}
	switch p.Format {
	case "duration":
		d, err := time.ParseDuration(text)
		return err == nil && p.durationInRange(d)
	case "address":
		_, err := netip.ParseAddrPort(text)
		return err == nil
	case "sha256":
		return len(text) == 64 && strings.Trim(text, "0123456789abcdef") == ""
	case "word":
		return text != "" && len(text) <= 64 && strings.Trim(text, "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789-_.") == ""
	}
	return true
}

func (p property) durationInRange(d time.Duration) bool {
	minimum, err := time.ParseDuration(p.MinDuration)
	if err == nil && d < minimum {
		return false
	}
	maximum, err := time.ParseDuration(p.MaxDuration)
	return err != nil || d <= maximum
}

// validText describes the valid values in error messages and comments.
func (p property) validText() string {
	switch {
	case len(p.Enum) > 0:
		return strings.Join(p.Enum, " | ")
	case p.Type == "array":
		return "a list, by commas, of: " + p.Items.validText()
	case p.Type == "integer" || p.Type == "number":
		return p.Type + p.rangeText()
	case p.Format == "duration":
		return "a duration such as 250ms or 3s, " + p.MinDuration + " to " + p.MaxDuration
	case p.Format == "address":
		return "an IP number and port such as 127.0.0.1:7000"
	case p.Format == "sha256":
		return "64 hexadecimal digits (ironhollow keys hash)"
	case p.Format == "word":
		return "1 to 64 of a-z A-Z 0-9 - _ ."
	}
	return "a " + p.Type
}

func (p property) rangeText() string {
	switch {
	case p.Minimum != nil && p.Maximum != nil:
		return fmt.Sprintf(" from %v to %v", *p.Minimum, *p.Maximum)
	case p.Minimum != nil:
		return fmt.Sprintf(" of at least %v", *p.Minimum)
	}
	return ""
}

// Defaults returns a file with the description and default of every section and
// key. It is printed by --print-defaults and used to generate the settings page.
func (s Schema) Defaults() string {
	var b strings.Builder
	for _, kind := range sortedKeys(s.root.Properties) {
		p := s.root.Properties[kind]
		header := kind
		if p.Type == "array" {
			header = kind + " NAME"
			p = *p.Items
		}
		fmt.Fprintf(&b, "# %s\n[%s]\n", p.Description, header)
		for _, key := range keysExcept(p.Properties, "name") {
			k := p.Properties[key]
			fmt.Fprintf(&b, "# %s Valid: %s.\n", k.Description, k.validText())
			if k.Default == nil {
				fmt.Fprintf(&b, "# %s =\n", key)
				continue
			}
			fmt.Fprintf(&b, "%s = %s\n", key, defaultText(k.Default))
		}
		b.WriteString("\n")
	}
	return b.String()
}

func defaultText(value any) string {
	list, ok := value.([]any)
	if !ok {
		return fmt.Sprint(value)
	}
	parts := make([]string, len(list))
	for i, item := range list {
		parts[i] = fmt.Sprint(item)
	}
	return strings.Join(parts, ", ")
}

func sortedKeys(m map[string]property) []string { return keysExcept(m, "") }

func keysExcept(m map[string]property, except string) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		if key != except {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	return keys
}
