package rollout

// WasRenumberedFrom reports whether order is the earlier one under a new ID after a restore of the
// store. A process that has not seen the ID change, because it started with the new one, compares only
// service, target, period and era.
func (s *Splitter) WasRenumberedFrom(order, earlier Order) bool {
	v := s.find(order.Service)
	if v == nil || !order.RenumberedFrom(earlier) {
		return false
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	d := v.order
	return d != nil && d.order.ID == order.ID && (d.formerID == earlier.ID || d.formerID == 0 && d.joined)
}

// Phase returns the phase of an order, 0 if the service's order has another ID or there is none.
func (s *Splitter) Phase(order Order) Phase {
	v := s.find(order.Service)
	if v == nil {
		return 0
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.order == nil || v.order.order.ID != order.ID {
		return 0
	}
	return v.order.phase
}
