#!/usr/bin/env bash
# Measures leaf calls per query, counted at the leaf stand-ins, and CPU time per leaf call of the hosts
# on six processes on loopback, over rates of order-desk queries to all hosts. Prints one table row for
# each rate. Takes about a minute; 9 processes.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
# shellcheck source=../cluster.sh
source "$here/../cluster.sh"
WORK=$(mktemp -d)
DOCUMENT=$root/examples/remmevaerk.json
trap 'kill_cluster; rm -rf "$WORK"' EXIT
seconds=${SECONDS_PER_RUN:-8}
read -ra rates <<<"${RATES:-10 40 80}"

# CPU time of all hosts in units of 1/100 s.
cpu_of_hosts() {
  local host
  for host in "${HOSTS[@]}"; do sed 's/.*) //' "/proc/${PID[$host]}/stat"; done |
    awk '{ sum += $12 + $13 } END { print sum }'
}

# Queries that the leaves of the order desk have started.
started_at_leaves() {
  local address
  for address in $(leaf_addresses '.service == "order-desk"'); do control "$address"; done |
    jq -s 'map(.started.query // 0) | add'
}

# load RATE SECONDS
load() {
  "$bin/benchmarks/berylreach-load" --hosts="$(IFS=,; echo "${HTTP[*]}")" --queries="$1" --lookups=0 \
    --seconds="$2" >"$WORK/load.json"
}

start_cluster
load 20 4
cpu=$(cpu_of_hosts)
sleep 5
idle=$((($(cpu_of_hosts) - cpu) * 2))
echo "idle CPU of six hosts: $idle ms/s"
echo '| queries/s | sent | whole | leaf calls per query | CPU of all hosts per leaf call, us | p50 / p99, ms |'
echo '| --- | --- | --- | --- | --- | --- |'
for rate in "${rates[@]}"; do
  cpu=$(cpu_of_hosts)
  started=$(started_at_leaves)
  start=$(date +%s%N)
  load "$rate" "$seconds"
  elapsed=$((($(date +%s%N) - start) / 1000000))
  cpu=$((($(cpu_of_hosts) - cpu) * 10 - idle * elapsed / 1000))
  calls=$(($(started_at_leaves) - started))
  jq -r --argjson rate "$rate" --argjson calls "$calls" --argjson cpu "$cpu" \
    '"| \($rate) | \(.query.started) | \(.query.whole) | \($calls / .query.started * 100 | round / 100) | \($cpu * 1000 / $calls | round) | \(.query.latency_ms.p50) / \(.query.latency_ms.p99) |"' \
    "$WORK/load.json"
done
