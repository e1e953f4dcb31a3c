#!/usr/bin/env bash
# Fails if committed generated code differs from the output of the generators.
# Usage: scripts/check-generated.sh TOOL_DIR
set -euo pipefail
cd "$(dirname "$0")/.."
tools=$1
before=$(mktemp -d)
trap 'rm -rf "$before"' EXIT
mapfile -t files < <(find pkg -name '*_gen.go')
for f in "${files[@]}"; do mkdir -p "$before/$(dirname "$f")"; cp "$f" "$before/$f"; done
schema/generate.sh "$tools"
"$tools/wire" ./pkg/app/entry ./pkg/app/control ./pkg/app/node >/dev/null 2>&1
status=0
for f in "${files[@]}"; do cmp -s "$f" "$before/$f" || { echo "out of date: $f" >&2; status=1; }; done
exit $status
