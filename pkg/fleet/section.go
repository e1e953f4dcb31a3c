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

// Section is a section of a configuration in its stored form.
type Section struct {
	kind, name string
	// body is JSON; it is empty in a change that removes the section.
	body string
}

// NewSection returns a section. An empty body represents the removal of the section.
func NewSection(kind, name, body string) Section { return Section{kind, name, body} }

// Kind returns "service", "team", "capacity" or "policy".
func (s Section) Kind() string { return s.kind }

// Name returns the name of the section, or "" for the policy.
func (s Section) Name() string { return s.name }

// Body returns the section as JSON, or "" if this is a removal.
func (s Section) Body() string { return s.body }

// IsRemoval reports whether this change removes the section.
func (s Section) IsRemoval() bool { return s.body == "" }

// ID returns "kind/name", which is unique within a configuration.
func (s Section) ID() string { return s.kind + "/" + s.name }

// Section kinds.
const (
	kindService  = "service"
	kindTeam     = "team"
	kindCapacity = "capacity"
	kindPolicy   = "policy"
)

// Parse parses a configuration file and validates it as a whole. All errors are returned at
// once: violations of the schema as settings.Problems or, if there are none, one line per invalid
// section or conflict between sections.
func Parse(file string, data []byte) ([]Section, error) {
	configSchema, err := settings.ParseSchema(schema.Fleet)
	if err != nil {
		return nil, err
	}
	var decoded fleetschema.Fleet
	if err := configSchema.Read(file, data, &decoded); err != nil {
		return nil, err
	}
	sections := toSections(decoded)
	if _, err := Build(1, sections); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return sections, nil
}

func toSections(f fleetschema.Fleet) []Section {
	var sections []Section
	for _, s := range f.Service {
		sections = append(sections, encodeSection(kindService, s.Name, s))
	}
	for _, t := range f.Team {
		sections = append(sections, encodeSection(kindTeam, t.Name, t))
	}
	for _, c := range f.Capacity {
		sections = append(sections, encodeSection(kindCapacity, c.Name, c))
	}
	if f.Policy != nil {
		sections = append(sections, encodeSection(kindPolicy, "", *f.Policy))
	}
	Sort(sections)
	return sections
}

func encodeSection(kind, name string, value any) Section {
	body, err := json.Marshal(value)
	if err != nil {
		// The generated structs contain only types that JSON can represent.
		panic(err)
	}
	return Section{kind, name, string(body)}
}

// Sort sorts sections by kind and name.
func Sort(sections []Section) {
	sort.Slice(sections, func(i, j int) bool { return sections[i].ID() < sections[j].ID() })
}

// Diff returns the changes that turn old into updated, including removals.
func Diff(old, updated []Section) []Section {
	oldByID := map[string]Section{}
	for _, s := range old {
		oldByID[s.ID()] = s
	}
	var changed []Section
	for _, s := range updated {
		if oldByID[s.ID()].body != s.body {
			changed = append(changed, s)
		}
		delete(oldByID, s.ID())
	}
	for _, s := range oldByID {
		changed = append(changed, Section{s.kind, s.name, ""})
	}
	Sort(changed)
	return changed
}

// Build builds the configuration of a revision from all its sections. The error lists every
// invalid section and every conflict between sections.
func Build(revision int64, sections []Section) (*Config, error) {
	b := builder{config: &Config{
		revision:  revision,
		services:  map[string]Service{},
		teams:     map[string]Team{},
		teamByKey: map[[32]byte]string{},
		policy:    defaultPolicy(),
	}}
	for _, s := range sections {
		b.addSection(s)
	}
	b.checkTeams()
	if len(b.problems) > 0 {
		sort.Strings(b.problems)
		return nil, fmt.Errorf("%s", strings.Join(b.problems, "\n"))
	}
	capacities := b.config.capacities
	sort.Slice(capacities, func(i, j int) bool { return capacities[i].name < capacities[j].name })
	return b.config, nil
}

type builder struct {
	config   *Config
	problems []string
}

func (b *builder) addProblem(format string, args ...any) {
	b.problems = append(b.problems, fmt.Sprintf(format, args...))
}

func (b *builder) addSection(s Section) {
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
		b.addProblem("[%s %s]: unknown kind of section", s.kind, s.name)
	}
	if err != nil {
		b.addProblem("[%s %s]: %v", s.kind, s.name, err)
	}
}

func (b *builder) checkTeams() {
	for _, t := range b.config.teams {
		for service := range t.services {
			if _, ok := b.config.services[service]; !ok {
				b.addProblem("[team %s]: services: no service is named %q", t.name, service)
			}
		}
	}
}
