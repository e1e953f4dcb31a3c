package quarantine_test

import (
	"testing"

	"ironhollow/pkg/quarantine"
)

// All attempts of a request have the same fingerprint. Requests that differ in any part have
// different ones, also if the concatenation of the parts is equal.
func TestFingerprintDistinguishesRequests(t *testing.T) {
	type parts struct{ method, target, team, body string }
	of := func(p parts) quarantine.Fingerprint {
		return quarantine.FingerprintOf(p.method, p.target, p.team, []byte(p.body))
	}
	first := parts{"POST", "/a/b", "red", "body"}
	if got, want := of(first), of(first); got != want {
		t.Errorf("two attempts: got %v and %v, want equal fingerprints", got, want)
	}
	for _, other := range []parts{
		{"PUT", "/a/b", "red", "body"},
		{"POST", "/a/b?c", "red", "body"},
		{"POST", "/a/b", "", "body"},
		{"POST", "/a/b", "red", "body "},
		{"POST", "/a/bre", "d", "body"},
		{"POST", "/a/b", "redb", "ody"},
	} {
		if of(other) == of(first) {
			t.Errorf("%+v: got the fingerprint of %+v, want a different one", other, first)
		}
	}
}

// BenchmarkFingerprint hashes a request of 1 KiB, which a host does once per request.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		quarantine.FingerprintOf("POST", "/a/b", "red", body)
	}
}
