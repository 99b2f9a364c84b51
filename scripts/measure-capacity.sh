#!/usr/bin/env bash
# Measures the cost slopes from which docs/CAPACITY.md is derived and writes docs/capacity/PART.tsv.
#
# Usage: scripts/measure-capacity.sh PART...     (needs a finished build)
#   agents         agent cost as a function of the number of VMs
#   start          requests to the configuration service while a whole fleet starts
#   list           agent cost as a function of the length of the VM list: 8 agents, whose addresses all
#                  entries share
#   configuration  agent cost as a function of the number of teams
#   changes        agent cost as a function of the rate of configuration changes
#   ledgers        scheduler cost as a function of the numbers of VMs and upstreams, pools without load
#                  reports, no requests; then again after one VM has been killed and removed from the
#                  list (settling.tsv)
#   restart        scheduler cost after one of them was killed and started again
#   loans          scheduler cost while one VM borrows from three others
#   full           agent and scheduler cost at the planned size: 1900 teams, 17 pools with 35 upstreams each, and
#                  VM lists of 102 to 820 entries
#   polling        scheduler cost as a function of the number of engines whose load reports it reads
#   detection      time until the other agents suspect a killed one, as a function of the number of VMs
#   decisions      cost and memory of decisions as a function of the number of teams
#   streams        gateway memory as a function of the number of open streams
#   chunks         gateway processor time as a function of the number of relayed chunks
#   keys           agent memory as a function of the number of key records
#
# Bytes are the payload that processes read from their message sockets (/proc/PID/io). Over a whole
# fleet each byte sent is read once, so the mean of the bytes sent is the same. Bytes from the
# configuration service come from its own counter, processor time from /proc/PID/stat, resident memory
# from /proc/PID/status. CAPACITY_PORTS sets the first of 500 ports on 127.0.0.1 (default 25000),
# CAPACITY_SECONDS the length of one measurement (default 15).
set -euo pipefail
cd "$(dirname "$0")/.."
ports=${CAPACITY_PORTS:-25000}
seconds=${CAPACITY_SECONDS:-15}
settle_seconds=${CAPACITY_SETTLE_SECONDS:-8}
bin=$PWD/build/bin
results=$PWD/docs/capacity
work=$(mktemp -d)
pids=()
hz=$(getconf CLK_TCK)
upstream_limit=64
domain_count=7  # of the objects
list_domains=$domain_count  # of the VM list: two agents per domain read the configuration service

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  pids=()
}
trap 'stop_all; rm -rf "$work"' EXIT

start() {
  local log=$1
  shift
  "$@" >"$work/$log.log" 2>&1 &
  pids+=($!)
}

# The last column of every result file is the machine's load average at the end of the measurement.
load_average() { cut -d' ' -f1 /proc/loadavg; }
begin_file() { printf '%s\tload_average\n' "$(tr ' ' '\t' <<<"$2")" >"$results/$1.tsv"; }
add_row() {
  local file=$1
  shift
  printf '%s\t%s\n' "$(tr ' ' '\t' <<<"$*")" "$(load_average)" | tee -a "$results/$file.tsv"
}

# make_objects FOLDER TEAMS KIND POOLS UPSTREAMS_PER_POOL: three tiers, six classes per pool, seven domains.
make_objects() {
  mkdir -p "$1"
  {
    echo "tiers: [{ name: urgent, rank: 0 }, { name: normal, rank: 1 }, { name: batch, rank: 2 }]"
    echo "service_levels: [{ name: fast, first_token_ms: 1300, between_tokens_ms: 74, attainment_per_mille: 950, total_ms: 60000 }]"
    echo "classes:"
    for ((p = 0; p < $4; p++)); do
      for c in urgent normal batch; do
        echo "  - { name: class-$p-$c, tier: $c, service_level: fast, pool: pool-$p, floor_per_mille: 5, max_queue: 40, idempotent: true, retry_budget_per_mille: 100 }"
      done
    done
    echo "pools:"
    for ((p = 0; p < $4; p++)); do
      echo "  - name: pool-$p"
      echo "    kind: $3"
      if [ "$3" = engine ]; then echo "    models: [model-$p]"; fi
      echo "    connect_timeout_ms: 1000"
      echo "    first_byte_timeout_ms: 30000"
      echo "    idle_timeout_ms: 5000"
      echo "    upstreams:"
      for ((u = 0; u < $5; u++)); do
        echo "      - { name: upstream-$p-$u, address: \"127.0.0.1:$((${6:-$((ports + 2000))} + p * $5 + u))\", failure_domain: domain-$((u % domain_count)), limit: $upstream_limit, cold_limit: $upstream_limit }"
      done
    done
    echo "failure_domains:"
    for ((d = 0; d < domain_count; d++)); do
      local others=()
      for ((o = 0; o < domain_count; o++)); do [ "$o" = "$d" ] || others+=("domain-$o"); done
      echo "  - { name: domain-$d, region: region-$((d % 3)), nearest: [$(IFS=,; echo "${others[*]}")] }"
    done
    echo "teams:"
    awk -v teams="$2" 'BEGIN { for (t = 0; t < teams; t++) {
      # The first team has the token demo-token-olympia.
      printf "  - name: team-%04d\n    token_sha256: [%s]\n    default_class: class-0-normal\n", t, \
        t == 0 ? "d673ccd6a49f8fe6c783916397fe82e8dfd33f779316c509b094041b399ccffe" : sprintf("%064x", t + 1)
      printf "    classes: [class-0-urgent, class-0-normal, class-0-batch]\n"
      printf "    guarantees: [{ request_class: class-0-urgent, requests_per_second: 1, burst: 2 }]\n" } }'
  } >"$1/objects.yaml"
}

# write_fleet VMS: settings of agents and schedulers, and the VM list.
write_fleet() {
  head -c 32 /dev/urandom | od -An -tx1 | tr -d ' \n' >"$work/fleet.key"
  echo >>"$work/fleet.key"
  local entries=() i domain
  for ((i = 0; i < $1; i++)); do
    domain=domain-$((i % list_domains))
    entries+=("{\"name\": \"vm$i\", \"failureDomain\": \"$domain\", \"state\": \"VM_STATE_LIVE\",
      \"agentAddress\": \"127.0.0.1:$((ports + i))\", \"schedulerAddress\": \"127.0.0.1:$((ports + 200 + i))\"}")
    cat >"$work/agent$i.yaml" <<YAML
vm: vm$i
failure_domain: $domain
operator_address: 127.0.0.1:$((ports + 100 + i))
mailbox_address: 127.0.0.1:$((ports + i))
config_service_url: http://127.0.0.1:$((ports + 399))
key_file: $work/fleet.key
local_mailboxes: [${with_schedulers:+\"127.0.0.1:$((ports + 200 + i))\"}]
YAML
    cat >"$work/scheduler$i.yaml" <<YAML
vm: vm$i
failure_domain: $domain
operator_address: 127.0.0.1:$((ports + 300 + i))
mailbox_address: 127.0.0.1:$((ports + 200 + i))
agent_address: 127.0.0.1:$((ports + i))
key_file: $work/fleet.key
YAML
  done
  # Further entries reuse the mailbox addresses of the real agents, so that each of these sends and
  # receives as many heartbeats as in a fleet of the size of the list.
  for ((i = $1; i < ${2:-0}; i++)); do
    entries+=("{\"name\": \"vm$i\", \"failureDomain\": \"domain-$((i % list_domains))\", \"state\": \"VM_STATE_LIVE\",
      \"agentAddress\": \"127.0.0.1:$((ports + i % $1))\", \"schedulerAddress\": \"127.0.0.1:$((ports + 200 + i % $1))\"}")
  done
  echo "{\"version\": \"1\", \"vms\": [$(IFS=,; echo "${entries[*]}")]}" >"$work/vms.json"
}

start_agents() {
  start config "$bin/standin-config" --listen "127.0.0.1:$((ports + 399))" --bundle "$work/bundle" --vms "$work/vms.json"
  agents=()
  for ((i = 0; i < $1; i++)); do
    start "agent$i" "$bin/fuchsia-agent" --settings "$work/agent$i.yaml"
    agents+=("${pids[-1]}")
  done
}
start_schedulers() {
  schedulers=()
  for ((i = 0; i < $1; i++)); do
    start "scheduler$i" "$bin/fuchsia-scheduler" --settings "$work/scheduler$i.yaml"
    schedulers+=("${pids[-1]}")
  done
}
wait_adopted() {  # VMS REVISION
  for _ in $(seq 150); do
    [ "$(grep -lF "Revision $2 is adopted." "$work"/agent*.log 2>/dev/null | wc -l)" -ge "$1" ] && return 0
    sleep 0.2
  done
  echo "revision $2 was not adopted by all $1 agents within 30 s" >&2
  return 1
}

ticks() { local p; for p in "$@"; do cut -d' ' -f14,15 "/proc/$p/stat"; done | awk '{ s += $1 + $2 } END { print s }'; }
bytes_read() { local p; for p in "$@"; do grep rchar "/proc/$p/io"; done | awk '{ s += $2 } END { print s }'; }
largest_rss_kb() { local p; for p in "$@"; do grep VmRSS "/proc/$p/status"; done | awk '$2 > m { m = $2 } END { print m }'; }
mean_rss_kb() { local p; for p in "$@"; do grep VmRSS "/proc/$p/status"; done | awk '{ s += $2 } END { printf "%d", s / NR }'; }
messages_sent() {  # VMS
  local i
  for ((i = 0; i < $1; i++)); do curl -s "http://127.0.0.1:$((ports + 100 + i))/status" | grep -o '"sent": *[0-9]*'; done |
    awk -F: '{ s += $2 } END { print s }'
}
service_counter() { curl -s "http://127.0.0.1:$((ports + 399))/counters" | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# sample_agents VMS FILE KEY...: one row with the means of one agent.
sample_agents() {
  local n=$1 file=$2
  shift 2
  local t0 m0 b0 c0 s0 from t1 m1 b1 c1 s1 to
  m0=$(messages_sent "$n"); c0=$(service_counter calls); s0=$(service_counter bytes_sent); b0=$(bytes_read "${agents[@]}"); t0=$(ticks "${agents[@]}"); from=$(date +%s%N)
  run_interval
  b1=$(bytes_read "${agents[@]}"); t1=$(ticks "${agents[@]}"); to=$(date +%s%N); c1=$(service_counter calls); s1=$(service_counter bytes_sent); m1=$(messages_sent "$n")
  add_row "$file" "$*" "$(awk -v n="$n" -v s="$(((to - from) / 1000000))" -v t=$((t1 - t0)) -v m=$((m1 - m0)) \
    -v b=$((b1 - b0)) -v c=$((c1 - c0)) -v v=$((s1 - s0)) -v hz="$hz" \
    'BEGIN { s /= 1000; printf "%.2f %.0f %.4f %.2f %.0f", m / n / s, b / n / s, 100 * t / hz / n / s, c / s, v / s }')" \
    "$(mean_rss_kb "${agents[@]}")" "$(largest_rss_kb "${agents[@]}")"
}
run_interval() { sleep "$seconds"; }
agent_columns="messages_per_s bytes_per_s core_percent service_calls_per_s service_bytes_per_s mean_rss_kb largest_rss_kb"

measure_agents() {
  begin_file agents "vms $agent_columns"
  make_objects "$work/objects" 10 service 1 4
  "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null
  for n in 4 8 16 32 64; do
    write_fleet "$n"
    start_agents "$n"
    wait_adopted "$n" 1
    sleep "$settle_seconds"
    sample_agents "$n" agents "$n"
    stop_all
    rm -f "$work"/*.log
  done
}

# Calls to the configuration service from the start of the fleet until 5 s after every agent has adopted
# the revision.
measure_start() {
  begin_file start "vms calls busiest_second service_bytes adopted_everywhere_after_s"
  make_objects "$work/objects" 10 service 1 4
  "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null 2>&1
  for n in 16 32 64 100; do
    write_fleet "$n"
    local from=$(date +%s%N) took
    start_agents "$n"
    wait_adopted "$n" 1
    took=$((($(date +%s%N) - from) / 1000000))
    sleep 5
    add_row start "$n" "$(service_counter calls)" "$(service_counter most_calls_in_a_second)" \
      "$(service_counter bytes_sent)" "$(awk -v t="$took" 'BEGIN { printf "%.1f", t / 1000 }')"
    stop_all
    rm -f "$work"/*.log
  done
}

measure_list() {
  begin_file list "listed $agent_columns"
  make_objects "$work/objects" 10 service 1 4
  "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null 2>&1
  for listed in 32 64 128 256 410 820; do
    write_fleet 8 "$listed"
    start_agents 8
    wait_adopted 8 1
    sleep "$settle_seconds"
    sample_agents 8 list "$listed"
    stop_all
    rm -f "$work"/*.log
  done
}

measure_configuration() {
  begin_file configuration "teams bundle_bytes $agent_columns"
  for teams in 10 100 1900; do
    make_objects "$work/objects" "$teams" service 17 35
    "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null
    write_fleet 8
    start_agents 8
    wait_adopted 8 1
    sleep "$settle_seconds"
    sample_agents 8 configuration "$teams" "$(stat -c %s "$work/bundle")"
    stop_all
    rm -f "$work"/*.log
  done
}

# Publishes a revision every $change_pause seconds while a measurement runs.
publish_during() {
  local until=$(($(date +%s) + seconds))
  while [ "$(date +%s)" -lt "$until" ]; do
    if [ "$change_pause" = none ]; then sleep 1; continue; fi
    revision=$((revision + 1))
    cp "$work/rendered.$revision" "$work/next"
    mv "$work/next" "$work/bundle"
    sleep "$change_pause"
  done
}
measure_changes() {
  begin_file changes "pause_s published bundle_bytes $agent_columns"
  make_objects "$work/objects" 1900 service 17 35
  for ((revision = 1; revision <= seconds + 2; revision++)); do
    "$bin/fuchsiactl" render "$work/objects" --revision "$revision" --output "$work/rendered.$revision" >/dev/null 2>&1
  done
  list_domains=1
  run_interval() { publish_during; }
  for change_pause in none 5 2 1; do
    cp "$work/rendered.1" "$work/bundle"
    revision=1
    write_fleet 8
    start_agents 8
    wait_adopted 8 1
    sleep "$settle_seconds"
    # The number of published revisions is only known after the measurement and replaces PUBLISHED.
    sample_agents 8 changes "$change_pause" PUBLISHED "$(stat -c %s "$work/bundle")" >/dev/null
    sed -i "s/PUBLISHED/$((revision - 1))/" "$results/changes.tsv"
    tail -1 "$results/changes.tsv"
    stop_all
    rm -f "$work"/*.log
  done
  run_interval() { sleep "$seconds"; }
  list_domains=$domain_count
}

# Data segments and payload bytes of the connections to the schedulers' mailboxes; a message is one segment.
scheduler_links() {
  ss -tinH state established dst 127.0.0.1 2>/dev/null | awk -v lo=$((ports + 200)) -v hi=$((ports + 299)) '
    /127\.0\.0\.1:/ { split($4, d, ":"); is_mailbox = d[2] >= lo && d[2] <= hi; next }
    is_mailbox { for (i = 1; i <= NF; i++) { split($i, f, ":")
        if (f[1] == "bytes_sent") b += f[2]
        if (f[1] == "data_segs_out") m += f[2] }
      is_mailbox = 0 }
    END { printf "%d %d\n", m, b }'
}
sample_schedulers() {  # VMS FILE KEY...
  local n=$1 file=$2 t0 l0 from t1 l1 to b0 b1
  shift 2
  l0=$(scheduler_links); b0=$(bytes_read "${schedulers[@]}"); t0=$(ticks "${schedulers[@]}"); from=$(date +%s%N)
  sleep "$seconds"
  b1=$(bytes_read "${schedulers[@]}"); t1=$(ticks "${schedulers[@]}"); to=$(date +%s%N); l1=$(scheduler_links)
  add_row "$file" "$*" "$(awk -v n="$n" -v s="$(((to - from) / 1000000))" -v t=$((t1 - t0)) -v a="$l0" -v b="$l1" \
    -v r=$((b1 - b0)) -v hz="$hz" 'BEGIN { s /= 1000; split(a, x, " "); split(b, y, " ")
      printf "%.2f %.0f %.0f %.3f", (y[1] - x[1]) / n / s, (y[2] - x[2]) / n / s, r / n / s, 100 * t / hz / n / s }')" \
    "$(mean_rss_kb "${schedulers[@]}")"
}
scheduler_columns="received_messages_per_s received_link_bytes_per_s read_bytes_per_s core_percent mean_rss_kb"

# Kills the last VM, removes it from the list and measures the others before they may use its share.
sample_settling() {  # VMS UPSTREAMS
  local left=$(($1 - 1)) i in_force=0
  kill -9 "${agents[$left]}" "${schedulers[$left]}"
  write_fleet "$left"
  sed -i 's/"version": "1"/"version": "2"/' "$work/vms.json"
  sleep "$settle_seconds"
  schedulers=("${schedulers[@]:0:$left}")
  for ((i = 0; i < left; i++)); do
    if curl -s "http://127.0.0.1:$((ports + 300 + i))/status" | grep '"shares_in_force": *true' >/dev/null; then
      in_force=$((in_force + 1))
    fi
  done
  sample_schedulers "$left" settling "$left" "$2"
  # Adds the number of schedulers whose shares were in force at the start of the measurement.
  awk -F'\t' -v OFS='\t' -v f="$in_force" 'NR > 1 && NF == 8 { $8 = f "\t" $8 } { print }' "$results/settling.tsv" >"$work/settling"
  cp "$work/settling" "$results/settling.tsv"
}

measure_ledgers() {
  begin_file ledgers "vms upstreams $scheduler_columns"
  begin_file settling "vms upstreams $scheduler_columns in_force_of"
  with_schedulers=1
  for pools in ${CAPACITY_POOLS:-1 4 17}; do
    make_objects "$work/objects" 10 service "$pools" 16
    "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null
    for n in ${CAPACITY_VMS:-2 4 8}; do
      write_fleet "$n"
      start_agents "$n"
      start_schedulers "$n"
      wait_adopted "$n" 1
      sleep "$settle_seconds"
      sample_schedulers "$n" ledgers "$n" $((pools * 16))
      if [ "$n" -ge 4 ]; then sample_settling "$n" $((pools * 16)); fi
      stop_all
      rm -f "$work"/*.log
    done
  done
  with_schedulers=
}

# Kills and restarts the scheduler of one VM whose shares were in force and measures all of them.
measure_restart() {
  begin_file restart "vms upstreams in_force_before_restart own_in_force_after_s $scheduler_columns"
  with_schedulers=1
  for pools in 1 4 17; do
    make_objects "$work/objects" 10 service "$pools" 16
    "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null 2>&1
    write_fleet 4
    start_agents 4
    start_schedulers 4
    wait_adopted 4 1
    sleep 10
    local before=0 i from after=never
    shares_in_force() { curl -s "http://127.0.0.1:$((ports + 300 + $1))/status" | grep '"shares_in_force": *true' >/dev/null; }
    for i in 0 1 2 3; do if shares_in_force "$i"; then before=$((before + 1)); fi; done
    kill -9 "${schedulers[3]}"
    sleep 1
    start scheduler3b "$bin/fuchsia-scheduler" --settings "$work/scheduler3.yaml"
    schedulers[3]=${pids[-1]}
    from=$(date +%s%N)
    sleep 5
    sample_schedulers 4 restart 4 $((pools * 16)) "$before" OWN
    while [ $((($(date +%s%N) - from) / 1000000)) -lt "${CAPACITY_RESTART_MS:-25000}" ]; do
      if shares_in_force 3; then after=$((($(date +%s%N) - from) / 1000000000)); break; fi
      sleep 0.2
    done
    sed -i "s/OWN/$after/" "$results/restart.tsv"
    stop_all
    rm -f "$work"/*.log
  done
  with_schedulers=
}

# One of four VMs receives all requests. They need 80% of the fleet's credits, so it borrows most of them.
measure_loans() {
  begin_file loans "vms upstreams borrowed_before borrowed_after $scheduler_columns"
  with_schedulers=1
  upstream_limit=16
  for engines in 4 8 16; do
    make_objects "$work/objects" 10 engine 1 "$engines" $((ports + 400))
    "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null 2>&1
    for ((e = 0; e < engines; e++)); do
      start "engine$e" "$bin/standin-engine" --listen "127.0.0.1:$((ports + 400 + e))" --model model-0 --seed "$e" \
        --slots 64 --first-token-ms 20 --token-ms 50 --slowdown 0 --output-median 400 --output-sigma 0
    done
    write_fleet 4
    cat >"$work/gateway0.yaml" <<YAML
vm: vm0
failure_domain: domain-0
listen_address: 127.0.0.1:$((ports + 480))
operator_address: 127.0.0.1:$((ports + 481))
mailbox_address: 127.0.0.1:$((ports + 482))
scheduler_address: 127.0.0.1:$((ports + 200))
agent_address: 127.0.0.1:$((ports))
key_file: $work/fleet.key
YAML
    start_agents 4
    start_schedulers 4
    start gateway0 "$bin/fuchsia-gateway" --settings "$work/gateway0.yaml"
    wait_adopted 4 1
    sleep 10
    "$bin/fuchsia-load" --quiet --target "http://127.0.0.1:$((ports + 480))" --rate "$(awk -v e="$engines" 'BEGIN { print e * 16 * 0.8 / 20 }')" \
      --mix "name=stream,kind=chat,token=demo-token-olympia,model=model-0,stream=true,max_tokens=400" --duration 34 \
      --arrivals constant --report "$work/report.json" &
    local load_pid=$! before after
    borrowed() { curl -s "http://127.0.0.1:$((ports + 300))/status" | grep -o '"borrowed": *[0-9]*' | awk -F: '{ s += $2 } END { print s + 0 }'; }
    sleep 22
    before=$(borrowed)
    sample_schedulers 4 loans 4 "$engines" "$before" AFTER
    after=$(borrowed)
    sed -i "s/AFTER/$after/" "$results/loans.tsv"
    tail -1 "$results/loans.tsv"
    wait "$load_pid" || true
    grep -A6 '"outcomes"' "$work/report.json" | head -7
    stop_all
    rm -f "$work"/*.log
  done
  upstream_limit=64
  with_schedulers=
}

# Four VMs at the planned size: 1900 teams, 17 pools with 35 upstreams each, and VM lists of 102 to 820
# entries. The other members do not exist, so no view of the shares comes into force; in this state the
# ledgers send the most messages.
measure_full() {
  begin_file full "listed upstreams $scheduler_columns"
  begin_file full_agents "listed $agent_columns"
  with_schedulers=1
  make_objects "$work/objects" 1900 service 17 35
  "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null 2>&1
  for listed in 102 205 410 820; do
    write_fleet 4 "$listed"
    start_agents 4
    start_schedulers 4
    wait_adopted 4 1
    sleep "$settle_seconds"
    sample_schedulers 4 full "$listed" 595
    sample_agents 4 full_agents "$listed"
    stop_all
    rm -f "$work"/*.log
  done
  with_schedulers=
}

measure_polling() {
  begin_file polling "engines $scheduler_columns"
  with_schedulers=1
  for engines in 4 16 48; do
    make_objects "$work/objects" 10 engine 1 "$engines" $((ports + 400))
    "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null
    for ((e = 0; e < engines; e++)); do
      start "engine$e" "$bin/standin-engine" --listen "127.0.0.1:$((ports + 400 + e))" --model model-0 --seed "$e"
    done
    write_fleet 1
    start_agents 1
    start_schedulers 1
    wait_adopted 1 1
    sleep "$settle_seconds"
    sample_schedulers 1 polling "$engines"
    stop_all
    rm -f "$work"/*.log
  done
  with_schedulers=
}

measure_detection() {
  begin_file detection "vms first_s last_s suspecting"
  make_objects "$work/objects" 10 service 1 4
  "$bin/fuchsiactl" render "$work/objects" --revision 1 --output "$work/bundle" >/dev/null
  for n in 8 32 64; do
    write_fleet "$n"
    start_agents "$n"
    wait_adopted "$n" 1
    sleep 15
    local victim=${agents[$((n - 1))]} from first='' count=0 last=0
    # SIGKILL, because an agent that stops on SIGTERM announces that it is leaving.
    kill -9 "$victim"
    from=$(date +%s%N)
    while [ $((($(date +%s%N) - from) / 1000000)) -lt 30000 ]; do
      local now_count
      now_count=$(grep -lF "The agent of vm$((n - 1)) is suspected." "$work"/agent*.log 2>/dev/null | wc -l || true)
      if [ "$now_count" -gt "$count" ]; then
        count=$now_count
        last=$((($(date +%s%N) - from) / 1000000))
        first=${first:-$last}
      fi
      [ "$count" -lt $((n - 1)) ] || break
      sleep 0.1
    done
    add_row detection "$n" "$(awk -v f="${first:-0}" -v l="$last" 'BEGIN { printf "%.1f %.1f", f / 1000, l / 1000 }')" "$count"
    stop_all
    rm -f "$work"/*.log
  done
}

measure_decisions() {
  begin_file decisions "teams queued offer_p50_us offer_p99_us next_p50_us next_p99_us preemption_p99_us update_ms memory_mb"
  "$bin/decision-bench" --cost >"$work/decisions.txt"
  tail -n +2 "$work/decisions.txt" | while read -r line; do
    # shellcheck disable=SC2086  # squeezes blanks
    add_row decisions "$(echo ${line//\// })"
  done
}

# Starts one VM with engines on this script's ports instead of those in scripts/lib/stack.sh.
start_stack() {  # ENGINE_OPTION...
  local shift_to=$((ports / 1000))
  mkdir -p "$work/stack-objects"
  sed "s/127\.0\.0\.1:18/127.0.0.1:$shift_to/" examples/measure/objects.yaml >"$work/stack-objects/objects.yaml"
  # Without membership_floor, the agents of a new fleet wait for an earlier VM list that no agent holds.
  echo "membership_floor: 1" >>"$work/stack-objects/objects.yaml"
  sed -e "s/127\.0\.0\.1:18/127.0.0.1:$shift_to/g" -e '/^work=/d; /^pids=/d; /^trap /d; /^stop_all()/,/^}/d; /^start()/,/^}/d' \
    -e "s/key_retention_ms: .*/${stack_agent_settings:-&}/" scripts/lib/stack.sh >"$work/stack.sh"
  objects=$work/stack-objects
  # shellcheck source=scripts/lib/stack.sh
  source "$work/stack.sh"
  write_settings
  start_engines 3 "$@"
  start service "$bin/standin-service" --listen "127.0.0.1:${shift_to}111"
  start_vm
  gateway=$gateway_pid
  agent=${pids[-3]}
  target=http://127.0.0.1:${shift_to}080
}
stream="name=question,kind=chat,token=demo-token-olympia,model=demo,stream=true"

measure_streams() {
  begin_file streams "streams gateway_rss_kb gateway_threads"
  ulimit -n 20000
  start_stack --slots 4000 --first-token-ms 20 --token-ms 20 --slowdown 0 --output-median 500 --output-sigma 0
  add_row streams 0 "$(largest_rss_kb "$gateway")" "$(awk '/Threads/ { print $2 }' "/proc/$gateway/status")"
  for streams in 50 100 300 600 1000; do
    "$bin/fuchsia-load" --quiet --target "$target" --mix "$stream,max_tokens=500" --rate $((streams / 2)) --duration 2 \
      --arrivals constant --report "$work/report.json" &
    local load_pid=$!
    sleep 5
    add_row streams "$streams" "$(largest_rss_kb "$gateway")" "$(awk '/Threads/ { print $2 }' "/proc/$gateway/status")"
    wait "$load_pid"
  done
  stop_all
}

measure_chunks() {
  begin_file chunks "requests_per_s chunks_per_s gateway_core_percent scheduler_core_percent agent_core_percent"
  ulimit -n 20000
  start_stack --slots 4000 --first-token-ms 20 --token-ms 20 --slowdown 0 --output-median 320 --output-sigma 0
  local scheduler=${pids[-2]}
  for rate in 2 5 10 20; do
    "$bin/fuchsia-load" --quiet --target "$target" --mix "$stream,max_tokens=320" --rate "$rate" --duration 24 \
      --arrivals constant --report "$work/report.json" &
    local load_pid=$! g0 s0 a0 from to c0 c1
    sleep 9
    engine_tokens() { for e in 1 2 3; do curl -s "http://127.0.0.1:$((ports / 1000))10$e/counters" | grep -o '"tokens[a-z_]*":[0-9]*' | head -1 | cut -d: -f2; done | awk '{ s += $1 } END { print s + 0 }'; }
    c0=$(engine_tokens); g0=$(ticks "$gateway"); s0=$(ticks "$scheduler"); a0=$(ticks "$agent"); from=$(date +%s%N)
    sleep 13
    c1=$(engine_tokens); to=$(date +%s%N)
    add_row chunks "$rate" "$(awk -v c=$((c1 - c0)) -v g=$(($(ticks "$gateway") - g0)) -v s=$(($(ticks "$scheduler") - s0)) \
      -v a=$(($(ticks "$agent") - a0)) -v t=$((to - from)) -v hz="$hz" \
      'BEGIN { t /= 1e9; printf "%.0f %.2f %.2f %.2f", c / t, 100 * g / hz / t, 100 * s / hz / t, 100 * a / hz / t }')"
    wait "$load_pid"
  done
  stop_all
}

measure_keys() {
  begin_file keys "records agent_rss_kb agent_core_percent claims_per_s"
  ulimit -n 20000
  # A new agent takes part in claims after one retention window plus the longest time that an older VM
  # list may have been in use. Records must not expire during the measurement.
  stack_agent_settings='key_retention_ms: 45000\nclock_error_ms: 100\nheartbeat_interval_ms: 200\nsuspicion_timeout_ms: 1000'
  start_stack --slots 4000
  local records from to t0 before=0
  sleep 60
  add_row keys 0 "$(largest_rss_kb "$agent")" 0 0
  for count in 2000 4000 8000 16000; do
    t0=$(ticks "$agent"); from=$(date +%s%N)
    "$bin/fuchsia-load" --quiet --target "$target" --rate 600 --count $((count - before)) --duration 60 --seed "$count" --threads 2 \
      --mix "name=redemption,kind=service,token=demo-token-olympia,class=redemption,method=POST,path=/services/redemption-api/redeem,keys=uuid7" \
      --report "$work/report.json" || true
    to=$(date +%s%N)
    local used=$(($(ticks "$agent") - t0))
    sleep 1.5
    records=$(curl -s "http://127.0.0.1:$((ports / 1000))083/status" | grep -o '"held": *[0-9]*' | grep -o '[0-9]*$')
    add_row keys "$records" "$(largest_rss_kb "$agent")" "$(awk -v u="$used" -v t=$((to - from)) -v n=$((records - before)) -v hz="$hz" \
      'BEGIN { t /= 1e9; printf "%.2f %.0f", 100 * u / hz / t, n / t }')"
    before=$count
  done
  stop_all
}

[ $# -gt 0 ] || { sed -n '4,23p' "$0"; exit 2; }
mkdir -p "$results"
for part in "$@"; do
  case $part in
    agents | start | list | configuration | changes | ledgers | restart | loans | full | polling | detection | decisions | streams | chunks | keys) "measure_$part" ;;
    *) echo "unknown part $part" >&2; exit 2 ;;
  esac
done
