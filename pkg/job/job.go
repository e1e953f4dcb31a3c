// Package job implements asynchronous model requests. A job is accepted once its row is
// committed. It is run by the entry that accepted it or by an entry that takes it over, and
// ends with one complete result, which every entry can return.
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

// State is the state of a job.
type State string

// The states of a job. Done and Failed are final.
const (
	Accepted State = "accepted"
	Done     State = "done"
	Failed   State = "failed"
)

// Job is an accepted asynchronous request.
type Job struct {
	ID      string
	Team    string
	Service string
	// RequestHash is a hash of the request body. It distinguishes a repeated request from a
	// different one with the same key.
	RequestHash string
	// Body is the body of the caller's request.
	Body     json.RawMessage
	Deadline time.Time
	Accepted time.Time
	State    State
	// Owner is the incarnation of the entry that runs the job.
	Owner string
	// Takeovers is how often the job was taken over, 0 while the first owner has it.
	Takeovers int
	Result    Result
	// version is the version of the row when it was last read or written.
	version int64
}

// Result is the result of a finished job: a complete response, or an error.
type Result struct {
	Text             string
	Finish           string
	Model            string
	PromptTokens     int
	CompletionTokens int
	// Code is the number of the error's code, 0 if there was no error.
	Code    int
	Message string
}

// Prefixes of the keys of rows.
const (
	jobPrefix   = "job/"
	ownedPrefix = "owned/"
)

// idBytes is the length of a job's ID before encoding. It is long enough that a team can't
// guess the ID of another team's job.
const idBytes = 16

// NewID returns an ID for a job. It is derived from the caller's idempotency key if there is
// one, so that a repeated request finds its job, and random otherwise.
func NewID(team, service, key string) string {
	if key == "" {
		raw := make([]byte, idBytes)
		_, _ = rand.Read(raw) // Read never returns an error.
		return hex.EncodeToString(raw)
	}
	sum := sha256.Sum256([]byte(team + "\x00" + service + "\x00" + key))
	return hex.EncodeToString(sum[:idBytes])
}

func rowKey(id string) string { return jobPrefix + id }

// ownedKey returns the key of the row that lists a job under its owner. The keys of an owner
// sort by deadline.
func ownedKey(owner string, deadline time.Time, id string) string {
	return fmt.Sprintf("%s%s/%013d/%s", ownedPrefix, owner, deadline.UnixMilli(), id)
}

// idFromOwnedKey returns the job ID in a key made by ownedKey.
func idFromOwnedKey(key string) string { return key[strings.LastIndexByte(key, '/')+1:] }

// storedJob is the JSON form of a job's row.
type storedJob struct {
	ID          string          `json:"id"`
	Team        string          `json:"team"`
	Service     string          `json:"service"`
	RequestHash string          `json:"request"`
	Body        json.RawMessage `json:"body,omitempty"`
	Deadline    int64           `json:"deadline_ms"`
	Accepted    int64           `json:"accepted_ms"`
	State       State           `json:"state"`
	Owner       string          `json:"owner"`
	Takeovers   int             `json:"runs"`
	Result      *storedResult   `json:"result,omitempty"`
	// BodyObject and ResultObject are set if the body or the result exceeds maxInlineBytes
	// and is in the object store instead, under a key with the job's ID.
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

// maxInlineBytes is the maximum size of a body or result that is stored in the row itself.
const maxInlineBytes = 16 << 10

func toStored(j Job) storedJob {
	return storedJob{
		ID: j.ID, Team: j.Team, Service: j.Service, RequestHash: j.RequestHash, Body: j.Body,
		Deadline: j.Deadline.UnixMilli(), Accepted: j.Accepted.UnixMilli(), State: j.State, Owner: j.Owner, Takeovers: j.Takeovers,
	}
}

func encodeRow(s storedJob) []byte {
	encoded, err := json.Marshal(s)
	if err != nil {
		panic(err) // The body was checked to be JSON when the job was accepted.
	}
	return encoded
}

func decodeRow(row table.Row) (storedJob, Job, error) {
	var s storedJob
	if err := json.Unmarshal(row.Value, &s); err != nil {
		return s, Job{}, fmt.Errorf("job: %s: %w", row.Key, err)
	}
	j := Job{
		ID: s.ID, Team: s.Team, Service: s.Service, RequestHash: s.RequestHash, Body: s.Body,
		Deadline: time.UnixMilli(s.Deadline), Accepted: time.UnixMilli(s.Accepted),
		State: s.State, Owner: s.Owner, Takeovers: s.Takeovers, version: row.Version,
	}
	if s.Result != nil {
		j.Result = Result(*s.Result)
	}
	return s, j, nil
}
