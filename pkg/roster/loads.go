package roster

import "time"

// Loads returns what the other processes have under way, by endpoint.
func (r *Roster) Loads(self string, now time.Time) map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := map[string]Load{}
	r.eachLoad(self, now, func(l Load) {
		loads[l.Endpoint] = loads[l.Endpoint].plus(l)
	})
	return loads
}

// Load returns what the other processes have under way at one endpoint.
func (r *Roster) Load(self, endpoint string, now time.Time) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := Load{Endpoint: endpoint}
	r.eachLoad(self, now, func(l Load) {
		if l.Endpoint == endpoint {
			sum = sum.plus(l)
		}
	})
	return sum
}

// eachLoad calls visit for each load of each other process. The lock is held.
func (r *Roster) eachLoad(self string, now time.Time, visit func(Load)) {
	recent := r.recent()
	for _, m := range r.live() {
		if m.row.Incarnation == self {
			continue
		}
		for _, l := range m.loads(now, recent) {
			visit(l)
		}
	}
}

// plus adds what another process has under way. The sum is as old as the latest
// part with prompts to be read.
func (l Load) plus(other Load) Load {
	l.Endpoint = other.Endpoint
	l.Running += other.Running
	l.PrefillTokens += other.PrefillTokens
	if other.PrefillTokens > 0 && other.ReceivedAt.After(l.ReceivedAt) {
		l.ReceivedAt = other.ReceivedAt
	}
	return l
}

// loads are those of the process's latest datagram while that is recent, and its row's
// otherwise.
func (m *member) loads(now time.Time, recent time.Duration) []Load {
	if now.Sub(m.statusAt) < recent {
		return m.status.Loads
	}
	return m.row.Loads
}

// ApplyLoads applies what a process sends about single endpoints between its full datagrams.
// Loads of an unknown process are skipped: its next datagram has all.
func (r *Roster) ApplyLoads(incarnation string, sequence int64, loads []Load, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.members[incarnation]
	if !ok || m.status.Sequence == 0 || sequence <= m.status.Sequence {
		return
	}
	m.status.Sequence = sequence
	for _, l := range loads {
		l.ReceivedAt = now
		m.status.setLoad(l)
	}
}

func (t *Status) setLoad(l Load) {
	for i := range t.Loads {
		if t.Loads[i].Endpoint == l.Endpoint {
			t.Loads[i] = l
			return
		}
	}
	t.Loads = append(t.Loads, l)
}

// Demands returns the engine time a second asked for over all processes, by
// service.
func (r *Roster) Demands(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	works := map[string]float64{}
	recent := r.recent()
	for _, m := range r.live() {
		sent := m.row.Demands
		if now.Sub(m.statusAt) < recent {
			sent = m.status.Demands
		}
		for _, w := range sent {
			works[w.Service] += w.Rate
		}
	}
	return works
}
