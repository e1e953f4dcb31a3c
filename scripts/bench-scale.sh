#!/usr/bin/env bash
# Measures fleets of increasing size, run as local processes on the loopback interface.
# SIZES lists the numbers of entry hosts; each host also runs a control process.
set -euo pipefail
cd "$(dirname "$0")/.."
sizes=${SIZES:-3 9 30 100}
bin=${BIN:-bin}
out=docs/measurements/scale.jsonl
mkdir -p docs/measurements
[ -n "${APPEND:-}" ] || rm -f "$out"

# measure SIZE measures one fleet. It runs in a subshell so that its exit trap stops the
# processes of that size.
measure() (
  . scripts/fleet.sh
  trap stop_all EXIT
  hosts=$1
  endpoints=$((hosts * 1900 / 420))
  centres=$((hosts < 19 ? (hosts < 4 ? hosts : 4) : 19))
  mapfile -t ports < <("$bin/ironhollow-standin" ports --count $((1 + 5 * hosts)))
  platform=127.0.0.1:${ports[0]}
  seeds="127.0.0.1:${ports[2]}"
  "$bin/ironhollow" keys new "$work/keys" --address 127.0.0.1 >/dev/null
  start platform "$bin/ironhollow-standin" platform --listen "$platform" --list-lag 1s
  wait_for "$platform"
  for c in $(seq "$centres"); do
    start "engines-$c" "$bin/ironhollow-standin" engine --platform "$platform" --prefix "e$c" --data-center "dc$c" \
      --count $(((endpoints + centres - 1) / centres)) --load-time 10ms
  done
  cp examples/authority.ini "$work/fleet.ini"
  sed -i '/^\[capacity/,/^$/d' "$work/fleet.ini"
  for c in $(seq "$centres"); do
    printf '\n[capacity dc%d]\ndata-center = dc%d\nclass = standard\nreclaimable-price = 1\non-demand-price = 3\n' "$c" "$c" >>"$work/fleet.ini"
  done
  entries="" admins="" controls="" control_admins="" entry_pids="" control_pids=""
  for i in $(seq "$hosts"); do
    at=$((1 + 5 * (i - 1)))
    SHARDS=$((hosts < 64 ? 16 : 64))
    write_entry "$i" "dc$((1 + (i - 1) % centres))" "${ports[$at]}" "${ports[$((at + 1))]}" "${ports[$((at + 2))]}"
    write_control "$i" "dc$((1 + (i - 1) % centres))" "${ports[$((at + 3))]}" "${ports[$((at + 4))]}" "${ports[$((at + 1))]}"
    # Use the default intervals instead of the shorter ones of write_control.
    sed -i -e '/^lease\|^renew\|^watch\|^hosts\|^reports/d' "$work/control-$i.ini"
    for file in "$work/entry-$i.ini" "$work/control-$i.ini"; do
      printf '[tls]\npeer-cert = %s\npeer-key = %s\npeer-ca = %s\n' "$work/keys/peer.pem" "$work/keys/peer-key.pem" "$work/keys/ca.pem" >>"$file"
    done
    start "entry-$i" "$bin/ironhollow-entry" --settings "$work/entry-$i.ini"
    entry_pids+="${entry_pids:+,}${pid_of[entry-$i]}"
    start "control-$i" "$bin/ironhollow-control" --settings "$work/control-$i.ini"
    control_pids+="${control_pids:+,}${pid_of[control-$i]}"
    admins+="${admins:+,}127.0.0.1:${ports[$((at + 2))]}"
    controls+="${controls:+,}127.0.0.1:${ports[$((at + 3))]}"
    control_admins+="${control_admins:+,}127.0.0.1:${ports[$((at + 4))]}"
  done
  wait_for "${controls%%,*}"
  "$bin/ironhollow" --server "$controls" apply "$work/fleet.ini" >/dev/null
  "$bin/ironhollow-load" scale --admins "$admins" --entry-pids "$entry_pids" --controls "$controls" \
    --control-admins "$control_admins" --control-pids "$control_pids" --platform "$platform" --victim e1-1 \
    --config "$work/fleet.ini" --out "$out" --settle "${SETTLE:-20s}" --window "${WINDOW:-20s}" \
    --endpoints $(((endpoints + centres - 1) / centres * centres))
  tail -n 1 "$out"
)

for size in $sizes; do
  echo "measuring $size hosts ..."
  measure "$size"
done
"$bin/ironhollow-load" scale-report --in "$out" --out docs/measurements
