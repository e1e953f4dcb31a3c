package route

import (
	"cmp"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
)

// HeldReport is the number of tokens that this entry's requests hold in the memory of an endpoint.
type HeldReport struct {
	Endpoint endpoint.Ref
	Tokens   int
}

const (
	// maxHeldReports is the number of endpoints in one report, as many as fit in a datagram. The
	// others follow in the next rounds.
	maxHeldReports = 32
	// heldRefresh is the time after which an unchanged number is reported again, as datagrams may
	// be lost. A number of 0 is repeated for heldZeroRepeat.
	heldRefresh    = time.Second
	heldZeroRepeat = 3 * time.Second
)

// memory is the use of an endpoint's memory in tokens. It is 0 for services that state no memory.
type memory struct {
	// local is held by this entry's requests, others by those of the other entries.
	local, others int
	// reported is the number that was reported last, at reportedAt. changedAt is when a report last
	// differed from the one before.
	reported              int
	reportedAt, changedAt time.Time
}

// tokensHeldBy returns the number of tokens that a request holds at the end of its answer. Without
// an estimate for the answer, its length is the mean of the group's answers.
func (g *group) tokensHeldBy(q Query) int {
	if q.MemoryTokens == 0 {
		return 0
	}
	answer := q.AnswerTokens
	if answer <= 1 {
		answer = int(g.meanAnswer)
	}
	return q.PromptTokens + q.GeneratedTokens + answer
}

// recordAnswerLength updates the mean length of the group's answers.
func (g *group) recordAnswerLength(tokens int) {
	if tokens <= 0 {
		return
	}
	if g.meanAnswer == 0 {
		g.meanAnswer = float64(tokens)
	}
	g.meanAnswer += smoothing * (float64(tokens) - g.meanAnswer)
}

// recordHold records that a request held tokens for a time.
func (g *group) recordHold(tokens int, duration time.Duration) {
	g.heldTokens += smoothing * (float64(tokens) - g.heldTokens)
	g.heldTokenSeconds += smoothing * (float64(tokens)*duration.Seconds() - g.heldTokenSeconds)
}

// holdTime returns how long a token is held on average. Long requests hold more tokens, and each for
// longer, than the mean duration of requests, which is used until a request has ended.
func (s *slot) holdTime() time.Duration {
	g := s.group
	if g.heldTokens < 1 {
		return s.load.meanDuration
	}
	return time.Duration(g.heldTokenSeconds / g.heldTokens * float64(time.Second))
}

// memoryWait returns the estimated time until enough running requests have ended for a request to
// fit in the endpoint's memory. A token is held for holdTime on average, so that all tokens held now
// are released at an even rate within that time.
func (s *slot) memoryWait(q Query) time.Duration {
	if q.MemoryTokens == 0 {
		return 0
	}
	held := s.load.memory.local + s.load.memory.others
	lacking := held + s.group.tokensHeldBy(q) - q.MemoryTokens
	if lacking <= 0 || held <= 0 {
		return 0
	}
	return time.Duration(min(float64(lacking)/float64(held), 1) * float64(s.holdTime()))
}

// SetHeldByOthers sets the number of tokens that requests of the other entries hold in the memory of
// an endpoint.
func (r *Router) SetHeldByOthers(ref endpoint.Ref, tokens int) {
	r.mu.RLock()
	s := r.byID[ref.ID]
	r.mu.RUnlock()
	if s == nil {
		return
	}
	s.group.mu.Lock()
	defer s.group.mu.Unlock()
	if s.info.Ref() == ref {
		s.load.memory.others = tokens
	}
}

// HeldReports returns what this entry's requests hold, for the endpoints at which that has changed or
// was reported long ago: the largest changes first.
func (r *Router) HeldReports(now time.Time) []HeldReport {
	if !r.holdsMemory.Load() {
		return nil
	}
	type pending struct {
		slot   *slot
		change int
	}
	var due []pending
	holdsMemory := false
	r.eachKnownSlot(func(s *slot) {
		m := &s.load.memory
		repeats := m.local > 0 || now.Sub(m.changedAt) < heldZeroRepeat
		holdsMemory = holdsMemory || repeats || m.local != m.reported
		if m.local != m.reported || repeats && now.Sub(m.reportedAt) >= heldRefresh {
			due = append(due, pending{s, max(m.local-m.reported, m.reported-m.local)})
		}
	})
	r.holdsMemory.Store(holdsMemory)
	slices.SortFunc(due, func(a, b pending) int {
		return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.slot.hash, b.slot.hash))
	})
	reports := make([]HeldReport, 0, min(len(due), maxHeldReports))
	for _, p := range due[:min(len(due), maxHeldReports)] {
		p.slot.group.mu.Lock()
		reports = append(reports, p.slot.load.memory.report(p.slot.info.Ref(), now))
		p.slot.group.mu.Unlock()
	}
	return reports
}

// report returns the report of the endpoint and marks it as made.
func (m *memory) report(ref endpoint.Ref, now time.Time) HeldReport {
	if m.local != m.reported {
		m.changedAt = now
	}
	m.reported, m.reportedAt = m.local, now
	return HeldReport{ref, m.local}
}
