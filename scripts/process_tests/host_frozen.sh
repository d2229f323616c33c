#!/usr/bin/env bash
# Guards against a host that was frozen with SIGSTOP for 5 s and, when it resumes, still sends work
# under its expired lease, which shows as orders that run twice or as wrong answers. Also guards
# against a resumed host that does not join again.
source "$(dirname "$0")/common.sh"
frozen_host=koege-1

start_load main --queries=40 --lookups=40 --orders=20
signal_process STOP "$frozen_host"
run_lookups 5
member_count_is 5 || fail "the frozen host is still a member after 5 s"
signal_process CONT "$frozen_host"
wait_for is_ready "$frozen_host" || fail "the resumed host does not become ready again"
wait_for member_count_is 6 || fail "the resumed host does not join again"
run_lookups 2
end_load main
expect_correct_replies main
expect "$WORK/main.json" '[.query, .lookup, .order] | all(.without_reply == 0)' "a request got no reply"

start_load after --queries=40 --lookups=40 --orders=20
run_lookups 3
end_load after
expect_correct_replies after
expect_whole_answers after
