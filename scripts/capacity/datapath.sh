#!/usr/bin/env bash
# Measures CPU per leaf call of an entry host and of owners on six processes on loopback, over query
# widths and rates. Writes docs/capacity/datapath.tsv. Takes about 3 minutes; at most 12 processes.
# One host gets all queries, so that the other five are owners only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../cluster.sh"
source "$here/deployment.sh"
WORK=$(mktemp -d)
trap 'stop_cluster; rm -rf "$WORK"' EXIT
output=$root/docs/capacity/datapath.tsv
seconds=${SECONDS_PER_RUN:-6}
read -ra widths <<<"${WIDTHS:-4 20 80 320}"
read -ra call_rates <<<"${CALL_RATES:-500 1000 2000 3000 8000}"

# CPU time of a process in units of 1/100 s.
cpu_of() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/${PID[$1]}/stat"; }
started_on() { curl -s "http://${HTTP[$1]}/metrics" | awk '$1 == "berylreach_leaf_calls_started" {print $2}'; }
rss_of() { awk '/^VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }

snapshot() {
  local host
  for host in "${HOSTS[@]}"; do echo "$host $(cpu_of "$host") $(started_on "$host")"; done
}

# measure SHARDS RATE: one row of the table.
measure() {
  snapshot >"$WORK/before"
  load "$2" "$seconds" >"$WORK/load.json"
  snapshot >"$WORK/after"
  paste -d' ' "$WORK/before" "$WORK/after" | awk -v shards="$1" -v rate="$2" -v seconds="$seconds" \
    -v idle="$idle" -v entry_rss="$(rss_of "${HOSTS[0]}")" -v load="$(jq -r \
      '[.sent, .whole, .partial, .refused, .p50_ms, .p99_ms] | @tsv' "$WORK/load.json")" '
    { cpu = ($5 - $2) * 10 - idle * seconds; calls = $6 - $3; all += calls }
    NR == 1 { entry_cpu = cpu; entry_own = calls; next }
    { owner_cpu += cpu; owner_calls += calls }
    END {
      owner = owner_calls ? owner_cpu * 1000 / owner_calls : 0
      entry = all ? (entry_cpu * 1000 - entry_own * owner) / all : 0
      printf "%d\t%g\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\n", shards, rate, all, entry, owner, idle,
        entry_own, entry_rss, load
    }'
}

printf 'shards\tqueries/s\tleaf_calls\tentry_us/call\towner_us/call\tidle_ms/s\tentry_owned_calls\tentry_rss_kb\tsent\twhole\tpartial\trefused\tp50_ms\tp99_ms\n' >"$output"
for shards in "${widths[@]}"; do
  start_deployment "$shards"
  warm_up
  sleep 2
  snapshot >"$WORK/before"
  sleep 5
  snapshot >"$WORK/after"
  # CPU time in ms per second of a host without queries, the mean of six.
  idle=$(paste -d' ' "$WORK/before" "$WORK/after" | awk '{ sum += ($5 - $2) * 10 } END { print sum / NR / 5 }')
  for calls in "${call_rates[@]}"; do
    # At most 40% of the slots are busy at a service time of 2 ms.
    ((calls <= shards * 800)) || continue
    measure "$shards" "$(awk -v c="$calls" -v s="$shards" 'BEGIN { print c / s }')" | tee -a "$output"
  done
  stop_cluster
done
