# shellcheck shell=bash
# Common part of the process tests: one deployment, load, checks and the cleanup.
# Sourced by each case. Bounds come from the targets in docs/design.md.
set -euo pipefail

WORK=$(mktemp -d)
DOCUMENT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/examples/remmevaerk.json
# shellcheck source=../cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"

finish() {
  local status=$?
  trap - EXIT
  kill_cluster
  if ((status != 0)); then
    echo "logs of the failed run:" >&2
    tail -n 6 "$WORK"/*.log >&2
  fi
  rm -rf "$WORK"
  exit "$status"
}
trap finish EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect FILE CONDITION TEXT: fails with TEXT unless the jq condition holds for the JSON file.
expect() {
  jq -e "$2" "$1" >/dev/null && return
  jq -c . "$1" >&2
  fail "$3 (wanted: $2)"
}

all_addresses() {
  local IFS=,
  echo "${HTTP[*]}"
}

# load FLAGS...: runs the load program against all hosts until it ends.
load() {
  "$bin/benchmarks/berylreach-load" --hosts="$(all_addresses)" --verify-orders \
    --leaves="$(leaf_addresses '.service == "hide-ledger"' | paste -sd ,)" "$@"
}

# Load of 3 s that ends the cold start of all leaves.
warm_up() { load --seconds=3 --orders=5 --key_prefix=warm >"$WORK/warm.json"; }

# start_load NAME FLAGS...: runs until end_load NAME, at most for 240 s.
start_load() {
  local name=$1
  shift
  "$bin/benchmarks/berylreach-load" --hosts="$(all_addresses)" --seconds=240 --verify-orders \
    --leaves="$(leaf_addresses '.service == "hide-ledger"' | paste -sd ,)" --key_prefix="$name" \
    "$@" >"$WORK/$name.json" 2>"$WORK/$name.log" &
  PID[$name]=$!
  phase 1
}

# Ends a load and prints its figures.
end_load() {
  kill_process TERM "$1"
  wait_process "$1" || fail "load $1 ended with status $?"
  jq -c 'del(.examples, .seconds)' "$WORK/$1.json"
}

# phase SECONDS: lets the running load go on for that time, under some lookups of its own.
phase() { load --seconds="$1" --queries=0 --lookups=2 >"$WORK/phase.json"; }

# Checks that hold in every case: answers are right, every request gets a reply, and orders run at
# most once and are reported truthfully.
expect_truth() {
  expect "$WORK/$1.json" '.wrong_answers == 0' "an answer is wrong"
  expect "$WORK/$1.json" '.orders_verified.unread_leaves == []' "run counts of orders are missing"
  expect "$WORK/$1.json" '.orders_verified.run_twice == 0' "an order ran twice"
  expect "$WORK/$1.json" '.orders_verified.false_not_run == 0' "not_run was said of an order that ran"
  expect "$WORK/$1.json" '.orders_verified.false_ran == 0' "ran was said of an order that did not run"
}

# At least 99.9% of the answers of a load are whole; a refusal or a missing reply counts as not whole.
expect_whole() {
  expect "$WORK/$1.json" '[.query, .lookup] | (map(.whole) | add) >= 0.999 * (map(.started) | add)' \
    "fewer than 99.9% of the answers are whole"
}

# members_are N: condition for wait_for.
members_are() {
  # The exit status is not 0 while a member is gone.
  [[ $( (berylctl status --json || true) | jq '.hosts | length') == "$1" ]]
}

# set_zone ZONE STATE: puts a document in force and sets ACCEPTED_MS to the time of its acceptance.
set_zone() {
  jq --arg zone "$1" --arg state "$2" \
    '(.zones[] | select(.name == $zone) | .state) = $state' "$DOCUMENT" >"$WORK/zone-$2.json"
  berylctl submit "$WORK/zone-$2.json" --author test --note "$1 $2" >"$WORK/submit.out" \
    || fail "the document with zone $1 $2 was not accepted"
  ACCEPTED_MS=$(date -d "$(berylctl history --json | jq -r '.history[0].at')" +%s%3N)
}

start_cluster || fail "the deployment did not start"
warm_up
