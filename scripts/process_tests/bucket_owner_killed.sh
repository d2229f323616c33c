#!/usr/bin/env bash
# Guards against orders that run twice, or that ran but are reported as not run, when the owner of their
# bucket is killed after it has claimed them and while a slow leaf runs them.
source "$(dirname "$0")/common.sh"

# claimer_of KEY: prints the host that has claimed the order, as recorded in the order journals of the
# store. This is the host that runs it.
claimer_of() {
  curl -s "http://$STORE/v1/kv/production/orders/[0-15]" | jq -r --arg key "$1" \
    '.[]? | .Value | @base64d | fromjson | .records[] | select(.key == $key and .state == "claimed") | .claimer'
}

# Whether the order with key $1 is claimed.
is_claimed() { [[ -n $(claimer_of "$1") ]]; }

# Slow, but shorter than 500 ms: the connection of a longer call counts as silent.
control_leaves '.service == "hide-ledger"' '{"median_ms": 450}'
for round in 1 2; do
  start_load "round$round" --queries=0 --lookups=10 --orders=4 --order_deadline_ms=2000
  post "${HOSTS[0]}" /v1/order "{\"service\":\"hide-ledger\",\"key\":\"slow-$round\",
    \"issued_at_ms\":$(date +%s%3N),\"payload\":{\"cut\":1},\"deadline_ms\":2000}" >"$WORK/slow.json" &
  wait_for is_claimed "slow-$round" || fail "the claim of the order does not appear in the store"
  killed_host=$(claimer_of "slow-$round")
  signal_process KILL "$killed_host"
  wait_process "$killed_host" || true
  wait_for member_count_is 5 || fail "the killed owner is still a member"
  start_host "$killed_host" "${killed_host%-*}" "${HTTP[$killed_host]}"
  wait_for is_ready "$killed_host" || fail "the restarted host does not become ready"
  end_load "round$round"
  expect_correct_replies "round$round"
  expect "$WORK/round$round.json" '[.lookup, .order] | all(.without_reply == 0)' "a request got no reply"
done
