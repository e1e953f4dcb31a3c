package upstream

import (
	"net"
	"time"
)

// UserTimeout is how long sent bytes may be unacknowledged on a connection to an endpoint. Linux also
// closes a connection with it once a keep-alive probe is unanswered and nothing has been received for
// that long, whatever the number of probes. An endpoint may be silent for 2 s and then continue: it must
// exceed the time to the first probe, 2 s of silence and the part of a second until the next probe.
// With 3 s and a first probe after 2 s, a silence of little more than 1 s closed connections on which
// responses were due.
const UserTimeout = 3500 * time.Millisecond

// KeepAlive returns the keep-alive probes on connections to endpoints. Linux ignores the count because
// of UserTimeout. The first probe comes after 1 s, so that a lost endpoint is detected after 4 s: a
// stream can still be resumed before its caller gives it up.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 4}
}
