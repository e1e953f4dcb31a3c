package forward

// Links is what is known of this host's links to endpoints.
type Links interface {
	// IsCut reports whether this host has lost them, so that failures show nothing about endpoints.
	IsCut() bool
	// NoneReachable reports whether no endpoint can be reached from any host.
	NoneReachable() bool
	// Settle calls record once it is known that a failure that has just occurred was not caused by the
	// loss of the links, and never if it was.
	Settle(record func())
}

// UseLinks sets what is known of the links to endpoints. It must be called before the first request.
func (f *Forwarder) UseLinks(links Links) { f.links = links }

// soundLinks are links that are never lost.
type soundLinks struct{}

func (soundLinks) IsCut() bool          { return false }
func (soundLinks) NoneReachable() bool  { return false }
func (soundLinks) Settle(record func()) { record() }
