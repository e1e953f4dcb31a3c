package rollout

import (
	"cmp"
	"slices"
	"time"

	"ironhollow/pkg/endpoint"
)

// Attempt is one request under way at an endpoint. Its fields are guarded by its service.
type Attempt struct {
	service string
	info    endpoint.Info
	kind    Kind
	// expected is how long the answer should take, a second where that is not reckoned.
	expected time.Duration
	began    time.Time
	answered bool
}

// StartAttempt notes that a request goes to an endpoint. expected is how long its answer, or a
// stream's first event, should take; 0 where that is not reckoned. Every Send must be
// ended with End. It is nil where no roll-outs are ordered.
func (s *Splitter) StartAttempt(name string, info *endpoint.Info, kind Kind, expected time.Duration, now time.Time) *Attempt {
	if !s.bounds.Enabled() {
		return nil
	}
	if expected <= 0 {
		expected = time.Second
	}
	send := &Attempt{service: name, info: *info, kind: kind, expected: expected, began: now}
	v := s.of(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	v.running[info.Release]++
	if d := v.order; d != nil && info.Release == d.order.Target {
		d.tried++
		d.pending[send] = struct{}{}
	}
	return send
}

// FinishAttempt notes that a send runs no longer.
func (s *Splitter) FinishAttempt(send *Attempt, now time.Time) {
	if send == nil {
		return
	}
	v := s.of(send.service)
	v.mu.Lock()
	defer v.mu.Unlock()
	release := send.info.Release
	if v.running[release] > 1 {
		v.running[release]--
	} else {
		delete(v.running, release)
	}
	if d := v.order; d != nil {
		delete(d.pending, send)
		if release == d.order.Target {
			return
		}
	}
	if took := now.Sub(send.began); took >= v.longest || now.Sub(v.longAt) > longestKept {
		v.longest, v.longAt = took, now
	}
}

// RecordAnswer takes in that an endpoint has answered, or that a stream's first event has
// come.
func (s *Splitter) RecordAnswer(send *Attempt, failed bool, now time.Time) {
	if send == nil {
		return
	}
	v := s.of(send.service)
	v.mu.Lock()
	defer v.mu.Unlock()
	send.answered = true
	if d := v.watching(); d != nil {
		d.tally(send.kind, d.isTarget(send), send.info.ID, failed)
	}
	if !failed {
		v.took(send, send.kind.time(), now.Sub(send.began).Seconds()/send.expected.Seconds(), now)
	}
}

// RecordStream takes in how a stream went on after its first event: how many times as long
// between its events as was expected, 0 where that was not measured.
func (s *Splitter) RecordStream(send *Attempt, times float64, failed bool, now time.Time) {
	if send == nil {
		return
	}
	v := s.of(send.service)
	v.mu.Lock()
	defer v.mu.Unlock()
	kind := send.kind.stream()
	if d := v.watching(); d != nil {
		d.tally(kind, d.isTarget(send), send.info.ID, failed)
	}
	if !failed && times > 0 {
		v.took(send, kind.time(), times, now)
	}
}

// watching returns the order whose evidence is collected, nil for none. The lock is
// held.
func (v *service) watching() *split {
	if v.order == nil || v.order.phase.Ended() {
		return nil
	}
	return v.order
}

func (d *split) isTarget(send *Attempt) bool { return send.info.Release == d.order.Target }

// took takes in how long an answer took. Endpoints that have just started and are slow
// for it show nothing of their version's speed. The lock is held.
func (v *service) took(send *Attempt, kind Kind, value float64, now time.Time) {
	if send.info.Cold {
		return
	}
	d := v.watching()
	r := v.referenceOf(kind)
	r.turn(now)
	bound, known := v.slow(kind, r)
	if d == nil || !d.isTarget(send) {
		r.add(value, now)
	}
	if d != nil && known {
		d.tally(kind, d.isTarget(send), send.info.ID, value > bound)
	}
}

// time is the kind of how long the answers of a kind take, stream that of how its
// streams go on after their first event.
func (k Kind) time() Kind { return k ^ 1 }

func (k Kind) stream() Kind { return k ^ 2 }

// slow returns the bound of a kind: this host's own, or that of all hosts while it has
// too few answers. The lock is held.
func (v *service) slow(kind Kind, r *reference) (bound float64, ok bool) {
	if r.answers() >= referenceAnswers {
		return r.slow()
	}
	if v.order == nil {
		return 0, false
	}
	for _, b := range v.order.directive.SlowThresholds {
		if b.Kind == kind {
			return b.Value, true
		}
	}
	return 0, false
}

func (v *service) referenceOf(kind Kind) *reference {
	r, ok := v.references[kind]
	if !ok {
		r = &reference{}
		v.references[kind] = r
	}
	return r
}

// Report returns what this host has counted for an order; ok is false where it does
// not know the order.
func (s *Splitter) Report(name string, order int64, now time.Time) (Report, bool) {
	v := s.find(name)
	if v == nil {
		return Report{}, false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil || d.order.ID != order {
		return Report{}, false
	}
	r := Report{
		Service: name, Order: order, Phase: d.phase, Epoch: d.directive.Epoch, Number: d.directive.Number,
		Requests: d.asked, TargetRequests: d.tried, LongestOther: v.longest,
	}
	for release, n := range v.running {
		if release != d.order.Target {
			r.OthersRunning += n
		}
	}
	overdue := v.overdue(now)
	for key, count := range d.tallies {
		sum := *count
		sum.add(overdue[key])
		delete(overdue, key)
		r.Tallies = append(r.Tallies, Tally{Kind: key.kind, Endpoint: key.endpoint, Count: sum})
	}
	for key, count := range overdue {
		r.Tallies = append(r.Tallies, Tally{Kind: key.kind, Endpoint: key.endpoint, Count: count})
	}
	for kind, ref := range v.references {
		if bound, ok := ref.slow(); ok {
			r.SlowThresholds = append(r.SlowThresholds, SlowThreshold{Kind: kind, Value: bound, Answers: ref.answers()})
		}
	}
	slices.SortFunc(r.SlowThresholds, func(a, b SlowThreshold) int { return cmp.Compare(a.Kind, b.Kind) })
	slices.SortFunc(r.Tallies, func(a, b Tally) int {
		return cmp.Or(cmp.Compare(a.Endpoint, b.Endpoint), cmp.Compare(a.Kind, b.Kind))
	})
	return r, true
}

// overdue counts the target's sends that take longer already than is slow: slow answers
// come last, and those that came alone would speak for the target. The lock is held.
func (v *service) overdue(now time.Time) map[tallyKey]Count {
	counts := map[tallyKey]Count{}
	for send := range v.order.pending {
		if send.answered || send.info.Cold {
			continue
		}
		kind := send.kind.time()
		bound, known := v.slow(kind, v.referenceOf(kind))
		if known && now.Sub(send.began).Seconds()/send.expected.Seconds() > bound {
			key := tallyKey{kind, v.order.placeOf(send.info.ID)}
			c := counts[key]
			c.add(Count{Answers: 1, Bad: 1})
			counts[key] = c
		}
	}
	return counts
}

// ObserveRelease notes the version of an endpoint before its first request can be sent. One that
// was not there before gets nothing until an order for it is heard or its time to be
// heard is over.
func (s *Splitter) ObserveRelease(name, release string, now time.Time) {
	if !s.bounds.Enabled() {
		return
	}
	s.mu.RLock()
	settled := s.settled
	s.mu.RUnlock()
	v := s.of(name)
	v.mu.Lock()
	defer v.mu.Unlock()
	if _, known := v.releases[release]; known {
		return
	}
	if !settled || len(v.releases) == 0 {
		v.releases[release] = time.Time{}
		return
	}
	v.releases[release] = now
	v.unvetted = append(slices.Clone(v.unvetted), release)
	v.rules()
}

// UpdateEndpoints brings the split up to date with the endpoints that are known. fresh says that
// the operator's rows are heard at the moment.
func (s *Splitter) UpdateEndpoints(infos []endpoint.Info, fresh bool, now time.Time) {
	if !s.bounds.Enabled() {
		return
	}
	s.mu.Lock()
	s.settled = true
	s.mu.Unlock()
	s.each(func(v *service) { v.vet(fresh, now) })
	for _, order := range s.OpenOrders() {
		s.of(order.Service).survey(order, infos)
	}
}

// vet lets versions pass whose order would have been heard by now. The lock is held.
func (v *service) vet(fresh bool, now time.Time) {
	if len(v.unvetted) == 0 {
		return
	}
	v.unvetted = slices.DeleteFunc(slices.Clone(v.unvetted), func(release string) bool {
		return fresh && now.Sub(v.releases[release]) > vetTime
	})
	v.rules()
}

// survey looks which endpoints of the target are tried.
func (v *service) survey(order Order, infos []endpoint.Info) {
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	if d == nil || d.order.ID != order.ID {
		return
	}
	others := 0
	var targets []*endpoint.Info
	for i := range infos {
		info := &infos[i]
		switch {
		case info.Service != order.Service || !info.AcceptsWork():
		case info.Release == order.Target:
			targets = append(targets, info)
		case !slices.Contains(v.excluded, info.Release):
			others++
		}
	}
	if !d.surveyed {
		d.surveyed, d.alone = true, others == 0 && d.inUse
	}
	d.targets, d.otherCount = targets, others
	d.tryAt()
	v.rules()
}
