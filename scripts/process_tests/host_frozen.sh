#!/usr/bin/env bash
# Guards against a host that was frozen for 5 s and sends work under its old lease when it wakes up:
# doubled orders, wrong answers, or a host that does not come back.
source "$(dirname "$0")/common.sh"
victim=koege-1

start_load main --queries=40 --lookups=40 --orders=20
kill_process STOP "$victim"
phase 5
members_are 5 || fail "the frozen host is still a member after 5 s"
kill_process CONT "$victim"
wait_for is_ready "$victim" || fail "the woken host does not become ready again"
wait_for members_are 6 || fail "the woken host does not join again"
phase 2
end_load main
expect_truth main
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' "a request got no reply"

start_load after --queries=40 --lookups=40 --orders=20
phase 3
end_load after
expect_truth after
expect_whole after
