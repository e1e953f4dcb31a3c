// Package entropy is randomness that need not be repeatable: jitter and
// shuffles. Decisions take their source as an argument instead.
package entropy

import "math/rand/v2"

// Rand draws from the runtime's own source and is safe for concurrent use.
var Rand = rand.New(source{})

type source struct{}

// Uint64 returns random bits.
func (source) Uint64() uint64 { return rand.Uint64() }
