#!/usr/bin/env bash
# Measures the overhead of one entry hop compared with direct calls to the engine.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_all EXIT
mapfile -t ports < <("$bin/ironhollow-standin" ports --count 7)
platform=127.0.0.1:${ports[0]}
seeds=127.0.0.1:${ports[2]}
start platform "$bin/ironhollow-standin" platform --listen "$platform" --list-lag 100ms
wait_for "$platform"
start engine "$bin/ironhollow-standin" engine --platform "$platform" --prefix engine --data-center dc1 --on-demand \
  --token-gap "${TOKEN_GAP:-20us}" --prefill 0 --slots 64 --load-time 10ms
write_entry 1 dc1 "${ports[1]}" "${ports[2]}" "${ports[3]}"
write_control 1 dc1 "${ports[4]}" "${ports[5]}" "${ports[2]}"
start entry-1 "$bin/ironhollow-entry" --settings "$work/entry-1.ini"
start control-1 "$bin/ironhollow-control" --settings "$work/control-1.ini"
wait_for "127.0.0.1:${ports[4]}"
cat >"$work/fleet.ini" <<INI
[service eligibility]
kind = model
model = credit-8b
max-tokens = 128
[team applicants]
keys = $("$bin/ironhollow" keys hash key-applicants)
rate = 100000
burst = 100000
[capacity dc1]
data-center = dc1
class = standard
reclaimable-price = 1
on-demand-price = 3
INI
"$bin/ironhollow" --server "127.0.0.1:${ports[4]}" apply "$work/fleet.ini" >/dev/null
engine=""
for _ in $(seq 100); do
  engine=$("$bin/ironhollow" --server "127.0.0.1:${ports[4]}" status | awk '$1 == "engine-1" && /credit-8b/ {print $NF}')
  [ -n "$engine" ] && break
  sleep 0.1
done
start passthrough "$bin/ironhollow-standin" passthrough --listen "127.0.0.1:${ports[6]}" --to "$engine"
wait_for "127.0.0.1:${ports[6]}"
sleep 2
mkdir -p docs/measurements
"$bin/ironhollow-load" hop --engine "$engine" --passthrough "127.0.0.1:${ports[6]}" --entry "127.0.0.1:${ports[1]}" \
  --admin "127.0.0.1:${ports[3]}" --entry-pid "${pid_of[entry-1]}" --passthrough-pid "${pid_of[passthrough]}" \
  --rounds "${ROUNDS:-5}" --for "${FOR:-3s}" --workers "${WORKERS:-8}" --out "${OUT:-docs/measurements/hop.md}"
