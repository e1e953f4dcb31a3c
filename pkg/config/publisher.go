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

// listPageSize is the maximum number of rows per List call.
const listPageSize = 500

func changeKey(revision int64) string { return fmt.Sprintf("%s%012d", changePrefix, revision) }

// storedSection, storedChange and storedHead are the JSON values of the rows.
type storedSection struct {
	Kind     string `json:"kind"`
	Name     string `json:"name"`
	Body     string `json:"body"`
	Revision int64  `json:"revision"`
}

type storedChange struct {
	Revision int64 `json:"revision"`
	// RequestID is chosen by the operator's client and identifies the apply request.
	RequestID string          `json:"request"`
	Sections  []storedSection `json:"sections"`
}

type storedHead struct {
	Revision int64 `json:"revision"`
}

// Store reads and writes the configuration in the table service.
type Store struct {
	writer *table.Writer
}

// NewStore returns a Store that reads and writes through writer.
func NewStore(writer *table.Writer) *Store { return &Store{writer: writer} }

// Head returns the latest revision in the store, or 0 if there is none.
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

// Changes returns the changes after a revision, oldest first, at most listPageSize.
func (s *Store) Changes(ctx context.Context, after int64) ([]Change, error) {
	rows, err := s.writer.Store().List(ctx, changePrefix, changeKey(after), listPageSize)
	if err != nil {
		return nil, err
	}
	changes := make([]Change, 0, len(rows))
	for _, row := range rows {
		stored, err := decodeChange(row)
		if err != nil {
			return nil, err
		}
		changes = append(changes, Change{Revision: stored.Revision, Sections: toSections(stored.Sections)})
	}
	return changes, nil
}

// Load updates a holder to the store's latest revision. An empty holder first
// gets a snapshot of all sections; later revisions are applied as changes.
func (s *Store) Load(ctx context.Context, h *Holder) error {
	head, err := s.Head(ctx)
	if err != nil {
		return err
	}
	if h.Current().Revision() == 0 && head > 0 {
		if err := s.loadSnapshot(ctx, h); err != nil {
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

// loadSnapshot reads all sections and applies them as a snapshot. A listing may
// mix sections of several revisions, so it is repeated until the head is the same
// before and after.
func (s *Store) loadSnapshot(ctx context.Context, h *Holder) error {
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
		rows, err := s.writer.Store().List(ctx, sectionPrefix, last, listPageSize)
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
		if len(rows) < listPageSize {
			return toSections(all), nil
		}
	}
}

// Publish writes the sections as the revision after baseRevision. It takes effect
// at most once per requestID: a repeated request finds its own change and returns
// the same revision. If no section differs from the current ones, it writes nothing
// and returns the current revision. Errors have the code BadConfig, RevisionConflict,
// ApplyUnknown or StoreDown.
func (s *Store) Publish(ctx context.Context, baseRevision int64, requestID string, next []fleet.Section) (int64, error) {
	if _, err := fleet.Build(baseRevision+1, next); err != nil {
		return 0, code.New(code.BadConfig, err.Error())
	}
	head, headVersion, err := s.head(ctx)
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	if head != baseRevision {
		return s.resolveConflict(ctx, baseRevision, head, requestID)
	}
	old, err := s.sections(ctx)
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	changed := fleet.Diff(old, next)
	if len(changed) == 0 && head > 0 {
		return head, nil
	}
	revision := baseRevision + 1
	switch outcome := s.writer.Commit(ctx, revisionWrites(revision, headVersion, requestID, changed)...).(type) {
	case table.Committed:
		return revision, nil
	case table.Refused:
		if len(outcome.Conflicts) == 0 {
			return 0, code.New(code.StoreDown, fmt.Sprint(outcome.Err))
		}
		return s.resolveConflict(ctx, baseRevision, revision, requestID)
	case table.Unknown:
		return 0, code.New(code.ApplyUnknown, fmt.Sprintf("revision %d: %v", revision, outcome.Err))
	}
	panic("table: unknown outcome type")
}

// resolveConflict handles a base revision that is no longer the latest. It returns
// the next revision if an earlier attempt of the same request wrote it, and a
// RevisionConflict error otherwise. The error names the latest revision, or
// currentRevision, which is known to be in the store, if that can't be read.
func (s *Store) resolveConflict(ctx context.Context, baseRevision, currentRevision int64, requestID string) (int64, error) {
	row, ok, err := s.writer.Store().Get(ctx, changeKey(baseRevision+1))
	if err != nil {
		return 0, code.New(code.StoreDown, err.Error())
	}
	if ok {
		stored, err := decodeChange(row)
		if err != nil {
			return 0, err
		}
		if stored.RequestID == requestID {
			return stored.Revision, nil
		}
	}
	if head, err := s.Head(ctx); err == nil {
		currentRevision = max(currentRevision, head)
	}
	return 0, code.New(code.RevisionConflict, fmt.Sprintf("revision %d was seen, but %d is in force", baseRevision, currentRevision))
}

// revisionWrites returns the writes of one revision. The change row is first,
// because table.Writer resolves unknown outcomes by reading the first row and change
// rows are never overwritten.
func revisionWrites(revision, headVersion int64, requestID string, changed []fleet.Section) []table.Write {
	stored := storedChange{Revision: revision, RequestID: requestID}
	writes := []table.Write{{Key: changeKey(revision), If: table.Absent{}}}
	var headCondition table.Condition = table.AtVersion{Version: headVersion}
	if headVersion == 0 {
		headCondition = table.Absent{}
	}
	writes = append(writes, table.Write{Key: headKey, Value: mustJSON(storedHead{revision}), If: headCondition})
	for _, section := range changed {
		row := storedSection{section.Kind(), section.Name(), section.Body(), revision}
		stored.Sections = append(stored.Sections, row)
		writes = append(writes, table.Write{
			Key:    sectionPrefix + section.ID(),
			Value:  mustJSON(row),
			If:     table.Always{},
			Delete: section.IsRemoval(),
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

func toSections(stored []storedSection) []fleet.Section {
	sections := make([]fleet.Section, len(stored))
	for i, s := range stored {
		sections[i] = fleet.NewSection(s.Kind, s.Name, s.Body)
	}
	return sections
}

func mustJSON(value any) []byte {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(err) // Structs of strings and numbers can always be encoded.
	}
	return encoded
}
