#!/usr/bin/env bash
# Guards against queries and lookups that fail because the store is down for a minute, and against
# orders that are reported wrongly as run or not run during the outage.
source "$(dirname "$0")/common.sh"

start_load across --queries=1 --lookups=1 --orders=5 --order_patience=2
control "$STORE" '{"down": true}' >/dev/null
load --seconds=60 --queries=40 --lookups=40 --orders=10 --order_patience=1 --key_prefix=down >"$WORK/down.json"
jq -c 'del(.examples, .seconds)' "$WORK/down.json"
control "$STORE" '{"down": false}' >/dev/null
expect_correct_replies down
expect_whole_answers down
expect "$WORK/down.json" '.cut == 0 and .timed_out == 0 and ([.query, .lookup, .order] | all(.without_reply == 0))' \
  "a request got no reply while the store was down"
expect "$WORK/down.json" '.order.whole == 0 and (.refusals.order | keys == ["store_unavailable/not_run"])' \
  "orders that were never sent are not refused as store_unavailable and not_run"

orders_run_again() {
  [[ $(post "${HOSTS[0]}" /v1/order "{\"service\":\"hide-ledger\",\"key\":\"again-$RANDOM$RANDOM\",
    \"issued_at_ms\":$(date +%s%3N),\"payload\":1}" | jq 'has("results")') == true ]]
}
wait_for orders_run_again || fail "orders do not run again after the outage"
load --seconds=3 --orders=10 --key_prefix=after >"$WORK/after.json"
end_load across
expect_correct_replies across
expect_correct_replies after
expect_whole_answers after
expect "$WORK/after.json" '.order.whole == .order.started' "not all orders run after the outage"
