#!/usr/bin/env bash
# Reclaims two data centres in turn under the same load, with the default policy
# and with the naive one, and prints how many tokens each recomputed.
set -euo pipefail
cd "$(dirname "$0")/.."
out=docs/measurements/wave.md
mkdir -p docs/measurements

run() (
  . scripts/fleet.sh
  trap stop_all EXIT
  fleet=${FLEET:-authority}
  names_of "$fleet"
  hosts=4 engines=(4 4 4 4) plains=(1 1 1 1)
  start_fleet
  sed -e "s/^route = .*/route = $1/" -e "s/^reclaim = .*/reclaim = $2/" "examples/$fleet.ini" >"$work/fleet.ini"
  "$bin/ironhollow" --server "$servers" apply "$work/fleet.ini" >/dev/null
  "$bin/ironhollow-load" demo --fleet "$fleet" --entries "$entries" --admins "$admins" --platform "$platform" --only-ready >/dev/null
  "$bin/ironhollow-load" run --fleet "$fleet" --entries "$entries" --admins "$admins" --short 40 --long 8 --long-tokens 1500 --once 20 --for 24s --allow-cuts >"$work/load.out" 2>&1 &
  load=$!
  pids+=("$load")
  for centre in "${centres[0]}" "${centres[1]}"; do
    sleep 7
    curl -s -o /dev/null -X POST "http://$platform/standin/reclaim" -d "{\"data_center\":\"$centre\",\"notice_ms\":1000}"
  done
  if ! wait "$load"; then cat "$work/load.out" >&2; exit 1; fi
  for admin in ${admins//,/ }; do curl -s "http://$admin/metrics"; done | awk -v name="route = $1, reclaim = $2" '
    /^ironhollow_stream_tokens_total/ {tokens += $2}
    /^ironhollow_stream_recomputed_tokens_total/ {again += $2}
    /^ironhollow_stream_moved_total/ {moved += $2}
    /^ironhollow_stream_broken_total/ {broken += $2}
    END {printf "| %s | %d | %d | %.2f %% | %d | %d |", name, tokens, again, 100 * again / tokens, moved, broken}'
  awk '$2 == "stream" {printf " %s %s | %s %s |\n", $9, $10, $11, $12}' "$work/load.out"
)

{
  echo "# Reclaims on running processes"
  echo
  echo "Made by \`make bench-wave\`: 4 hosts, 16 engines, two data centres reclaimed in turn with 1 s notice, the same requests"
  echo "(seed 1) with each policy. Tokens computed again are the entries' estimate when a stream is resumed."
  echo
  echo "| policy | tokens | computed again | share | streams moved | attempts broken off | first token p50 | p99 |"
  echo "|---|---|---|---|---|---|---|---|"
  run expected plan
  run naive naive
} >"$out"
cat "$out"
