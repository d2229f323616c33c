#!/usr/bin/env bash
# Guards against a request that crashes each leaf that runs it and that callers send repeatedly to all
# hosts: it may crash 2 leaves at most, and all hosts must block it then. With the argument
# "concurrent", each round sends it to all hosts at the same time, otherwise to one after the other.
OWN_PROCESS_SERVICE=buckle-screen
DIE_ON=poison
source "$(dirname "$0")/common.sh"

# Prints the number of leaf processes that have exited so far.
crash_count() { wc -l 2>/dev/null <"$WORK/deaths" || echo 0; }

mode=${1:-sequential}
for round in 1 2 3 4 5 6; do
  senders=()
  for host in "${HOSTS[@]}"; do
    post "$host" /v1/lookup '{"service":"buckle-screen","key":"poison","deadline_ms":2000}' \
      >"$WORK/reply-$host.json" &
    senders+=("$!")
    [[ $mode == concurrent ]] || wait "$!"
  done
  wait "${senders[@]}" || true
  echo "round $round: $(crash_count) leaf crashes in total"
done
jq -c . "$WORK"/reply-*.json
(($(crash_count) >= 1)) || fail "the request crashed no leaf, so the test proves nothing"
(($(crash_count) <= 2)) || fail "the request crashed $(crash_count) leaves"
for host in "${HOSTS[@]}"; do
  expect "$WORK/reply-$host.json" '.error.code == "request_blocked"' "$host does not block the request"
done
load --seconds=3 --orders=5 --key_prefix=after >"$WORK/after.json"
expect_correct_replies after
expect_whole_answers after
