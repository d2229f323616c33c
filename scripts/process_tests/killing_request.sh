#!/usr/bin/env bash
# Guards against a request that kills every leaf that runs it and is sent again and again to all hosts:
# it may kill 2 leaves at most. With the argument "concurrent" all hosts get it at the same moment.
OWN_PROCESS=buckle-screen
DIE_ON=poison
source "$(dirname "$0")/common.sh"

deaths() { wc -l 2>/dev/null <"$WORK/deaths" || echo 0; }

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
  echo "round $round: $(deaths) leaves killed in all"
done
jq -c . "$WORK"/reply-*.json
(($(deaths) >= 1)) || fail "the request killed no leaf, so the test shows nothing"
(($(deaths) <= 2)) || fail "one request killed $(deaths) leaves"
for host in "${HOSTS[@]}"; do
  expect "$WORK/reply-$host.json" '.error.code == "request_blocked"' "$host does not block the request"
done
load --seconds=3 --orders=5 --key_prefix=after >"$WORK/after.json"
expect_truth after
expect_whole after
