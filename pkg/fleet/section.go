package fleet

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"

	"ironhollow/pkg/fleet/fleetschema"
	"ironhollow/pkg/settings"
	"ironhollow/schema"
)

// Section is one section of a configuration in its stored form.
type Section struct {
	kind, name string
	// body is empty where a change removes the section.
	body string
}

// NewSection returns a section; an empty body stands for its removal.
func NewSection(kind, name, body string) Section { return Section{kind, name, body} }

// Kind returns service, team, capacity or policy.
func (s Section) Kind() string { return s.kind }

// Name returns the section's name, empty for policy.
func (s Section) Name() string { return s.name }

// Body returns the section as JSON, empty if removed.
func (s Section) Body() string { return s.body }

// IsRemoval reports whether this is the removal of a section.
func (s Section) IsRemoval() bool { return s.body == "" }

// ID returns kind and name in one.
func (s Section) ID() string { return s.kind + "/" + s.name }

// The kinds of section.
const (
	kindService  = "service"
	kindTeam     = "team"
	kindCapacity = "capacity"
	kindPolicy   = "policy"
)

// Parse reads a configuration file and checks it as a whole. All errors are
// returned at once, as settings.Problems or as one line for each clash.
func Parse(file string, data []byte) ([]Section, error) {
	shape, err := settings.ParseSchema(schema.Fleet)
	if err != nil {
		return nil, err
	}
	var decoded fleetschema.Fleet
	if err := shape.Read(file, data, &decoded); err != nil {
		return nil, err
	}
	sections := split(decoded)
	if _, err := Build(1, sections); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return sections, nil
}

func split(f fleetschema.Fleet) []Section {
	var sections []Section
	for _, s := range f.Service {
		sections = append(sections, encode(kindService, s.Name, s))
	}
	for _, t := range f.Team {
		sections = append(sections, encode(kindTeam, t.Name, t))
	}
	for _, c := range f.Capacity {
		sections = append(sections, encode(kindCapacity, c.Name, c))
	}
	if f.Policy != nil {
		sections = append(sections, encode(kindPolicy, "", *f.Policy))
	}
	Sort(sections)
	return sections
}

func encode(kind, name string, value any) Section {
	body, err := json.Marshal(value)
	if err != nil {
		// The generated structs hold nothing that JSON can't.
		panic(err)
	}
	return Section{kind, name, string(body)}
}

// Sort puts sections in the order of kind and name.
func Sort(sections []Section) {
	sort.Slice(sections, func(i, j int) bool { return sections[i].ID() < sections[j].ID() })
}

// Diff returns what must change to go from old to next, removals included.
func Diff(old, next []Section) []Section {
	before := map[string]Section{}
	for _, s := range old {
		before[s.ID()] = s
	}
	var changed []Section
	for _, s := range next {
		if before[s.ID()].body != s.body {
			changed = append(changed, s)
		}
		delete(before, s.ID())
	}
	for _, s := range before {
		changed = append(changed, Section{s.kind, s.name, ""})
	}
	Sort(changed)
	return changed
}

// Build makes the configuration of a revision out of all its sections. The
// error lists every clash between sections.
func Build(revision int64, sections []Section) (*Config, error) {
	b := builder{config: &Config{
		revision:  revision,
		services:  map[string]Service{},
		teams:     map[string]Team{},
		teamByKey: map[[32]byte]string{},
		policy:    defaultPolicy(),
	}}
	for _, s := range sections {
		b.add(s)
	}
	b.checkTeams()
	if len(b.faults) > 0 {
		sort.Strings(b.faults)
		return nil, fmt.Errorf("%s", strings.Join(b.faults, "\n"))
	}
	caps := b.config.capacities
	sort.Slice(caps, func(i, j int) bool { return caps[i].name < caps[j].name })
	return b.config, nil
}

type builder struct {
	config *Config
	faults []string
}

func (b *builder) fault(format string, args ...any) {
	b.faults = append(b.faults, fmt.Sprintf(format, args...))
}

func (b *builder) add(s Section) {
	var err error
	switch s.kind {
	case kindService:
		err = b.addService(s)
	case kindTeam:
		err = b.addTeam(s)
	case kindCapacity:
		err = b.addCapacity(s)
	case kindPolicy:
		err = b.addPolicy(s)
	default:
		b.fault("[%s %s]: unknown kind of section", s.kind, s.name)
	}
	if err != nil {
		b.fault("[%s %s]: %v", s.kind, s.name, err)
	}
}

func (b *builder) checkTeams() {
	for _, t := range b.config.teams {
		for service := range t.services {
			if _, ok := b.config.services[service]; !ok {
				b.fault("[team %s]: services: no service is named %q", t.name, service)
			}
		}
	}
}
