# shellcheck shell=bash
# Common part of the process tests: starts a deployment, runs load against it, checks the replies and
# cleans up. Sourced by each case. The bounds come from the targets in docs/design.md.
set -euo pipefail

WORK=$(mktemp -d)
DOCUMENT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/examples/remmevaerk.json
# shellcheck source=../cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"

clean_up() {
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
trap clean_up EXIT

fail() {
  echo "FAILED: $*" >&2
  exit 1
}

# expect FILE CONDITION TEXT: fails with TEXT unless the jq expression CONDITION is true for the JSON
# file.
expect() {
  jq -e "$2" "$1" >/dev/null && return
  jq -c . "$1" >&2
  fail "$3 (condition: $2)"
}

# Prints the HTTP addresses of all hosts, separated by commas.
host_addresses() {
  local IFS=,
  echo "${HTTP[*]}"
}

# load FLAGS...: runs the load generator against all hosts, waits until it exits and prints its report.
load() {
  "$bin/benchmarks/berylreach-load" --hosts="$(host_addresses)" --verify-orders \
    --leaves="$(leaf_addresses '.service == "hide-ledger"' | paste -sd ,)" "$@"
}

# Sends load for 3 s, after which no leaf is cold any more.
warm_up() { load --seconds=3 --orders=5 --key_prefix=warm >"$WORK/warm.json"; }

# start_load NAME FLAGS...: starts the load generator in the background. It runs until end_load NAME,
# for at most 240 s. Its report goes to WORK/NAME.json. Returns after 1 s of load.
start_load() {
  local name=$1
  shift
  "$bin/benchmarks/berylreach-load" --hosts="$(host_addresses)" --seconds=240 --verify-orders \
    --leaves="$(leaf_addresses '.service == "hide-ledger"' | paste -sd ,)" --key_prefix="$name" \
    "$@" >"$WORK/$name.json" 2>"$WORK/$name.log" &
  PID[$name]=$!
  run_lookups 1
}

# end_load NAME: stops a load generator and prints its report.
end_load() {
  signal_process TERM "$1"
  wait_process "$1" || fail "the load generator $1 exited with status $?"
  jq -c 'del(.examples, .seconds)' "$WORK/$1.json"
}

# run_lookups SECONDS: sends 2 lookups a second for that time, while the load of start_load continues.
run_lookups() { load --seconds="$1" --queries=0 --lookups=2 >"$WORK/phase.json"; }

# expect_correct_replies NAME: checks the report of a load on what must hold in every case: answers are
# right, and each order runs at most once and is reported as run or not run correctly.
expect_correct_replies() {
  expect "$WORK/$1.json" '.wrong_answers == 0' "a request got a wrong answer"
  expect "$WORK/$1.json" '.orders_verified.unread_leaves == []' "the run counts of some leaves could not be read"
  expect "$WORK/$1.json" '.orders_verified.run_twice == 0' "an order ran twice"
  expect "$WORK/$1.json" '.orders_verified.false_not_run == 0' "an order that ran was reported as not_run"
  expect "$WORK/$1.json" '.orders_verified.false_ran == 0' "an order that did not run was reported as ran"
}

# expect_whole_answers NAME: checks that at least 99.9% of the queries and lookups of a load got a whole
# answer, that is, one with the results of all shards. A refusal or a missing reply is not whole.
expect_whole_answers() {
  expect "$WORK/$1.json" '[.query, .lookup] | (map(.whole) | add) >= 0.999 * (map(.started) | add)' \
    "fewer than 99.9% of the answers are whole"
}

# member_count_is N: whether the membership has N members; for use with wait_for.
member_count_is() {
  # `berylctl status` also prints the members if it exits with an error because one does not respond.
  [[ $( (berylctl status --json || true) | jq '.hosts | length') == "$1" ]]
}

# set_zone ZONE STATE: submits DOCUMENT with the zone in STATE ("in" or "out"), and sets ACCEPTED_MS to
# the Unix time in milliseconds at which the new version was accepted.
set_zone() {
  jq --arg zone "$1" --arg state "$2" \
    '(.zones[] | select(.name == $zone) | .state) = $state' "$DOCUMENT" >"$WORK/zone-$2.json"
  berylctl submit "$WORK/zone-$2.json" --author test --note "$1 $2" >"$WORK/submit.out" \
    || fail "the document with zone $1 $2 was not accepted"
  ACCEPTED_MS=$(date -d "$(berylctl history --json | jq -r '.history[0].at')" +%s%3N)
}

start_cluster || fail "the deployment did not start"
warm_up
