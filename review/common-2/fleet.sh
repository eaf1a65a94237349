# Starts a small deployment for the scripts of this review: the project's stand-in for the platform
# and its runners (standins/fleet), and nodes with the deploy file's command. Sourced by run.sh.
# Everything listens on loopback addresses that this run picks; files are in a temporary folder, and
# all processes are ended by their ids.

case_folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case_folder/../.." && pwd)
tools=$root/target/review-2
node_program=$root/target/apps/papayafieldd/papayafieldd
record=$case_folder/record.txt
trouble=${TROUBLE:-1}
folder=$(mktemp -d)
processes=()
# The third number differs between runs, so that two runs do not meet.
network=127.$((RANDOM % 200 + 20)).$((RANDOM % 250 + 1))
platform=$network.200:8225
: > "$record"

finish() {
  local id
  for id in "${processes[@]}"; do
    kill -CONT "$id" 2>/dev/null
    kill -KILL "$id" 2>/dev/null
    wait "$id" 2>/dev/null
  done
  rm -rf "$folder"
}
trap finish EXIT

note() { printf '%s %s\n' "$(date +%T.%3N)" "$*" | tee -a "$record"; }

# Ends the script because the case could not run.
give_up() { note "could not run: $*"; exit 2; }

control() { # NAME JSON
  printf '%s' "$2" > "$folder/control.json"
  "$tools/callers" post "$platform" "/control/$1" "$folder/control.json"
}

start_platform() { # RUNNERS
  [ -x "$node_program" ] || give_up "the deploy file's build is missing"
  [ -x "$tools/standin_fleet" ] || give_up "review/build-2.sh has not run"
  "$tools/standin_fleet" --listen "$platform" --runners "$1" > "$folder/standin.log" 2>&1 &
  processes+=($!)
  local i
  for ((i = 0; i < 50; i++)); do
    "$tools/callers" get "$platform" /control/report > /dev/null && break
    sleep 0.1
  done
  control configuration "$(cat "$root/review/common-2/configuration.json")" > /dev/null || give_up "no platform"
}

# Starts node NUMBER (from 1) and waits until it is ready. Sets node_id, front, directory and ready.
start_node() {
  local host=$network.$1 settings=$folder/node-$1.toml
  front=$host:8221 ready=$host:8224 directory=$host:8220
  cat > "$settings" <<TOML
node_name = "edge-a-$1"
role = "node"
machine_class = "edge"
serves = ["edge", "registry", "control_plane"]
ip = "$host"
zone = "a"
region = "r"
internal_ports = [7600, 7615]
seeds = ["$network.1:8229"]
bootstrap = true
loss_counts = false
discovery = "platform"
entry = "registry"
heartbeat_ms = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants", "quota", "leader", "platform"]
[zones]
a = "r"
[listen]
front = "$front"
ready = "$ready"
control = "$host:8229"
directory = "$directory"
[limits]
cpu_share = 0.25
cpu_cores = 1
memory_mb = 260
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
contact_ms = 3000
drain_ms = 2000
config_ms = 2000
grace_s = 8
retry_ratio = 0.2
retry_window_s = 10
retry_slack = 58
quota_window_s = 8
quota_overrun = 0.1
quota_slack = 110000
fencing = true
lease_ms = 3000
usage_window_s = 5
usage_error = 0.05
usage_late_s = 10
ttl_max_s = 5
[platform]
address = "$platform"
form = "kv"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
[cloud]
address = "$platform"
rate_per_s = 50.0
duties = ["metering", "autoscale"]
duties_per_s = 50.0
TOML
  PAPAYAFIELD_CONFIG=$settings "$node_program" --platform --metrics-port 9464 > "$folder/node-$1.log" 2>&1 &
  node_id=$!
  processes+=("$node_id")
  local i
  for ((i = 0; i < 100; i++)); do
    [ "$("$tools/callers" get "$ready" /-/readyz | cut -c1-3)" = 200 ] && return
    sleep 0.1
  done
  give_up "node $1 does not become ready"
}

# Prints the highest resident memory of a process in KiB.
peak_kib() { sed -n 's/^VmHWM:[^0-9]*\([0-9]*\).*/\1/p' "/proc/$1/status"; }
