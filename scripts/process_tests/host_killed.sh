#!/usr/bin/env bash
# Guards against lost or wrong answers, orders that run twice and orders reported wrongly as run or not
# run when a host that owns leaves is killed, and against leaves that get no new owner.
source "$(dirname "$0")/common.sh"
killed_host=aarhus-1

start_load main --queries=40 --lookups=40 --orders=20
signal_process KILL "$killed_host"
wait_process "$killed_host" || true
wait_for member_count_is 5 || fail "the killed host is still a member"
run_lookups 2
end_load main
expect_correct_replies main
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' \
  "a request got no reply from any host"

start_load after --queries=40 --lookups=40 --orders=20
start_host "$killed_host" aarhus "${HTTP[$killed_host]}"
wait_for is_ready "$killed_host" || fail "the restarted host does not become ready"
run_lookups 3
end_load after
expect_correct_replies after
expect_whole_answers after
expect "$WORK/after.json" '.cut == 0 and .timed_out == 0' "a connection was closed without an answer, or a request timed out, after the takeover"
