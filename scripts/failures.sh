#!/usr/bin/env bash
# Injects the failures named in the requirements into a fleet of local processes under
# load, and checks every answer and how often every call ran.
set -euo pipefail
cd "$(dirname "$0")/.."
. scripts/fleet.sh
trap stop_all EXIT
fleet=${FLEET:-authority}
names_of "$fleet"
operators=()
hosts=6 engines=(3 3 3 3) plains=(1 1 1 1)
start_fleet
"$bin/ironhollow" --server "$servers" apply "examples/$fleet.ini"
"$bin/ironhollow-load" demo --fleet "$fleet" --entries "$entries" --admins "$admins" --platform "$platform" --only-ready

post() { curl -s -o /dev/null -X POST "http://$platform/standin/$1" -d "$2"; }
say() { echo "  $(date +%T) $*"; }

"$bin/ironhollow-load" run --fleet "$fleet" --entries "$entries" --admins "$admins" --short 30 --long 2 --once 30 --for 45s --allow-cuts >"$work/load.out" 2>&1 &
load=$!
pids+=("$load")
sleep 3
say "entry 1 is killed (SIGKILL)"
kill -KILL "${pid_of[entry-1]}"
sleep 6
say "data centre ${centres[0]} is reclaimed with 2 s notice; entry 2 is killed during the reclaim"
post reclaim "{\"data_center\":\"${centres[0]}\",\"notice_ms\":2000}"
sleep 1
kill -KILL "${pid_of[entry-2]}"
sleep 5
say "the table service and the object store are down for 5 s"
post store '{"kind":"down"}'
sleep 5
post store '{"kind":"none"}'
sleep 4
say "control 3 is stopped (SIGSTOP) for 7 s, longer than its leases; hosts 1 and 2 are restarted"
kill -STOP "${pid_of[control-3]}"
kill -KILL "${pid_of[control-1]}" "${pid_of[control-2]}"
start_host 1
start_host 2
sleep 7
kill -CONT "${pid_of[control-3]}"
say "the store is slow, 300 ms a call, while data centre ${centres[1]} is reclaimed"
post store '{"kind":"slow","delay_ms":300}'
post reclaim "{\"data_center\":\"${centres[1]}\",\"notice_ms\":2000}"
sleep 6
post store '{"kind":"none"}'
say "two operators apply conflicting revisions at the same time"
for operator in 1 2; do
  sed "s/^burst = .*/burst = 70$operator/" "examples/$fleet.ini" >"$work/operator-$operator.ini"
  ("$bin/ironhollow" --server "$servers" apply "$work/operator-$operator.ini" --seen 1 >"$work/race-$operator" 2>&1 || true) &
  operators+=($!)
done
wait "${operators[@]}"
sed 's/^/    /' "$work/race-1" "$work/race-2"
status=0
wait "$load" || status=$?
cat "$work/load.out"
if [ "$status" != 0 ]; then
  tail -q -n 4 "$work"/entry-*.log >&2
  exit "$status"
fi
echo "Every answer was complete and every call got a correct outcome."
