package roster

import "time"

// Loads returns what the other processes have in progress, by endpoint.
func (r *Roster) Loads(self string, now time.Time) map[string]Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	loads := map[string]Load{}
	r.eachLoad(self, now, func(l Load) {
		loads[l.Endpoint] = loads[l.Endpoint].add(l)
	})
	return loads
}

// Load returns what the other processes have in progress at one endpoint.
func (r *Roster) Load(self, endpoint string, now time.Time) Load {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := Load{Endpoint: endpoint}
	r.eachLoad(self, now, func(l Load) {
		if l.Endpoint == endpoint {
			sum = sum.add(l)
		}
	})
	return sum
}

// eachLoad calls visit for each load of each other process. The caller must hold r.mu.
func (r *Roster) eachLoad(self string, now time.Time, visit func(Load)) {
	recent := r.recentAge()
	for _, m := range r.live() {
		if m.row.Incarnation == self || m.isCut(now) {
			continue
		}
		for _, l := range m.loads(now, recent) {
			visit(l)
		}
	}
}

// add returns the sum of two loads of an endpoint. It is as old as the latest load that has prefill
// tokens.
func (l Load) add(other Load) Load {
	l.Endpoint = other.Endpoint
	l.Running += other.Running
	l.PrefillTokens += other.PrefillTokens
	if other.PrefillTokens > 0 && other.ReceivedAt.After(l.ReceivedAt) {
		l.ReceivedAt = other.ReceivedAt
	}
	return l
}

// loads returns the loads of the process's latest datagram if that is recent, else those of its
// row.
func (m *member) loads(now time.Time, recent time.Duration) []Load {
	if now.Sub(m.statusAt) < recent {
		return m.status.Loads
	}
	return m.row.Loads
}

// ApplyLoads applies loads of single endpoints that a process sends between its full datagrams.
// Loads of a process that has not sent a full datagram yet are ignored, as that datagram contains
// them.
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

func (s *Status) setLoad(l Load) {
	for i := range s.Loads {
		if s.Loads[i].Endpoint == l.Endpoint {
			s.Loads[i] = l
			return
		}
	}
	s.Loads = append(s.Loads, l)
}

// Demands returns the engine time per second that the requests of all processes need, by service.
func (r *Roster) Demands(now time.Time) map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	demands := map[string]float64{}
	recent := r.recentAge()
	for _, m := range r.live() {
		if m.isCut(now) {
			continue
		}
		sent := m.row.Demands
		if now.Sub(m.statusAt) < recent {
			sent = m.status.Demands
		}
		for _, d := range sent {
			demands[d.Service] += d.Rate
		}
	}
	return demands
}
