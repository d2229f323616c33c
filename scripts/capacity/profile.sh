#!/usr/bin/env bash
# profile.sh [SHARDS [LEAF_CALLS_PER_SECOND]]: samples the entry host and one owner under load with
# perf and prints the CPU time of each thread, shared object and symbol. Runs for about 30 s.
set -euo pipefail
source "$(dirname "$0")/../cluster.sh"
source "$root/scripts/capacity/deployment.sh"
WORK=$(mktemp -d)
trap 'kill_cluster; rm -rf "$WORK"' EXIT
shards=${1:-80}
calls=${2:-4000}

start_deployment "$shards"
warm_up
load "$(awk -v c="$calls" -v s="$shards" 'BEGIN { print c / s }')" 9 >"$WORK/load.json" &
loader=$!
sleep 2
for index in 0 2; do
  host=${HOSTS[$index]}
  perf record -q -F 199 --call-graph dwarf,16384 -p "${PID[$host]}" -o "$WORK/perf-$index" -- sleep 5 2>"$WORK/perf.log" &
  samplers[index]=$!
done
wait "${samplers[@]}" "$loader"
cat "$WORK/load.json"
for index in 0 2; do
  echo "== $([[ $index == 0 ]] && echo entry || echo owner)"
  perf report -i "$WORK/perf-$index" --no-children --stdio -g none --sort pid 2>/dev/null | grep -v '^#' | grep . | sed -n '1,8p'
  perf report -i "$WORK/perf-$index" --no-children --stdio -g none --sort dso 2>/dev/null | grep -v '^#' | grep . | sed -n '1,8p'
  perf report -i "$WORK/perf-$index" --no-children --stdio -g none --sort symbol 2>/dev/null | grep -v '^#' | grep . | cut -c1-150 | sed -n '1,30p'
  perf report -i "$WORK/perf-$index" --children --stdio -g none --sort symbol 2>/dev/null | grep -v '^#' | grep . | grep 'berylreach::\|kj::\|boost::asio\|entry_SYSCALL' | cut -c1-170 | sed -n '1,60p'
done
