#!/usr/bin/env bash
# Draws one SVG per slope from docs/capacity/*.tsv into docs/capacity/, with the least-squares line.
# Usage: scripts/plot-capacity.sh      (needs awk only)
set -euo pipefail
cd "$(dirname "$0")/../docs/capacity"

# plot FILE X Y TITLE [FILTER_COLUMN FILTER_VALUE]: columns by name. Prints the line's slope and intercept.
plot() {
  [ -s "$1.tsv" ] || return 0
  awk -F'\t' -v x="$2" -v y="$3" -v title="$4" -v fc="${5:-}" -v fv="${6:-}" -v out="$1-$3${6:+-$6}.svg" -v file="$1" '
    NR == 1 { for (i = 1; i <= NF; i++) col[$i] = i; next }
    fc != "" && $(col[fc]) != fv { next }
    { n++; px[n] = $(col[x]) + 0; py[n] = $(col[y]) + 0
      if (px[n] > mx) mx = px[n]; if (py[n] > my) my = py[n]
      sx += px[n]; sy += py[n]; sxx += px[n] ^ 2; sxy += px[n] * py[n] }
    END {
      d = n * sxx - sx ^ 2
      if (n < 2 || d == 0) exit
      slope = (n * sxy - sx * sy) / d; base = (sy - slope * sx) / n
      printf "%-14s %-26s %-8s n=%d slope %.5g intercept %.5g\n", file, y, fv, n, slope, base
      if (my == 0) my = 1
      w = 480; h = 300; l = 70; b = 50; t = 30; r = 20
      printf "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n", w, h > out
      printf "<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/><text x=\"%d\" y=\"18\">%s</text>\n", l, title > out
      printf "<path d=\"M%d %dV%dH%d\" fill=\"none\" stroke=\"black\"/>\n", l, t, h - b, w - r > out
      for (i = 0; i <= 4; i++) {
        gx = l + (w - l - r) * i / 4; gy = h - b - (h - b - t) * i / 4
        printf "<text x=\"%.0f\" y=\"%d\" text-anchor=\"middle\">%.4g</text>\n", gx, h - b + 16, mx * i / 4 > out
        printf "<text x=\"%d\" y=\"%.0f\" text-anchor=\"end\">%.4g</text>\n", l - 6, gy + 4, my * i / 4 > out
      }
      printf "<text x=\"%d\" y=\"%d\" text-anchor=\"middle\">%s</text>\n", (w + l) / 2, h - 10, x > out
      y1 = base; y2 = base + slope * mx; x1 = 0; x2 = mx
      if (y1 < 0) { x1 = -base / slope; y1 = 0 }
      if (y2 > my) { x2 = (my - base) / slope; y2 = my }
      printf "<line x1=\"%.1f\" y1=\"%.1f\" x2=\"%.1f\" y2=\"%.1f\" stroke=\"gray\"/>\n", l + (w - l - r) * x1 / mx, \
        h - b - (h - b - t) * y1 / my, l + (w - l - r) * x2 / mx, h - b - (h - b - t) * y2 / my > out
      for (i = 1; i <= n; i++)
        printf "<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\" fill=\"steelblue\"/>\n", l + (w - l - r) * px[i] / mx, \
          h - b - (h - b - t) * py[i] / my > out
      print "</svg>" > out
    }' "$1.tsv"
}

for measure in messages_per_s bytes_per_s core_percent mean_rss_kb service_calls_per_s; do
  plot agents vms "$measure" "agents: $measure over VMs"
  plot configuration bundle_bytes "$measure" "agents: $measure over bytes of the bundle"
  plot changes published "$measure" "agents: $measure over published revisions"
done
for measure in received_messages_per_s received_link_bytes_per_s core_percent mean_rss_kb; do
  for vms in 2 4 8; do plot ledgers upstreams "$measure" "schedulers, $vms VMs: $measure over upstreams" vms "$vms"; done
done
for measure in read_bytes_per_s core_percent mean_rss_kb; do
  plot polling engines "$measure" "scheduler: $measure over polled engines"
done
for measure in messages_per_s bytes_per_s core_percent mean_rss_kb; do
  plot list listed "$measure" "agents: $measure over listed VMs"
done
for measure in received_link_bytes_per_s core_percent mean_rss_kb; do
  for vms in 3 7; do plot settling upstreams "$measure" "unsettled ledgers, $vms VMs: $measure over upstreams" vms "$vms"; done
  plot restart upstreams "$measure" "after a restart: $measure over upstreams"
  plot loans borrowed_after "$measure" "loans: $measure over borrowed credits"
  plot full listed "$measure" "schedulers, 595 upstreams: $measure over listed VMs"
done
plot start vms calls "calls to the service while a fleet starts, over VMs"
plot configuration teams bundle_bytes "bytes of the bundle over teams"
plot decisions teams next_p99_us "p99 of one dispatch in us over teams"
plot decisions teams update_ms "policy update in ms over teams"
plot detection vms last_s "last suspicion of a killed agent in s over VMs"
plot streams streams gateway_rss_kb "gateway: resident KB over open streams"
plot chunks chunks_per_s gateway_core_percent "gateway: percent of a core over chunks/s"
plot chunks chunks_per_s scheduler_core_percent "scheduler: percent of a core over chunks/s"
plot keys records agent_rss_kb "agent: resident KB over key records"
plot decisions teams memory_mb "decisions: MB over teams"
plot router_cost replicas ledgers_kib "ledgers: KiB over replicas" subset 16
plot router_cost replicas router_kib "router: KiB over replicas" subset 16
