package quarantine

import (
	"slices"
	"sync"
	"time"
)

// suspectFor is how long after a run broke off the end of its endpoint may be found out
// that broke it off: its row goes after three reports of up to 1.2 s, and is read within
// 1.4 s; some time is added for a slow store.
const suspectFor = 8 * time.Second

// Suspect is a request whose run broke off.
type Suspect struct {
	Fingerprint Fingerprint
	At          time.Time
}

// Suspects are runs that broke off at endpoints of which it is not known whether they
// have ended. It is safe for concurrent use.
type Suspects struct {
	mu sync.Mutex
	// at is by endpoint, in the order of times.
	at map[string][]Suspect
	// looking are endpoints that are about to be looked at: a look shows what has
	// broken off until it begins.
	looking map[string]bool
}

// NewSuspects returns no suspects.
func NewSuspects() *Suspects {
	return &Suspects{at: map[string][]Suspect{}, looking: map[string]bool{}}
}

// RecordInterruption notes that a run broke off at an endpoint. It reports whether the endpoint is to
// be looked at, which the caller does after LookBegins.
func (s *Suspects) RecordInterruption(endpoint string, f Fingerprint, now time.Time) (look bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at[endpoint] = append(recent(s.at[endpoint], now), Suspect{Fingerprint: f, At: now})
	look = !s.looking[endpoint]
	s.looking[endpoint] = true
	return look
}

// ProbeStarted notes that a look at an endpoint begins: what breaks off from now on asks
// for another.
func (s *Suspects) ProbeStarted(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.looking, endpoint)
}

// TakeInterrupted returns the requests whose runs an endpoint's end broke off: those that broke
// off last, together. What broke off before was not its end.
func (s *Suspects) TakeInterrupted(endpoint string, now time.Time) []Suspect {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := recent(s.at[endpoint], now)
	delete(s.at, endpoint)
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1].At
	return slices.DeleteFunc(list, func(s Suspect) bool { return last.Sub(s.At) > sameEnd })
}

// Endpoints returns where runs broke off of late.
func (s *Suspects) Endpoints(now time.Time) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []string
	for endpoint, suspects := range s.at {
		if len(recent(suspects, now)) == 0 {
			delete(s.at, endpoint)
			continue
		}
		list = append(list, endpoint)
	}
	return list
}

// recent leaves out what is too old to be told from other breaks.
func recent(list []Suspect, now time.Time) []Suspect {
	first := slices.IndexFunc(list, func(s Suspect) bool { return now.Sub(s.At) <= suspectFor })
	if first < 0 {
		return nil
	}
	return list[first:]
}
