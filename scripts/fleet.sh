# Functions that start a fleet of local processes on the loopback interface; sourced by
# the demonstrations and the benchmarks. Processes are only ever killed by process id.

bin=${BIN:-bin}
work=$(mktemp -d)
pids=()
declare -A pid_of

# stop_all kills only the processes that start has started, and removes the work
# directory unless KEEP is set.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}

# start NAME COMMAND... runs a process in the background, with its output in $work/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
  disown $!
}

# wait_for ADDRESS waits about 10 s at most until ADDRESS accepts TCP connections.
wait_for() {
  local i
  for i in $(seq 200); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "$1 does not accept connections" >&2
  return 1
}

# write_entry N DATA_CENTRE CALLER PEER ADMIN writes the settings of an entry process.
write_entry() {
  cat >"$work/entry-$1.ini" <<INI
[node]
id = n$1
data-center = $2
caller-address = 127.0.0.1:$3
peer-address = 127.0.0.1:$4
admin-address = 127.0.0.1:$5
seeds = $seeds
[platform]
table = $platform
objects = $platform
[drain]
notice = ${DRAIN_NOTICE:-3s}
INI
}

# write_control N DATA_CENTRE OPERATOR ADMIN PEER writes the settings of a control process,
# with shorter intervals than the defaults.
write_control() {
  cat >"$work/control-$1.ini" <<INI
[node]
id = n$1
data-center = $2
operator-address = 127.0.0.1:$3
admin-address = 127.0.0.1:$4
entries = 127.0.0.1:$5, $seeds
[platform]
table = $platform
cloud = $platform
host-list = $platform
[shards]
count = ${SHARDS:-16}
lease = 4s
renew = 1s
watch = 200ms
hosts = 800ms
reports = 2s
INI
}

# start_fleet starts the simulated platform, engines and services, and the hosts. It reads
# centres, plain, hosts, engines and plains, and sets platform, entries, admins and servers.
start_fleet() {
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
}

# stop_host N stops host N gracefully and waits until its entry process has exited;
# start_host N starts both processes of host N.
stop_host() {
  kill -TERM "${pid_of[entry-$1]}" "${pid_of[control-$1]}"
  while kill -0 "${pid_of[entry-$1]}" 2>/dev/null; do sleep 0.05; done
}
start_host() {
  start "entry-$1" "$bin/ironhollow-entry" --settings "$work/entry-$1.ini"
  start "control-$1" "$bin/ironhollow-control" --settings "$work/control-$1.ini"
}

# names_of FLEET sets the data centres and the plain service of an example fleet.
names_of() {
  case $1 in
    authority) centres=(north east south west) plain=ledger ;;
    head-office) centres=(hall-a hall-b hall-c hall-d) plain=lobby ;;
    *) echo "FLEET: got $1, valid: authority, head-office" >&2; exit 2 ;;
  esac
}
