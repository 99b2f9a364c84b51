#!/usr/bin/env bash
# Measures how long a published configuration takes to be in force on every VM of a fleet on loopback.
#
# Usage: apps/agent/measure_rollout.sh [VMS [CHANGES [READERS_PER_DOMAIN]]]     (8, 50 and 2 if not given)
#
# Each VM has an agent and a gateway; a change counts as in force on a VM when its gateway has
# applied it. Prints the times of all changes, the calls to the configuration service and the agents' use of
# CPU and memory. Needs a finished build. Uses ports 21000 to 21399 on 127.0.0.1.
set -euo pipefail
cd "$(dirname "$0")/../.."
vms=${1:-8}
changes=${2:-50}
readers=${3:-2}
bin=$PWD/build/bin
work=$(mktemp -d)
pids=()
stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ "${KEEP_LOGS:-}" = 1 ]; then echo "logs: $work"; else rm -rf "$work"; fi
}
trap stop_all EXIT

head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/fleet.key"
echo >>"$work/fleet.key"
"$bin/fuchsiactl" render examples/demo --revision 1 --output "$work/bundle" >/dev/null
entries=()
for ((i = 0; i < vms; i++)); do
  entries+=("{\"name\": \"vm$i\", \"failureDomain\": \"zone-$((i % 4))\", \"state\": \"VM_STATE_LIVE\",
    \"agentAddress\": \"127.0.0.1:$((21000 + i))\", \"schedulerAddress\": \"127.0.0.1:$((21300 + i))\"}")
  cat >"$work/agent$i.yaml" <<YAML
vm: vm$i
failure_domain: zone-$((i % 4))
operator_address: 127.0.0.1:$((21100 + i))
mailbox_address: 127.0.0.1:$((21000 + i))
config_service_url: http://127.0.0.1:21399
key_file: $work/fleet.key
local_mailboxes: ["127.0.0.1:$((21200 + i))"]
readers_per_domain: $readers
clock_error_ms: 100
YAML
  cat >"$work/gateway$i.yaml" <<YAML
vm: vm$i
failure_domain: zone-$((i % 4))
listen_address: 127.0.0.1:$((21260 + i))
operator_address: 127.0.0.1:$((21230 + i))
mailbox_address: 127.0.0.1:$((21200 + i))
scheduler_address: 127.0.0.1:$((21300 + i))
agent_address: 127.0.0.1:$((21000 + i))
key_file: $work/fleet.key
YAML
done
echo "{\"version\": \"1\", \"vms\": [$(IFS=,; echo "${entries[*]}")]}" >"$work/vms.json"

start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}
counter() { curl -s http://127.0.0.1:21399/counters | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }
# Number of gateways that have applied revision $1.
in_force() { grep -lF "Revision $1 is in force." "$work"/gateway*.log 2>/dev/null | wc -l || true; }
wait_for() {  # revision, start in ns; prints ms
  while [ "$(in_force "$1")" -lt "$vms" ]; do
    if [ $((($(date +%s%N) - $2) / 1000000)) -gt 30000 ]; then
      echo "revision $1 is in force on $(in_force "$1") of $vms VMs after 30 s" >&2
      return 1
    fi
    sleep 0.005
  done
  echo $((($(date +%s%N) - $2) / 1000000))
}

start config "$bin/standin-config" --listen 127.0.0.1:21399 --bundle "$work/bundle" --vms "$work/vms.json"
begin=$(date +%s%N)
agents=()
for ((i = 0; i < vms; i++)); do
  start "agent$i" "$bin/fuchsia-agent" --settings "$work/agent$i.yaml"
  agents+=($!)
  start "gateway$i" "$bin/fuchsia-gateway" --settings "$work/gateway$i.yaml"
done
echo "first configuration on $vms VMs: $(wait_for 1 "$begin") ms after the start"
calls_before=$(counter calls)
cpu_before=$(for pid in "${agents[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}')
measured_from=$(date +%s%N)
for ((revision = 2; revision <= changes + 1; revision++)); do
  "$bin/fuchsiactl" render examples/demo --revision "$revision" --output "$work/next" >/dev/null
  published=$(date +%s%N)
  mv "$work/next" "$work/bundle"
  wait_for "$revision" "$published" >>"$work/times"
  sleep "0.$((RANDOM % 9 + 1))"
done
seconds=$((($(date +%s%N) - measured_from) / 1000000000))
cpu_after=$(for pid in "${agents[@]}"; do awk '{print $14 + $15}' "/proc/$pid/stat"; done | awk '{s += $1} END {print s}')
sort -n "$work/times" | awk -v n="$changes" '{t[NR] = $1} END {
  printf "%d changes, publication to last gateway: median %d ms, worst %d ms\n", n, t[int((NR + 1) / 2)], t[NR]}'
calls=$(($(counter calls) - calls_before))
echo "$calls calls to the service in $seconds s ($(awk -v c="$calls" -v s="$seconds" 'BEGIN {printf "%.1f", c / s}')/s), $(counter most_calls_in_a_second) in the busiest second since the start"
awk -v t="$((cpu_after - cpu_before))" -v s="$seconds" -v v="$vms" -v hz="$(getconf CLK_TCK)" \
  'BEGIN {printf "agents: %.2f%% of a core each\n", 100 * t / hz / s / v}'
for pid in "${agents[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$pid/status"; done |
  sort -n | tail -1 | awk '{printf "largest agent: %.1f MB resident\n", $1 / 1024}'
