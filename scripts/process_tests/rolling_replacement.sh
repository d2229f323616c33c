#!/usr/bin/env bash
# Guards against planned stops that lose requests (invariant 9): all six hosts are stopped and started
# again under load, one after the other.
source "$(dirname "$0")/common.sh"

start_load main --queries=40 --lookups=40 --orders=20
for host in "${HOSTS[@]}"; do
  signal_process TERM "$host"
  wait_process "$host" || fail "$host exited with status $? after its planned stop"
  start_host "$host" "${host%-*}" "${HTTP[$host]}"
  wait_for is_ready "$host" || fail "$host does not become ready"
done
run_lookups 2
end_load main
expect_correct_replies main
expect "$WORK/main.json" '.cut == 0 and .timed_out == 0' "a connection was closed without an answer, or a request timed out"
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' "a request got no reply"
expect "$WORK/main.json" '[.refusals[]? | keys[] | select(endswith("/may_have_run"))] == []' \
  "after a planned stop, it is unknown whether a request ran"
