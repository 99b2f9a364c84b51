# Functions that start the programs of one VM and their stand-ins. Sourced by other scripts, which first
# set `objects` to a folder of objects.
#
# The stand-ins listen on 127.0.0.1:18101 and up (engines), 18111 (service) and 18120 (configuration
# service); callers reach the gateway at 18080, operators the programs at 18081 to 18083.

bin=$PWD/build/bin
work=$(mktemp -d)
pids=()

stop_all() {
  # The gateway was started last and is stopped first, so that requests in flight can finish.
  for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
    kill "${pids[$i]}" 2>/dev/null || true
    wait "${pids[$i]}" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

write_settings() {
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/fleet.key"
  echo >>"$work/fleet.key"
  "$bin/fuchsiactl" render "$objects" --revision 1 --output "$work/bundle"
  cat >"$work/vms.json" <<JSON
{"version": "1", "vms": [{"name": "vm1", "failureDomain": "zone-a", "agentAddress": "127.0.0.1:18203",
 "schedulerAddress": "127.0.0.1:18202", "state": "VM_STATE_LIVE"}]}
JSON
  cat >"$work/gateway.yaml" <<YAML
vm: vm1
failure_domain: zone-a
listen_address: 127.0.0.1:18080
operator_address: 127.0.0.1:18081
mailbox_address: 127.0.0.1:18201
scheduler_address: 127.0.0.1:18202
agent_address: 127.0.0.1:18203
key_file: $work/fleet.key
YAML
  cat >"$work/scheduler.yaml" <<YAML
vm: vm1
failure_domain: zone-a
operator_address: 127.0.0.1:18082
mailbox_address: 127.0.0.1:18202
agent_address: 127.0.0.1:18203
key_file: $work/fleet.key
YAML
  cat >"$work/agent.yaml" <<YAML
vm: vm1
failure_domain: zone-a
operator_address: 127.0.0.1:18083
mailbox_address: 127.0.0.1:18203
config_service_url: http://127.0.0.1:18120
key_file: $work/fleet.key
local_mailboxes: ["127.0.0.1:18201", "127.0.0.1:18202"]
# An agent starts without key records and refuses opaque keys for this long.
key_retention_ms: 2000
heartbeat_interval_ms: 50
clock_error_ms: 100
YAML
}

# start_engines COUNT OPTION...
start_engines() {
  local count=$1
  shift
  for ((i = 1; i <= count; i++)); do
    start "engine-$i" "$bin/standin-engine" --listen "127.0.0.1:1810$i" --model demo --seed "$i" "$@"
  done
}

start_vm() {
  start config "$bin/standin-config" --listen 127.0.0.1:18120 --bundle "$work/bundle" --vms "$work/vms.json"
  start agent "$bin/fuchsia-agent" --settings "$work/agent.yaml"
  start scheduler "$bin/fuchsia-scheduler" --settings "$work/scheduler.yaml"
  start gateway "$bin/fuchsia-gateway" --settings "$work/gateway.yaml"
  gateway_pid=${pids[-1]}
  for _ in $(seq 100); do
    curl -sf http://127.0.0.1:18081/readyz >/dev/null && return 0
    sleep 0.1
  done
  echo "The gateway did not become ready within 10 s; last log lines:"
  tail -n 5 "$work"/*.log
  exit 1
}
