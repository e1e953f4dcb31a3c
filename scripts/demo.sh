#!/usr/bin/env bash
# Demonstrates ironhollow's guarantees on a fleet of local processes.
# FLEET=authority|head-office, SIZE=small|full.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_all EXIT

fleet=${FLEET:-authority}
size=${SIZE:-small}
names_of "$fleet"
case $size in
  small) hosts=3 engines=(2 2 1 1) plains=(1 1 0 0) ;;
  full) hosts=9 engines=(5 5 4 4) plains=(1 1 1 1) ;;
  *) echo "SIZE: got $size, valid: small, full" >&2; exit 2 ;;
esac

start_fleet
echo "ironhollow demonstration: $fleet, $hosts hosts with an entry and a control process each, 4 data centres"
"$bin/ironhollow" --server "$servers" apply "examples/$fleet.ini"
if ! "$bin/ironhollow-load" demo --fleet "$fleet" --entries "$entries" --admins "$admins" --platform "$platform"; then
  echo "last lines of the processes' logs:" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
fi

if [ "$size" = full ]; then
  echo "rolling replacement of all $hosts hosts under load:"
  "$bin/ironhollow-load" run --fleet "$fleet" --entries "$entries" --admins "$admins" --short 40 --long 2 --once 40 --for 30s >"$work/load.out" 2>&1 &
  load=$!
  pids+=("$load")
  sleep 2
  # Replace three hosts at a time, each in a different data centre.
  for first in 1 4 7; do
    for i in $first $((first + 1)) $((first + 2)); do (stop_host "$i") & done
    wait $(jobs -p | grep -v "^$load$")
    for i in $first $((first + 1)) $((first + 2)); do start_host "$i"; done
    sleep 2
  done
  if ! wait "$load"; then
    cat "$work/load.out" >&2
    tail -q -n 3 "$work"/entry-*.log >&2
    exit 1
  fi
  cat "$work/load.out"
  echo "All $hosts hosts were replaced; no request was interrupted."
fi
