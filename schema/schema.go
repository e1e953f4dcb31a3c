// Package schema carries the JSON schemas of settings and messages, so that a
// binary checks its files against the same text its structs were generated from.
package schema

import _ "embed" // The schemas are part of the binaries.

// Fleet is the schema of the configuration operators apply.
//
//go:embed fleet.json
var Fleet []byte

// Entry is the schema of the settings of ironhollow-entry.
//
//go:embed entry.json
var Entry []byte

// Control is the schema of the settings of ironhollow-control.
//
//go:embed control.json
var Control []byte
