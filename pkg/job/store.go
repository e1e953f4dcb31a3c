package job

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"ironhollow/pkg/code"
	"ironhollow/pkg/object"
	"ironhollow/pkg/table"
)

// Store stores jobs in the platform's table service and object store.
type Store struct {
	writer  *table.Writer
	objects object.Store
	batcher Committer
}

// Committer inserts the rows of one job. The first row is the job's own, with the condition
// Absent.
type Committer interface {
	Commit(ctx context.Context, rows []table.Write) table.Outcome
}

// NewStore returns a store that commits new jobs through batcher and other changes through
// writer.
func NewStore(writer *table.Writer, objects object.Store, batcher Committer) *Store {
	return &Store{writer: writer, objects: objects, batcher: batcher}
}

func bodyObjectKey(id string) string { return "job-body-" + id }

func resultObjectKey(id string, takeovers int) string {
	return fmt.Sprintf("job-result-%s-%d", id, takeovers)
}

func checkpointObjectKey(id string) string { return "job-checkpoint-" + id }

func (s *Store) reader() table.Store { return s.writer.Store() }

func storeDownError(err error) error { return code.New(code.StoreDown, err.Error()) }

func unknownJobError(id string) error { return code.New(code.UnknownJob, "no job "+id) }

func takenOverError(id string) error { return fmt.Errorf("job %s: %w", id, ErrTakenOver) }

func (s *Store) get(ctx context.Context, id string) (table.Row, bool, error) {
	return s.reader().Get(ctx, rowKey(id))
}

// ErrTakenOver means that the job has another owner, or has finished.
var ErrTakenOver = errors.New("taken over by another owner")

// Accept commits a job and returns the job in the store, which is an earlier one if the
// request's key was used before. created reports whether this call created it.
func (s *Store) Accept(ctx context.Context, j Job) (accepted Job, created bool, err error) {
	stored := toStored(j)
	if len(j.Body) > maxInlineBytes {
		if err := s.objects.Put(ctx, bodyObjectKey(j.ID), j.Body); err != nil {
			return Job{}, false, storeDownError(err)
		}
		stored.Body, stored.BodyObject = nil, true
	}
	rows := []table.Write{
		{Key: rowKey(j.ID), Value: encodeRow(stored), If: table.Absent{}},
		{Key: ownedKey(j.Owner, j.Deadline, j.ID), Value: []byte(j.ID), If: table.Always{}},
	}
	switch outcome := s.batcher.Commit(ctx, rows).(type) {
	case table.Committed:
		j.version = outcome.Version
		return j, true, nil
	case table.Unknown:
		return Job{}, false, code.New(code.AcceptUnknown, outcome.Err.Error())
	case table.Refused:
		if len(outcome.Conflicts) == 0 {
			return Job{}, false, storeDownError(outcome.Err)
		}
		return s.existing(j, outcome.Conflicts[0])
	}
	panic("table: unknown outcome type")
}

// existing returns the job that was stored before with the key of the requested one. It
// returns KeyReused if that job was for a different request.
func (s *Store) existing(requested Job, row table.Row) (Job, bool, error) {
	_, stored, err := decodeRow(row)
	if err != nil {
		return Job{}, false, err
	}
	if stored.RequestHash != requested.RequestHash || stored.Team != requested.Team {
		return Job{}, false, code.New(code.KeyReused, "the key was used for another job")
	}
	return stored, false, nil
}

// Get returns a team's job, with the complete result if the job has finished.
func (s *Store) Get(ctx context.Context, team, id string) (Job, error) {
	row, ok, err := s.get(ctx, id)
	if err != nil {
		return Job{}, storeDownError(err)
	}
	if !ok {
		return Job{}, unknownJobError(id)
	}
	stored, j, err := decodeRow(row)
	if err != nil {
		return Job{}, err
	}
	if j.Team != team {
		return Job{}, unknownJobError(id)
	}
	if stored.ResultObject {
		return s.withResult(ctx, j)
	}
	return j, nil
}

func (s *Store) withResult(ctx context.Context, j Job) (Job, error) {
	data, ok, err := s.objects.Get(ctx, resultObjectKey(j.ID, j.Takeovers))
	if err != nil {
		return Job{}, storeDownError(err)
	}
	var result storedResult
	if !ok || json.Unmarshal(data, &result) != nil {
		return Job{}, storeDownError(fmt.Errorf("result of job %s can't be read", j.ID))
	}
	j.Result = Result(result)
	return j, nil
}

// TakeOver changes the owner of a job. It returns ErrTakenOver if the job has finished or is
// no longer owned by from.
func (s *Store) TakeOver(ctx context.Context, id, from, owner string) (Job, error) {
	row, ok, err := s.get(ctx, id)
	if err != nil {
		return Job{}, err
	}
	if !ok {
		return Job{}, &UnusableError{ID: id, Err: unknownJobError(id)}
	}
	stored, j, err := decodeRow(row)
	if err != nil {
		return Job{}, &UnusableError{ID: id, Err: err}
	}
	if j.State != Accepted || j.Owner != from {
		return Job{}, takenOverError(id)
	}
	if stored.BodyObject {
		j.Body, err = s.body(ctx, id)
		if err != nil {
			return Job{}, err
		}
	}
	stored.Owner = owner
	stored.Takeovers++
	j.Owner, j.Takeovers = owner, stored.Takeovers
	return j, s.replace(
		ctx, &j, stored,
		table.Write{Key: ownedKey(from, j.Deadline, id), If: table.Always{}, Delete: true},
		table.Write{Key: ownedKey(owner, j.Deadline, id), Value: []byte(id), If: table.Always{}},
	)
}

// body returns a job's body from the object store. A transfer that the store broke off need not be
// marked as such, and a part of a body is not valid JSON.
func (s *Store) body(ctx context.Context, id string) ([]byte, error) {
	data, ok, err := s.objects.Get(ctx, bodyObjectKey(id))
	switch {
	case errors.Is(err, object.ErrIncomplete):
		return nil, &UnusableError{ID: id, Err: err}
	case err != nil:
		return nil, err
	case !ok:
		return nil, &UnusableError{ID: id, Err: errors.New("the body is missing")}
	case !json.Valid(data):
		return nil, &UnusableError{ID: id, Err: fmt.Errorf("the body is truncated or damaged: %d bytes", len(data))}
	}
	return data, nil
}

// UnusableError means that a job's row or body cannot be used, so that nobody can run the job. It does
// not concern other jobs.
type UnusableError struct {
	ID  string
	Err error
}

// Error returns the text of the underlying error with the job's ID.
func (e *UnusableError) Error() string { return fmt.Sprintf("job %s cannot be used: %v", e.ID, e.Err) }

// Unwrap returns the underlying error.
func (e *UnusableError) Unwrap() error { return e.Err }

// replace writes a job's row together with extra rows, if the row still has the version in j.
func (s *Store) replace(ctx context.Context, j *Job, stored storedJob, extra ...table.Write) error {
	writes := append([]table.Write{{Key: rowKey(j.ID), Value: encodeRow(stored), If: table.AtVersion{Version: j.version}}}, extra...)
	switch outcome := s.writer.Commit(ctx, writes...).(type) {
	case table.Committed:
		j.version = outcome.Version
		return nil
	case table.Refused:
		if len(outcome.Conflicts) > 0 {
			return takenOverError(j.ID)
		}
		return outcome.Err
	case table.Unknown:
		return outcome.Err
	}
	panic("table: unknown outcome type")
}

// Finish writes a job's result. A long result is put into the object store first, so that the
// row never refers to an incomplete result.
func (s *Store) Finish(ctx context.Context, j *Job, state State, result Result) error {
	encoded, err := json.Marshal(storedResult(result))
	if err != nil {
		return err
	}
	j.State, j.Result = state, result
	stored := toStored(*j)
	stored.Body = nil
	inline := storedResult(result)
	stored.Result = &inline
	if len(encoded) > maxInlineBytes {
		if err := s.objects.Put(ctx, resultObjectKey(j.ID, j.Takeovers), encoded); err != nil {
			return err
		}
		stored.Result, stored.ResultObject = nil, true
	}
	return s.replace(ctx, j, stored, table.Write{Key: ownedKey(j.Owner, j.Deadline, j.ID), If: table.Always{}, Delete: true})
}

// OwnedBy returns the IDs of up to limit unfinished jobs of an owner, earliest deadline first.
func (s *Store) OwnedBy(ctx context.Context, owner string, limit int) ([]string, error) {
	ids, _, err := s.ownedAfter(ctx, owner, "", limit)
	return ids, err
}

// AllOwnedBy returns the IDs of all unfinished jobs of an owner, earliest deadline first. It reads
// pageSize of them per call to the store.
func (s *Store) AllOwnedBy(ctx context.Context, owner string, pageSize int) ([]string, error) {
	var all []string
	last := ""
	for {
		ids, next, err := s.ownedAfter(ctx, owner, last, pageSize)
		if err != nil {
			return nil, err
		}
		all = append(all, ids...)
		if len(ids) < pageSize {
			return all, nil
		}
		last = next
	}
}

// ownedAfter returns the IDs of up to limit jobs of an owner whose index keys follow after, and the
// last of these keys.
func (s *Store) ownedAfter(ctx context.Context, owner, after string, limit int) (ids []string, last string, err error) {
	rows, err := s.reader().List(ctx, ownedPrefix+owner+"/", after, limit)
	if err != nil {
		return nil, "", err
	}
	for _, row := range rows {
		ids = append(ids, idFromOwnedKey(row.Key))
		last = row.Key
	}
	return ids, last, nil
}

// Owners returns the incarnations of a node that own unfinished jobs.
func (s *Store) Owners(ctx context.Context, node string) ([]string, error) {
	prefix := ownedPrefix + node + "@"
	var owners []string
	after := ""
	for {
		rows, err := s.reader().List(ctx, prefix, after, 1)
		if err != nil || len(rows) == 0 {
			return owners, err
		}
		owner, _, _ := splitOwnedKey(rows[0].Key)
		owners = append(owners, owner)
		// Skip this owner's other rows: '0' is the character after '/'.
		after = ownedPrefix + owner + "0"
	}
}

func splitOwnedKey(key string) (owner, rest string, ok bool) {
	for i := len(ownedPrefix); i < len(key); i++ {
		if key[i] == '/' {
			return key[len(ownedPrefix):i], key[i+1:], true
		}
	}
	return "", "", false
}

// SaveCheckpoint stores the tokens that a job has so far and the model version that
// generated them.
func (s *Store) SaveCheckpoint(ctx context.Context, id, version string, tokens []string) error {
	data, err := json.Marshal(storedCheckpoint{version, tokens})
	if err != nil {
		return err
	}
	return s.objects.Put(ctx, checkpointObjectKey(id), data)
}

// storedCheckpoint is the JSON form of a checkpoint. Its tokens are usable only with the
// model version that generated them.
type storedCheckpoint struct {
	Version string   `json:"version"`
	Tokens  []string `json:"tokens"`
}

// Checkpoint returns the model version and the tokens of a job's checkpoint, or none if there
// is no readable checkpoint.
func (s *Store) Checkpoint(ctx context.Context, id string) (version string, tokens []string) {
	data, ok, err := s.objects.Get(ctx, checkpointObjectKey(id))
	var c storedCheckpoint
	if err != nil || !ok || json.Unmarshal(data, &c) != nil {
		return "", nil
	}
	return c.Version, c.Tokens
}
