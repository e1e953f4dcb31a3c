// Package job keeps work that can wait: accepted once its row is committed,
// run by the entry that accepted it or by whoever takes it over, and finished
// with one whole result that any entry can hand out.
package job

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"ironhollow/pkg/table"
)

// State is how far a job is.
type State string

// The states of a job. Done and Failed are final.
const (
	Accepted State = "accepted"
	Done     State = "done"
	Failed   State = "failed"
)

// Job is one accepted piece of work.
type Job struct {
	ID      string
	Team    string
	Service string
	// RequestHash is a hash of what was asked, to tell a repeat from a reused key.
	RequestHash string
	// Body is the caller's request, as accepted.
	Body     json.RawMessage
	Deadline time.Time
	Accepted time.Time
	State    State
	// Owner is the incarnation of the entry that runs the job.
	Owner string
	// Takeovers counts the owners the job has had.
	Takeovers int
	Result    Result
	// version is the row's, as last read or written.
	version int64
}

// Result is a finished job's answer, whole or a numbered failure.
type Result struct {
	Text             string
	Finish           string
	Model            string
	PromptTokens     int
	CompletionTokens int
	// Code is the number of the result code of a failure, 0 for none.
	Code    int
	Message string
}

// Parts of the table's keys.
const (
	jobPrefix   = "job/"
	ownedPrefix = "owned/"
)

// idBytes is the length of a job's id before encoding: enough that nobody
// guesses the id of another team's job.
const idBytes = 16

// NewID returns the id of a job: made from the caller's key where it gave one,
// so that a repeated request finds its own job; else random.
func NewID(team, service, key string) string {
	if key == "" {
		raw := make([]byte, idBytes)
		_, _ = rand.Read(raw) // It never fails.
		return hex.EncodeToString(raw)
	}
	sum := sha256.Sum256([]byte(team + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:idBytes])
}

func rowKey(id string) string { return jobPrefix + id }

// ownedKey sorts an owner's jobs by deadline.
func ownedKey(owner string, deadline time.Time, id string) string {
	return fmt.Sprintf("%s%s/%013d/%s", ownedPrefix, owner, deadline.UnixMilli(), id)
}

// idOfOwned returns the job of a key made by ownedKey.
func idOfOwned(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// storedJob is a row's JSON.
type storedJob struct {
	ID       string          `json:"id"`
	Team     string          `json:"team"`
	Service  string          `json:"service"`
	Request  string          `json:"request"`
	Body     json.RawMessage `json:"body,omitempty"`
	Deadline int64           `json:"deadline_ms"`
	Accepted int64           `json:"accepted_ms"`
	State    State           `json:"state"`
	Owner    string          `json:"owner"`
	Runs     int             `json:"runs"`
	Result   *storedResult   `json:"result,omitempty"`
	// BodyObject and ResultObject say that a long body or result is in the
	// object store under the job's id.
	BodyObject   bool `json:"body_object,omitempty"`
	ResultObject bool `json:"result_object,omitempty"`
}

type storedResult struct {
	Text             string `json:"text"`
	Finish           string `json:"finish"`
	Model            string `json:"model"`
	PromptTokens     int    `json:"prompt_tokens"`
	CompletionTokens int    `json:"completion_tokens"`
	Code             int    `json:"code,omitempty"`
	Message          string `json:"message,omitempty"`
}

// inlineBytes is the longest body or result kept in the row itself.
const inlineBytes = 16 << 10

func toStored(j Job) storedJob {
	return storedJob{
		ID: j.ID, Team: j.Team, Service: j.Service, Request: j.RequestHash, Body: j.Body,
		Deadline: j.Deadline.UnixMilli(), Accepted: j.Accepted.UnixMilli(), State: j.State, Owner: j.Owner, Runs: j.Takeovers,
	}
}

func encodeRow(s storedJob) []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // The body was checked to be JSON when it was taken in.
	}
	return encoded
}

func decodeRow(row table.Row) (storedJob, Job, error) {
	var s storedJob
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, Job{}, fmt.Errorf("job: %s: %w", row.Key, err)
	}
	j := Job{
		ID: s.ID, Team: s.Team, Service: s.Service, RequestHash: s.Request, Body: s.Body,
		Deadline: time.UnixMilli(s.Deadline), Accepted: time.UnixMilli(s.Accepted),
		State: s.State, Owner: s.Owner, Takeovers: s.Runs, version: row.Version,
	}
	if s.Result != nil {
		j.Result = Result(*s.Result)
	}
	return s, j, nil
}
