#!/usr/bin/env bash
# Measures the control cost in virtual time and writes docs/capacity/control-*.tsv, records.tsv and
# latency.tsv. Takes about 15 minutes on a busy machine; no sockets are used.
set -euo pipefail
cd "$(dirname "$0")/../.."
out=docs/capacity
program=build/benchmarks/berylreach-capacity

work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT

# sweep NAME ARGUMENTS...: queues one run for each argument string. Rows keep the order of the
# arguments.
sweep() {
  local name=$1 index=0
  shift
  mkdir "$work/$name"
  for arguments in "$@"; do
    printf 'timeout 900 %s %s >%s/%02d\0' "$program" "$arguments" "$work/$name" "$index" >>"$work/jobs"
    index=$((index + 1))
  done
}

mkdir -p "$out"
# 7.2 leaves per host, as in a cell of 200 hosts and 1,440 leaves.
# The run of 200 hosts takes more than 6 minutes on a busy machine; the others end sooner.
sweep control-cell "--hosts=144 --leaves=1036 --seconds=5" "--hosts=200 --leaves=1440 --seconds=3"
sweep control-hosts-proportional \
  "--hosts=96 --leaves=692" "--hosts=48 --leaves=346" "--hosts=24 --leaves=172" \
  "--hosts=12 --leaves=86" "--hosts=6 --leaves=44"
sweep control-hosts-fixed "--hosts=96 --leaves=240" "--hosts=48 --leaves=240" \
  "--hosts=24 --leaves=240" "--hosts=12 --leaves=240" "--hosts=6 --leaves=240"
sweep control-leaves "--hosts=24 --leaves=1440" "--hosts=24 --leaves=720" \
  "--hosts=24 --leaves=360" "--hosts=24 --leaves=180" "--hosts=24 --leaves=90"
sweep control-changes "--hosts=24 --leaves=360 --seconds=60 --changes=0" \
  "--hosts=24 --leaves=360 --seconds=60 --changes=0.1" \
  "--hosts=24 --leaves=360 --seconds=60 --changes=0.2" \
  "--hosts=24 --leaves=360 --seconds=60 --changes=0.5" \
  "--hosts=24 --leaves=360 --seconds=60 --changes=1" \
  "--hosts=6 --leaves=360 --seconds=60 --changes=0.2" \
  "--hosts=48 --leaves=360 --seconds=60 --changes=0.2" \
  "--hosts=24 --leaves=1440 --seconds=60 --changes=0.2"
sweep control-restarts "--hosts=24 --leaves=172 --seconds=120 --restarts=0" \
  "--hosts=24 --leaves=172 --seconds=120 --restarts=1" \
  "--hosts=24 --leaves=172 --seconds=120 --restarts=2" \
  "--hosts=24 --leaves=172 --seconds=120 --restarts=4" \
  "--hosts=24 --leaves=172 --seconds=120 --restarts=8" \
  "--hosts=6 --leaves=44 --seconds=120 --restarts=4" \
  "--hosts=12 --leaves=86 --seconds=120 --restarts=4" \
  "--hosts=48 --leaves=346 --seconds=120 --restarts=4"
sweep control-list "--hosts=24 --leaves=172 --listed=0 --list_changes=0" \
  "--hosts=24 --leaves=172 --listed=10 --list_changes=12" \
  "--hosts=24 --leaves=172 --listed=100 --list_changes=12" \
  "--hosts=24 --leaves=172 --listed=1000 --list_changes=12" \
  "--hosts=24 --leaves=172 --listed=4000 --list_changes=12"
xargs -0 -P 4 -I{} bash -c '{}' <"$work/jobs" || echo "some runs failed" >&2
for folder in "$work"/*/; do
  awk 'FNR == 1 && NR > 1 { next } { print }' "$folder"/* >"$out/$(basename "$folder").tsv"
done
$program --measure=records >"$out/records.tsv"
$program --measure=latency --trials=20000 >"$out/latency.tsv"
