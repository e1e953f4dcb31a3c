// Package quarantine knows requests by what they ask, over all their tries and hosts, and
// which of them end the endpoints that run them. It does no I/O; times are passed in.
package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
)

// fingerprintBytes are kept of a hash: so many that nobody finds a request with the
// fingerprint of another's, and so few that a datagram holds many.
const fingerprintBytes = 12

// Fingerprint is the same for all tries of a request, at every host: those with the
// same method, target, team and body. What a try says of itself otherwise, as its id
// and the time it has left, differs from one to the next.
type Fingerprint [fingerprintBytes]byte

// FingerprintOf returns the fingerprint of a request; target is path and query as the
// caller sent them, team is empty for none.
func FingerprintOf(method, target, team string, body []byte) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(method), []byte(target), []byte(team), body} {
		// Lengths keep the parts apart.
		h.Write(binary.AppendUvarint(nil, uint64(len(part))))
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:fingerprintBytes])
}

// String returns the fingerprint as log lines and rows have it.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// ParseFingerprint reads what String returns.
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
