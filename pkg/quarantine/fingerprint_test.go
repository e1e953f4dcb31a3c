package quarantine_test

import (
	"testing"

	"ironhollow/pkg/quarantine"
)

// All tries of a request have one fingerprint, and requests that differ in any part
// have others, also where the parts put together read the same.
func TestFingerprintTellsRequestsApart(t *testing.T) {
	type parts struct{ method, target, team, body string }
	of := func(p parts) quarantine.Fingerprint {
		return quarantine.FingerprintOf(p.method, p.target, p.team, []byte(p.body))
	}
	first := parts{"POST", "/a/b", "red", "body"}
	if got, want := of(first), of(first); got != want {
		t.Errorf("two tries: got %v and %v, want the same", got, want)
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
			t.Errorf("%+v: got the fingerprint of %+v, want another", other, first)
		}
	}
}

// A request of a kilobyte is hashed once at its host.
func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1<<10)
	b.SetBytes(int64(len(body)))
	for b.Loop() {
		quarantine.FingerprintOf("POST", "/a/b", "red", body)
	}
}
