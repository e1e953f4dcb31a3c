# Functions that start a fleet of plain processes on the loopback; sourced by
# the demonstration and the benchmarks. Every process is ended by its id.

bin=${BIN:-bin}
work=$(mktemp -d)
pids=()
declare -A pid_of

# stop_all ends what was started, and nothing else.
stop_all() {
  local pid
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
  [ -n "${KEEP:-}" ] || rm -rf "$work"
}

# start NAME COMMAND... runs a process with its output in a file.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pid_of[$name]=$!
  pids+=($!)
  disown $!
}

# wait_for URL waits until something answers there.
wait_for() {
  local i
  for i in $(seq 200); do
    if (exec 3<>"/dev/tcp/${1%:*}/${1#*:}") 2>/dev/null; then return 0; fi
    sleep 0.05
  done
  echo "nothing answers at $1" >&2
  return 1
}

# write_entry N DATA_CENTRE CALLER PEER ADMIN writes an entry's settings.
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

# write_control N DATA_CENTRE OPERATOR ADMIN PEER writes a control's settings.
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
