#!/usr/bin/env bash
# Guards against planned stops that cut requests (invariant 9): all six hosts are replaced under load.
source "$(dirname "$0")/common.sh"

start_load main --queries=40 --lookups=40 --orders=20
for host in "${HOSTS[@]}"; do
  kill_process TERM "$host"
  wait_process "$host" || fail "$host ended its planned stop with status $?"
  start_host "$host" "${host%-*}" "${HTTP[$host]}"
  wait_for is_ready "$host" || fail "$host does not become ready"
done
phase 2
end_load main
expect_truth main
expect "$WORK/main.json" '.cut == 0 and .timed_out == 0' "a connection was cut without an answer"
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' "a request got no reply"
expect "$WORK/main.json" '[.refusals[]? | keys[] | select(endswith("/may_have_run"))] == []' \
  "a planned stop left the outcome of a request open"
