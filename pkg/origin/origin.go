// Package origin records at which back end each stream began. What two releases of a back end write
// does not fit together, so a stream that was broken off may continue only at the release that began
// it, also if its caller takes it up at another host. The host that relays a stream sends a record to
// a few others before the first event leaves; a host at which the stream is taken up asks them. A
// record that is lost means that the origin is not known, never that it is another one.
package origin

import (
	"crypto/sha256"
	"time"
)

// Source is the back end at which a stream began.
type Source struct {
	Service string
	// Release is the version of the software of the service's endpoint, empty if it reports none.
	Release string
}

// Key identifies an attempt of a caller.
type Key [12]byte

// KeyOf returns the key of an attempt of a team's callers. They cannot find or change the records of another
// team, whatever IDs they name.
func KeyOf(team, attempt string) Key { return keyOf(team, attempt) }

// KeyOfBearer returns the key of an attempt of the callers with a bearer key. It stays the same if the bearer key
// passes to another team.
func KeyOfBearer(bearer, attempt string) Key {
	digest := sha256.Sum256([]byte(bearer))
	// An attempt's ID has no control characters, so that no key of KeyOf is of the same text.
	return keyOf("", "\x00"+string(digest[:])+"\x00"+attempt)
}

func keyOf(caller, attempt string) Key {
	sum := sha256.Sum256([]byte(caller + "\x00" + attempt))
	return Key(sum[:len(Key{})])
}

// Record is what hosts send each other of a stream.
type Record struct {
	Key    Key
	Source Source
	// Conflicts is set if streams with the same key began at several sources. The key then identifies
	// none of them.
	Conflicts bool
	// Age is the time since the first of them began, Life how much longer the record is kept.
	Age, Life time.Duration
	// Host is the address of the host that relays the stream, or did so last, empty if it is not known. HostAge
	// is the time since it began to.
	Host    string
	HostAge time.Duration
}
