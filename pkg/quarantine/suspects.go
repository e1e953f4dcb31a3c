package quarantine

import (
	"slices"
	"sync"
	"time"
)

// suspectRetention is the maximum time from the interruption of a run until the crash of
// its endpoint is detected: the endpoint's row is removed after three reports of up to
// 1.2 s, and the removal is read within 1.4 s; the rest is for a slow store.
const suspectRetention = 8 * time.Second

// Suspect is a run that was interrupted.
type Suspect struct {
	Run
	At time.Time
}

// Suspects are interrupted runs at endpoints that may have crashed. It is safe for
// concurrent use.
type Suspects struct {
	mu sync.Mutex
	// byEndpoint holds the interrupted runs of each endpoint in the order of their times.
	byEndpoint map[string][]Suspect
	// pendingProbes are endpoints whose probe has not started: a probe covers the
	// interruptions until its start.
	pendingProbes map[string]bool
}

// NewSuspects returns an empty set of suspects.
func NewSuspects() *Suspects {
	return &Suspects{byEndpoint: map[string][]Suspect{}, pendingProbes: map[string]bool{}}
}

// RecordInterruption records an interrupted run at an endpoint. It reports whether the
// caller has to probe the endpoint, after ProbeStarted.
func (s *Suspects) RecordInterruption(endpoint string, r Run, now time.Time) (probe bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.byEndpoint[endpoint] = append(recent(s.byEndpoint[endpoint], now), Suspect{Run: r, At: now})
	probe = !s.pendingProbes[endpoint]
	s.pendingProbes[endpoint] = true
	return probe
}

// ProbeStarted records the start of a probe of an endpoint: a later interruption requires
// another one.
func (s *Suspects) ProbeStarted(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pendingProbes, endpoint)
}

// TakeInterrupted removes the suspects of a crashed endpoint and returns the requests whose
// runs the crash interrupted: those last interrupted, within sameCrashWindow. Earlier
// interruptions had another cause.
func (s *Suspects) TakeInterrupted(endpoint string, now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := recent(s.byEndpoint[endpoint], now)
	delete(s.byEndpoint, endpoint)
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1].At
	return slices.DeleteFunc(list, func(s Suspect) bool { return last.Sub(s.At) > sameCrashWindow })
}

// Discard removes the interruptions since a given time.
func (s *Suspects) Discard(since time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for endpoint, list := range s.byEndpoint {
		list = slices.DeleteFunc(list, func(s Suspect) bool { return !s.At.Before(since) })
		if len(list) == 0 {
			delete(s.byEndpoint, endpoint)
			continue
		}
		s.byEndpoint[endpoint] = list
	}
}

// Endpoints returns the endpoints with recently interrupted runs.
func (s *Suspects) Endpoints(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for endpoint, suspects := range s.byEndpoint {
		if len(recent(suspects, now)) == 0 {
			delete(s.byEndpoint, endpoint)
			continue
		}
		list = append(list, endpoint)
	}
	return list
}

// recent returns the suspects that are not older than suspectRetention.
func recent(list []Suspect, now time.Time) []Suspect {
	first := slices.IndexFunc(list, func(s Suspect) bool { return now.Sub(s.At) <= suspectRetention })
	if first < 0 {
		return nil
	}
	return list[first:]
}
