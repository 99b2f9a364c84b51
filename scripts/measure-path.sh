#!/usr/bin/env bash
# Measures the request path: time to first token at 100 requests/s compared with direct calls to the
# engine stand-ins, sustained requests and chunks per second, and resident memory by open streams.
# Usage: scripts/measure-path.sh [latency|throughput|memory]...   (needs a finished build)
set -euo pipefail
cd "$(dirname "$0")/.."
parts=("$@")
[ "${#parts[@]}" -gt 0 ] || parts=(latency throughput memory)
objects=examples/measure
source scripts/lib/stack.sh
write_settings
start_engines 3 --slots 4000 --first-token-ms 20 --token-ms 20 --slowdown 0 --output-median 1000 --output-sigma 0
start_vm
ulimit -n 20000
direct=(--target http://127.0.0.1:18101 --target http://127.0.0.1:18102 --target http://127.0.0.1:18103)
routed=(--target http://127.0.0.1:18080)
load() {
  "$bin/fuchsia-load" --quiet "$@" >"$work/report.json"
  # Top-level members of the report are indented by two spaces.
  awk '
    /^  "(first_token_ms|between_tokens_ms|scheduled_late_ms)": \{/ { block = $1 }
    /^  \}/ { block = "" }
    block != "" && /"(p50|p99|max)"/ { gsub(/[",:]/, ""); line = line " " block " " $1 " " $2 }
    /^  "(requests_per_s|tokens_per_s)"/ { gsub(/[",:]/, ""); line = line " " $1 " " $2 }
    /^    "ok"/ { gsub(/[",:]/, ""); line = line " ok " $2 }
    END { gsub(/[":]/, "", line); print " " line }' "$work/report.json"
}
mix="name=question,kind=chat,token=demo-token-olympia,model=demo,stream=true,max_tokens=20"
for part in "${parts[@]}"; do
  case $part in
    latency)
      for seed in 1 2 3 4 5; do
        echo "== direct, 100 requests/s, seed $seed"
        load "${direct[@]}" --mix "$mix" --rate 100 --duration 5 --seed "$seed"
        echo "== through the router, 100 requests/s, seed $seed"
        load "${routed[@]}" --mix "$mix" --rate 100 --duration 5 --seed "$seed"
      done
      ;;
    throughput)
      for rate in 250 500 1000; do
        echo "== through the router, $rate requests/s of 50 tokens"
        load "${routed[@]}" --mix "${mix/max_tokens=20/max_tokens=50}" --rate "$rate" --duration 8 --threads 2
      done
      ;;
    memory)
      for streams in 100 1000; do
        # Streams of 20 s that all start within 2 s.
        "$bin/fuchsia-load" --quiet "${routed[@]}" --mix "${mix/max_tokens=20/max_tokens=1000}" \
          --rate $((streams / 2)) --duration 2 --arrivals constant --report "$work/memory.json" &
        sleep 4
        threads=$(grep Threads "/proc/$gateway_pid/status")
        echo "== about $streams open streams: $(grep VmRSS "/proc/$gateway_pid/status"), $threads"
        wait $!
      done
      ;;
  esac
done
