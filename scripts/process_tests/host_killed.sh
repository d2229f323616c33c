#!/usr/bin/env bash
# Guards against lost or mixed answers, doubled orders and false reports when a host that owns leaves
# is killed, and against leaves that stay without an owner.
source "$(dirname "$0")/common.sh"
victim=aarhus-1

start_load main --queries=40 --lookups=40 --orders=20
kill_process KILL "$victim"
wait_process "$victim" || true
wait_for members_are 5 || fail "the killed host stays a member"
phase 2
end_load main
expect_truth main
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' \
  "a request got no reply from any host"

start_load after --queries=40 --lookups=40 --orders=20
start_host "$victim" aarhus "${HTTP[$victim]}"
wait_for is_ready "$victim" || fail "the replaced host does not become ready"
phase 3
end_load after
expect_truth after
expect_whole after
expect "$WORK/after.json" '.cut == 0 and .timed_out == 0' "a request was cut after the takeover"
