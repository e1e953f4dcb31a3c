package quarantine

import (
	"hash/fnv"
	"strings"
)

// maxParts bounds the parts of one prompt that are examined: those from its start.
const maxParts = 16

// TeamTag identifies a team in reports between hosts, 0 for none.
type TeamTag uint32

func tagOf(team string) TeamTag {
	if team == "" {
		return 0
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(team))
	return TeamTag(max(h.Sum32(), 1))
}

// Prompt describes the prompt of a request.
type Prompt struct {
	// Scope is the service or model that runs the prompt: other software may stand the same parts.
	Scope string
	// Team is the team that names the parts.
	Team string
	// Parts are the IDs of the parts that other requests may have too, in their order.
	Parts []string
}

// Request is what identifies a request and the parts of its prompt. It is a value and is not modified.
type Request struct {
	fingerprint Fingerprint
	parts       []string
	// subjects are the request as a whole, followed by its parts.
	subjects []subject
}

// subject is what may crash endpoints: a request as a whole or a part of prompts.
type subject struct {
	fingerprint Fingerprint
	// part is the ID of the part, empty for a whole request.
	part string
	// team is the team that names the part, if the subject is the part as named by all teams.
	team TeamTag
}

// NewRequest returns a request with its fingerprint and prompt. Each part is a subject twice: as named by
// this team, since a team's own requests show enough about it, and as named by all teams.
func NewRequest(f Fingerprint, p Prompt) Request {
	r := Request{fingerprint: f, parts: p.Parts[:min(len(p.Parts), maxParts)], subjects: []subject{{fingerprint: f}}}
	tag := tagOf(p.Team)
	for _, part := range r.parts {
		r.subjects = append(r.subjects, subject{FingerprintOf("team part", p.Scope, p.Team, []byte(part)), part, 0})
		if tag != 0 {
			r.subjects = append(r.subjects, subject{FingerprintOf("part", p.Scope, "", []byte(part)), part, tag})
		}
	}
	return r
}

// Fingerprint returns the fingerprint of the whole request.
func (r Request) Fingerprint() Fingerprint { return r.fingerprint }

// PartNames returns the IDs of the parts for a log line.
func (r Request) PartNames() string { return strings.Join(r.parts, ",") }

// partSubjects returns the parts of the request.
func (r Request) partSubjects() []subject {
	if len(r.subjects) == 0 {
		return nil
	}
	return r.subjects[1:]
}

// Run is a run of a request at an endpoint.
type Run struct {
	Request Request
	// Answered is set once the endpoint has sent the beginning of the answer. The parts of the prompt
	// then did not crash the endpoint.
	Answered bool
}

// suspected returns what may have crashed the endpoint of the run.
func (r Run) suspected() []subject {
	if r.Answered {
		return r.Request.subjects[:min(len(r.Request.subjects), 1)]
	}
	return r.Request.subjects
}
