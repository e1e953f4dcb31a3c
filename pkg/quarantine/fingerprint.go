// Package quarantine identifies requests by their content, over all attempts and hosts, and
// blocks those that crash the endpoints that run them. It does no I/O but log lines; times
// are passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes is the length of the truncated hash: long enough that nobody can construct
// a request with the fingerprint of another one, and short enough that a datagram holds many.
const fingerprintBytes = 12

// Fingerprint identifies a request by its method, target, team and body. It is the same for
// all attempts at every host; other properties, such as the request id and the remaining
// time, differ between attempts.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request. target is the path and query as sent
// by the caller; team is empty if there is none.
func FingerprintOf(method, target, team string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), []byte(team), body} {
		// The length prefix makes the concatenation unambiguous.
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// String returns the hexadecimal form that log lines and rows use.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint parses the form that String returns.
func ParseFingerprint(text string) (Fingerprint, error) {
	decoded, err := hex.DecodeString(text)
	if err != nil {
		return Fingerprint{}, fmt.Errorf("poison: fingerprint %q: %w", text, err)
	}
	if len(decoded) != fingerprintBytes {
		return Fingerprint{}, fmt.Errorf("poison: fingerprint %q: %d bytes, %d are wanted", text, len(decoded), fingerprintBytes)
	}
	return Fingerprint(decoded), nil
}
