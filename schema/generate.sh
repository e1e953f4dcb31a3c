#!/usr/bin/env bash
# Generates Go structs from all schemas. Usage: schema/generate.sh TOOL_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$1
generate() { # schema package-dir
  mkdir -p "$2"
  "$tools/go-jsonschema" -p "$(basename "$2")" --only-models --tags json,cbor -t \
    --disable-omitzero --capitalization ID --capitalization TLS "schema/$1.json" -o "$2/schema_gen.go"
}
generate fleet pkg/fleet/fleetschema
generate entry pkg/settings/entryschema
generate control pkg/settings/controlschema
generate peer pkg/peer/peerschema
