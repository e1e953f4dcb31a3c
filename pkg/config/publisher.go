package config

import (
	"context"
	"encoding/json"
	"fmt"

	"ironhollow/pkg/code"
	"ironhollow/pkg/fleet"
	"ironhollow/pkg/table"
)

// Keys of the configuration in the table service.
const (
	headKey       = "config/head"
	changePrefix  = "config/change/"
	sectionPrefix = "config/section/"
)

// listPage is how many rows one read of the store asks for.
const listPage = 500

func changeKey(revision int64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }

// storedSection, storedChange and storedHead are the rows' JSON.
type storedSection struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Body     string `json:"body"`
	Revision int64  `json:"revision"`
}

type storedChange struct {
	Revision int64 `json:"revision"`
	// Request is the operator's own name for the apply.
	Request  string          `json:"request"`
	Sections []storedSection `json:"sections"`
}

type storedHead struct {
	Revision int64 `json:"revision"`
}

// Store reads and writes the configuration in the table service.
type Store struct {
	writer *table.Writer
}

// NewStore returns the configuration's part of the table service.
func NewStore(writer *table.Writer) *Store { return &Store{writer: writer} }

// Head returns the latest revision in the store, 0 for none.
func (s *Store) Head(ctx context.Context) (int64, error) {
	revision, _, err := s.head(ctx)
	return revision, err
}

func (s *Store) head(ctx context.Context) (int64, int64, error) {
	row, ok, err := s.writer.Store().Get(ctx, headKey)
	if err != nil || !ok {
		return 0, 0, err
	}
	var head storedHead
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return 0, 0, fmt.Errorf("config: head: %w", err)
	}
	return head.Revision, row.Version, nil
}

// Changes returns the changes after a revision, oldest first, a page at most.
func (s *Store) Changes(ctx context.Context, after int64) ([]Change, error) {
	rows, err := s.writer.Store().List(ctx, changePrefix, changeKey(after), listPage)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		stored, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Change{Revision: stored.Revision, Sections: domainSections(stored.Sections)})
	}
	return changes, nil
}

// Load brings a holder to the store's latest revision. A holder with nothing
// reads all sections, then the changes since it began: the listing may catch
// sections of a later revision, and the changes put that right.
func (s *Store) Load(ctx context.Context, h *Holder) error {
	head, err := s.Head(ctx)
	if err != nil {
		return err
	}
	if h.Current().Revision() == 0 && head > 0 {
		if err := s.loadWhole(ctx, h); err != nil {
			return err
		}
	}
	for h.Current().Revision() < head {
		changes, err := s.Changes(ctx, h.Current().Revision())
		if err != nil {
			return err
		}
		if len(changes) == 0 {
			return fmt.Errorf("config: the store's head is %d but changes end at %d", head, h.Current().Revision())
		}
		for _, c := range changes {
			if _, err := h.Apply(c); err != nil {
				return err
			}
		}
	}
	return nil
}

// loadWhole reads every section between two equal reads of the head.
func (s *Store) loadWhole(ctx context.Context, h *Holder) error {
	for {
		before, err := s.Head(ctx)
		if err != nil {
			return err
		}
		sections, err := s.sections(ctx)
		if err != nil {
			return err
		}
		after, err := s.Head(ctx)
		if err != nil {
			return err
		}
		if before == after {
			_, err := h.Apply(Change{Revision: after, Snapshot: true, Sections: sections})
			return err
		}
	}
}

func (s *Store) sections(ctx context.Context) ([]fleet.Section, error) {
	var all []storedSection
	last := ""
	for {
		rows, err := s.writer.Store().List(ctx, sectionPrefix, last, listPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var stored storedSection
			if err := json.Unmarshal(row.Value, &stored); err != nil {
				return nil, fmt.Errorf("config: %s: %w", row.Key, err)
			}
			all = append(all, stored)
			last = row.Key
		}
		if len(rows) < listPage {
			return domainSections(all), nil
		}
	}
}

// Publish writes the sections as the revision after seen. It is done at most
// once for one request name: a repeated request finds its own change and gets
// that revision again. Errors carry RevisionConflict, ApplyUnknown or StoreDown.
func (s *Store) Publish(ctx context.Context, seen int64, request string, next []fleet.Section) (int64, error) {
	if _, err := fleet.Build(seen+1, next); err != nil {
		return 0, code.New(code.BadConfig, err.Error())
	}
	head, version, err := s.head(ctx)
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	if head != seen {
		return s.settleRace(ctx, seen, head, request)
	}
	old, err := s.sections(ctx)
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	changed := fleet.Diff(old, next)
	if len(changed) == 0 && head > 0 {
		return head, nil
	}
	revision := seen + 1
	switch outcome := s.writer.Commit(ctx, revisionWrites(revision, version, request, changed)...).(type) {
	case table.Committed:
		return revision, nil
	case table.Refused:
		if len(outcome.Conflicts) == 0 {
			return 0, code.New(code.StoreDown, fmt.Sprint(outcome.Err))
		}
		return s.settleRace(ctx, seen, revision, request)
	case table.Unknown:
		return 0, code.New(code.ApplyUnknown, fmt.Sprintf("revision %d: %v", revision, outcome.Err))
	}
	panic("table: unknown outcome type")
}

// settleRace tells a lost race from a repeat of a request that won it before.
func (s *Store) settleRace(ctx context.Context, seen, head int64, request string) (int64, error) {
	row, ok, err := s.writer.Store().Get(ctx, changeKey(seen+1))
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	if ok {
		stored, err := decodeChange(row)
		if err != nil {
			return 0, err
		}
		if stored.Request == request {
			return stored.Revision, nil
		}
	}
	return 0, code.New(code.RevisionConflict, fmt.Sprintf("revision %d was seen, but %d is in force", seen, head))
}

// revisionWrites puts the change row first: its insert is what decides an
// unknown outcome, since change rows are never overwritten.
func revisionWrites(revision, headVersion int64, request string, changed []fleet.Section) []table.Write {
	stored := storedChange{Revision: revision, Request: request}
	writes := []table.Write{{Key: changeKey(revision), If: table.Absent{}}}
	var headIf table.Condition = table.AtVersion{Version: headVersion}
	if headVersion == 0 {
		headIf = table.Absent{}
	}
	writes = append(writes, table.Write{Key: headKey, Value: mustJSON(storedHead{revision}), If: headIf})
	for _, section := range changed {
		row := storedSection{section.Kind(), section.Name(), section.Body(), revision}
		stored.Sections = append(stored.Sections, row)
		writes = append(writes, table.Write{
			Key:    sectionPrefix + section.ID(),
			Value:  mustJSON(row),
			If:     table.Always{},
			Delete: section.Removed(),
		})
	}
	writes[0].Value = mustJSON(stored)
	return writes
}

func decodeChange(row table.Row) (storedChange, error) {
	var stored storedChange
	if err := json.Unmarshal(row.Value, &stored); err != nil {
		return stored, fmt.Errorf("config: %s: %w", row.Key, err)
	}
	return stored, nil
}

func domainSections(stored []storedSection) []fleet.Section {
	sections := make([]fleet.Section, len(stored))
	for i, s := range stored {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	return sections
}

func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // Plain structs of strings and numbers.
	}
	return encoded
}
