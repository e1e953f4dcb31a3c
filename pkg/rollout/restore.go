package rollout

// WasRenumberedFrom reports whether order is the earlier one under a new ID after a restore of the
// store. A process that has not seen the ID change, because it started with the new one, compares only
// service, target, period and era.
func (s *Splitter) WasRenumberedFrom(order, earlier Order) bool {
	svc := s.find(order.Service)
	if svc == nil || !order.RenumberedFrom(earlier) {
		return false
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	state := svc.current
	return state != nil && state.order.ID == order.ID && (state.formerID == earlier.ID || state.formerID == 0 && state.learnedLate)
}

// Phase returns the phase of an order, 0 if the service's order has another ID or there is none.
func (s *Splitter) Phase(order Order) Phase {
	svc := s.find(order.Service)
	if svc == nil {
		return 0
	}
	svc.mu.Lock()
	defer svc.mu.Unlock()
	if svc.current == nil || svc.current.order.ID != order.ID {
		return 0
	}
	return svc.current.phase
}
