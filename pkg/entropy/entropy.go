// Package entropy provides randomness that need not be reproducible, for jitter and shuffles. Code
// that makes decisions takes its random source as an argument instead.
package entropy

import "math/rand/v2"

// Rand uses the random source of the runtime and is safe for concurrent use.
var Rand = rand.New(source{})

type source struct{}

// Uint64 returns 64 random bits.
func (source) Uint64() uint64 { return rand.Uint64() }
