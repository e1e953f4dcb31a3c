#!/usr/bin/env bash
# Fails if a comment in a package listed in prose-packages.txt uses a term listed in
# prose.txt, and prints the replacement.
set -euo pipefail
cd "$(dirname "$0")/.."
found=0
mapfile -t packages < <(grep -v '^#' scripts/prose-packages.txt)
for package in "${packages[@]}"; do
  [[ -d $package ]] || { echo "scripts/prose-packages.txt: no such directory: $package" >&2; exit 1; }
done
while IFS=$'\t' read -r term instead; do
  [[ -z $term || $term == \#* ]] && continue
  # Generated files and quoted wire names are ignored.
  if grep -nHE --include='*.go' -r "(^|[[:space:]])//.*(^|[^[:alnum:]_\"])($term)([^[:alnum:]_\"]|$)" "${packages[@]}" | grep -v '_gen\.go:'; then
    echo "  use: $instead" >&2
    found=1
  fi
done <scripts/prose.txt
exit "$found"
