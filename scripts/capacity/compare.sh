#!/usr/bin/env bash
# compare.sh NAME=BUILD NAME=BUILD...: measures the CPU of queries with the berylreachd of each build
# folder and prints the medians. All deployments run at the same time and get their load in turn, so
# that a change of the machine's load meets all of them. Stand-ins and load come from build/. At most
# 12 processes for each build.
#   SHARDS (20), RATE (100 queries/s), ROUNDS (10), SECONDS_PER_RUN (4); ROWS names a file that gets
#   the row of each measurement.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
source "$here/../cluster.sh"
source "$here/deployment.sh"
source "$here/measure.sh"
RESULTS=$(mktemp -d)
shards=${SHARDS:-20}
seconds=${SECONDS_PER_RUN:-4}
rows=${ROWS:-$RESULTS/rows}

# measure_build BUILD: runs one deployment; measures it once for each line of standard input.
measure_build() {
  host_program=$1/tools/berylreachd/berylreachd
  WORK=$(mktemp -d)
  trap 'kill_cluster 2>/dev/null; rm -rf "$WORK"' EXIT
  start_deployment "$shards" >&2
  warm_up >&2
  measure_idle 15
  echo ready
  local line
  while read -r line; do measure "$shards" "${RATE:-100}" "$seconds"; done
}

declare -A request_fd=() result_fd=()
for build in "$@"; do
  name=${build%%=*}
  mkfifo "$RESULTS/$name.in" "$RESULTS/$name.out"
  (measure_build "${build#*=}" <"$RESULTS/$name.in" >"$RESULTS/$name.out") &
  exec {to}>"$RESULTS/$name.in" {from}<"$RESULTS/$name.out"
  request_fd[$name]=$to
  result_fd[$name]=$from
done
clean_up() {
  local name
  for name in "${!request_fd[@]}"; do eval "exec ${request_fd[$name]}>&-"; done
  wait
  rm -rf "$RESULTS"
}
trap clean_up EXIT

for name in "${!request_fd[@]}"; do read -r line <&"${result_fd[$name]}"; done
printf "build\t$measure_header" | tee "$rows"
for ((round = 1; round <= ${ROUNDS:-10}; round++)); do
  for build in "$@"; do
    name=${build%%=*}
    echo go >&"${request_fd[$name]}"
    IFS= read -r line <&"${result_fd[$name]}"
    printf '%s\t%s\n' "$name" "$line" | tee -a "$rows"
  done
done

# median EXPRESSION: over the rows of $name.
median() {
  awk -F'\t' -v name="$name" "\$1 == name { print $1 }" "$rows" | sort -g |
    awk '{ v[NR] = $1 } END { print NR % 2 ? v[(NR + 1) / 2] : (v[NR / 2] + v[NR / 2 + 1]) / 2 }'
}
for build in "$@"; do
  name=${build%%=*}
  printf '%s: entry %.1f us/call, owner %.1f us/call; all hosts, idle time included: %.0f us and %.0f switches/query\n' \
    "$name" "$(median '$5')" "$(median '$6')" "$(median '$16')" "$(median '$17')"
done
