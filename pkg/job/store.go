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

// Store keeps jobs in the platform's services.
type Store struct {
	writer  *table.Writer
	objects object.Store
	batcher Committer
}

// Committer inserts the rows of one job, all Absent.
type Committer interface {
	Commit(ctx context.Context, rows []table.Write) table.Outcome
}

// NewStore returns a store of jobs.
func NewStore(writer *table.Writer, objects object.Store, batcher Committer) *Store {
	return &Store{writer: writer, objects: objects, batcher: batcher}
}

func bodyObject(id string) string             { return "job-body-" + id }
func resultObject(id string, runs int) string { return fmt.Sprintf("job-result-%s-%d", id, runs) }
func checkpointObject(id string) string       { return "job-checkpoint-" + id }
func (s *Store) reader() table.Store          { return s.writer.Store() }
func storeDown(err error) error               { return code.New(code.StoreDown, err.Error()) }
func unknownJob(id string) error              { return code.New(code.UnknownJob, "no job "+id) }
func errConflict(id string) error             { return fmt.Errorf("job %s: %w", id, ErrTakenOver) }
func (s *Store) get(ctx context.Context, id string) (table.Row, bool, error) {
	return s.reader().Get(ctx, rowKey(id))
}

// ErrTakenOver says that a job has another owner by now.
var ErrTakenOver = errors.New("taken over by another owner")

// Accept commits a job. The job returned is the one in the store, which for a
// repeated key is an earlier one; fresh tells whether this call made it.
func (s *Store) Accept(ctx context.Context, j Job) (held Job, fresh bool, err error) {
	stored := toStored(j)
	if len(j.Body) > inlineBytes {
		if err := s.objects.Put(ctx, bodyObject(j.ID), j.Body); err != nil {
			return Job{}, false, storeDown(err)
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
			return Job{}, false, storeDown(outcome.Err)
		}
		return s.repeated(j, outcome.Conflicts[0])
	}
	panic("table: unknown outcome type")
}

// repeated answers a request whose key has a job already.
func (s *Store) repeated(asked Job, row table.Row) (Job, bool, error) {
	_, held, err := decodeRow(row)
	if err != nil {
		return Job{}, false, err
	}
	if held.Request != asked.Request || held.Team != asked.Team {
		return Job{}, false, code.New(code.KeyReused, "the key was used for another job")
	}
	return held, false, nil
}

// Get reads a team's job with its whole result.
func (s *Store) Get(ctx context.Context, team, id string) (Job, error) {
	row, ok, err := s.get(ctx, id)
	if err != nil {
		return Job{}, storeDown(err)
	}
	if !ok {
		return Job{}, unknownJob(id)
	}
	stored, j, err := decodeRow(row)
	if err != nil {
		return Job{}, err
	}
	if j.Team != team {
		return Job{}, unknownJob(id)
	}
	if stored.ResultObject {
		return s.withResult(ctx, j)
	}
	return j, nil
}

func (s *Store) withResult(ctx context.Context, j Job) (Job, error) {
	data, ok, err := s.objects.Get(ctx, resultObject(j.ID, j.Runs))
	if err != nil {
		return Job{}, storeDown(err)
	}
	var result storedResult
	if !ok || json.Unmarshal(data, &result) != nil {
		return Job{}, storeDown(fmt.Errorf("result of job %s can't be read", j.ID))
	}
	j.Result = Result(result)
	return j, nil
}

// TakeOver makes owner the owner of a job that another had. It returns
// ErrTakenOver where the job is finished or has moved on already.
func (s *Store) TakeOver(ctx context.Context, id, from, owner string) (Job, error) {
	row, ok, err := s.get(ctx, id)
	if err != nil {
		return Job{}, err
	}
	if !ok {
		return Job{}, unknownJob(id)
	}
	stored, j, err := decodeRow(row)
	if err != nil {
		return Job{}, err
	}
	if j.State != Accepted || j.Owner != from {
		return Job{}, errConflict(id)
	}
	if stored.BodyObject {
		j.Body, err = s.body(ctx, id)
		if err != nil {
			return Job{}, err
		}
	}
	stored.Owner = owner
	stored.Runs++
	j.Owner, j.Runs = owner, stored.Runs
	return j, s.replace(
		ctx, &j, stored,
		table.Write{Key: ownedKey(from, j.Deadline, id), If: table.Always{}, Delete: true},
		table.Write{Key: ownedKey(owner, j.Deadline, id), Value: []byte(id), If: table.Always{}},
	)
}

func (s *Store) body(ctx context.Context, id string) ([]byte, error) {
	data, ok, err := s.objects.Get(ctx, bodyObject(id))
	if err == nil && !ok {
		err = fmt.Errorf("body of job %s is missing", id)
	}
	return data, err
}

// replace writes a job's row over the version held, together with other rows.
func (s *Store) replace(ctx context.Context, j *Job, stored storedJob, others ...table.Write) error {
	writes := append([]table.Write{{Key: rowKey(j.ID), Value: encodeRow(stored), If: table.AtVersion{Version: j.version}}}, others...)
	switch outcome := s.writer.Commit(ctx, writes...).(type) {
	case table.Committed:
		j.version = outcome.Version
		return nil
	case table.Refused:
		if len(outcome.Conflicts) > 0 {
			return errConflict(j.ID)
		}
		return outcome.Err
	case table.Unknown:
		return outcome.Err
	}
	panic("table: unknown outcome type")
}

// Finish writes a job's result. A long one goes to the object store first, so
// that the row never points at half a result.
func (s *Store) Finish(ctx context.Context, j *Job, state State, result Result) error {
	encoded, err := json.Marshal(storedResult(result))
	if err != nil {
		return err
	}
	j.State, j.Result = state, result
	stored := toStored(*j)
	stored.Body = nil
	wire := storedResult(result)
	stored.Result = &wire
	if len(encoded) > inlineBytes {
		if err := s.objects.Put(ctx, resultObject(j.ID, j.Runs), encoded); err != nil {
			return err
		}
		stored.Result, stored.ResultObject = nil, true
	}
	return s.replace(ctx, j, stored, table.Write{Key: ownedKey(j.Owner, j.Deadline, j.ID), If: table.Always{}, Delete: true})
}

// OwnedBy lists the ids of the unfinished jobs of an owner, earliest deadline
// first, a page at most.
func (s *Store) OwnedBy(ctx context.Context, owner string, limit int) ([]string, error) {
	rows, err := s.reader().List(ctx, ownedPrefix+owner+"/", "", limit)
	if err != nil {
		return nil, err
	}
	ids := make([]string, len(rows))
	for i, row := range rows {
		ids[i] = idOfOwned(row.Key)
	}
	return ids, nil
}

// Owners lists the incarnations of a node that still own jobs.
func (s *Store) Owners(ctx context.Context, node string) ([]string, error) {
	prefix := ownedPrefix + node + "@"
	var owners []string
	after := ""
	for {
		rows, err := s.reader().List(ctx, prefix, after, 1)
		if err != nil || len(rows) == 0 {
			return owners, err
		}
		owner, _, _ := cutOwner(rows[0].Key)
		owners = append(owners, owner)
		// Skip past this owner's rows: '0' is the character after '/'.
		after = ownedPrefix + owner + "0"
	}
}

func cutOwner(key string) (owner, rest string, ok bool) {
	for i := len(ownedPrefix); i < len(key); i++ {
		if key[i] == '/' {
			return key[len(ownedPrefix):i], key[i+1:], true
		}
	}
	return "", "", false
}

// SaveCheckpoint keeps the tokens a job has so far.
func (s *Store) SaveCheckpoint(ctx context.Context, id, version string, tokens []string) error {
	data, err := json.Marshal(storedCheckpoint{version, tokens})
	if err != nil {
		return err
	}
	return s.objects.Put(ctx, checkpointObject(id), data)
}

// storedCheckpoint is a checkpoint's JSON. The tokens are of one version of
// the model, and are of no use to another.
type storedCheckpoint struct {
	Version string   `json:"version"`
	Tokens  []string `json:"tokens"`
}

// Checkpoint returns the tokens kept of a job, none if there are none.
func (s *Store) Checkpoint(ctx context.Context, id string) (version string, tokens []string) {
	data, ok, err := s.objects.Get(ctx, checkpointObject(id))
	var c storedCheckpoint
	if err != nil || !ok || json.Unmarshal(data, &c) != nil {
		return "", nil
	}
	return c.Version, c.Tokens
}
