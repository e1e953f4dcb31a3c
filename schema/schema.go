// Package schema embeds the JSON schemas of the configuration and the settings, so
// that a binary validates its files against the schemas its structs were generated from.
package schema

import _ "embed" // For go:embed.

// Fleet is the schema of the configuration that operators apply.
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
