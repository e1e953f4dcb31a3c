#!/usr/bin/env bash
# Shows ironhollow's promises on a fleet of plain processes.
# FLEET=authority|head-office, SIZE=small|full.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_all EXIT

fleet=${FLEET:-authority}
size=${SIZE:-small}
case $fleet in
  authority) centres=(north east south west) plain=ledger ;;
  head-office) centres=(hall-a hall-b hall-c hall-d) plain=lobby ;;
  *) echo "FLEET: got $fleet, valid: authority, head-office" >&2; exit 2 ;;
esac
case $size in
  small) hosts=3 engines=(2 2 1 1) plains=(1 1 0 0) ;;
  full) hosts=9 engines=(5 5 4 4) plains=(1 1 1 1) ;;
  *) echo "SIZE: got $size, valid: small, full" >&2; exit 2 ;;
esac

mapfile -t ports < <("$bin/ironhollow-standin" ports --count $((1 + 5 * hosts)))
platform=127.0.0.1:${ports[0]}
seeds=""
for i in $(seq 0 $((hosts < 3 ? hosts - 1 : 2))); do
  seeds+="${seeds:+, }127.0.0.1:${ports[$((1 + 5 * i + 1))]}"
done

start platform "$bin/ironhollow-standin" platform --listen "$platform" --list-lag 1s
wait_for "$platform"
for c in 0 1 2 3; do
  start "engines-$c" "$bin/ironhollow-standin" engine --platform "$platform" --prefix "engine-${centres[$c]}" \
    --data-center "${centres[$c]}" --count "${engines[$c]}" --token-gap 5ms --slots 32
  [ "${plains[$c]}" = 0 ] || start "plain-$c" "$bin/ironhollow-standin" service --platform "$platform" \
    --prefix "$plain-${centres[$c]}" --data-center "${centres[$c]}" --service "$plain" --count "${plains[$c]}" --on-demand
done

entries="" admins="" servers=""
for i in $(seq "$hosts"); do
  at=$((1 + 5 * (i - 1)))
  centre=${centres[$(((i - 1) % 4))]}
  write_entry "$i" "$centre" "${ports[$at]}" "${ports[$((at + 1))]}" "${ports[$((at + 2))]}"
  write_control "$i" "$centre" "${ports[$((at + 3))]}" "${ports[$((at + 4))]}" "${ports[$((at + 1))]}"
  start "entry-$i" "$bin/ironhollow-entry" --settings "$work/entry-$i.ini"
  start "control-$i" "$bin/ironhollow-control" --settings "$work/control-$i.ini"
  entries+="${entries:+,}127.0.0.1:${ports[$at]}"
  admins+="${admins:+,}127.0.0.1:${ports[$((at + 2))]}"
  servers+="${servers:+,}127.0.0.1:${ports[$((at + 3))]}"
done
wait_for "${servers%%,*}"
echo "ironhollow demonstration: $fleet, $hosts hosts with an entry and a control process each, 4 data centres"
"$bin/ironhollow" --server "$servers" apply "examples/$fleet.ini"
if ! "$bin/ironhollow-load" demo --fleet "$fleet" --entries "$entries" --admins "$admins" --platform "$platform"; then
  echo "last lines of the processes' logs:" >&2
  tail -n 5 "$work"/*.log >&2
  exit 1
fi

# stop_host and start_host are a planned stop and a start of one host.
stop_host() {
  kill -TERM "${pid_of[entry-$1]}" "${pid_of[control-$1]}"
  while kill -0 "${pid_of[entry-$1]}" 2>/dev/null; do sleep 0.05; done
}
start_host() {
  start "entry-$1" "$bin/ironhollow-entry" --settings "$work/entry-$1.ini"
  start "control-$1" "$bin/ironhollow-control" --settings "$work/control-$1.ini"
}

if [ "$size" = full ]; then
  echo "rolling replacement of all $hosts hosts under load:"
  "$bin/ironhollow-load" run --fleet "$fleet" --entries "$entries" --admins "$admins" --short 40 --long 2 --once 40 --for 30s >"$work/load.out" 2>&1 &
  load=$!
  pids+=("$load")
  sleep 2
  # Three at a time, one in each of three data centres.
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
  echo "All $hosts hosts were replaced; no request was cut off."
fi
