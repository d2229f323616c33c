#!/usr/bin/env bash
# Measures CPU per leaf call of an entry host and of owners on six processes on loopback, over query
# widths and rates. Writes docs/capacity/datapath.tsv. Takes about 3 minutes; at most 12 processes.
# One host gets all queries, so that the other five are owners only.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../cluster.sh"
source "$here/deployment.sh"
source "$here/measure.sh"
WORK=$(mktemp -d)
trap 'kill_cluster; rm -rf "$WORK"' EXIT
output=$root/docs/capacity/datapath.tsv
seconds=${SECONDS_PER_RUN:-6}
read -ra widths <<<"${WIDTHS:-4 20 80 320}"
read -ra call_rates <<<"${CALL_RATES:-500 1000 2000 3000 8000}"

printf "$measure_header" >"$output"
for shards in "${widths[@]}"; do
  start_deployment "$shards"
  warm_up
  sleep 2
  measure_idle 5
  for calls in "${call_rates[@]}"; do
    # At most 40% of the slots are busy at a service time of 2 ms.
    ((calls <= shards * 800)) || continue
    measure "$shards" "$(awk -v c="$calls" -v s="$shards" 'BEGIN { print c / s }')" "$seconds" |
      tee -a "$output"
  done
  kill_cluster
done
