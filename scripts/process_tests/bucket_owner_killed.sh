#!/usr/bin/env bash
# Guards against orders that run twice, or are said not to have run, when the owner of their bucket is
# killed after the claim while a slow leaf runs them.
source "$(dirname "$0")/common.sh"

# The host that runs the order with key $1: the claimer in the journals of the store.
claimer_of() {
  curl -s "http://$STORE/v1/kv/production/orders/[0-15]" | jq -r --arg key "$1" \
    '.[]? | .Value | @base64d | fromjson | .records[] | select(.key == $key and .state == "claimed") | .claimer'
}

claimed() { [[ -n $(claimer_of "$1") ]]; }

# Calls that last longer than 500 ms are taken for silent connections.
control_leaves '.service == "hide-ledger"' '{"median_ms": 450}'
for round in 1 2; do
  start_load "round$round" --queries=0 --lookups=10 --orders=4 --order_deadline_ms=2000
  post "${HOSTS[0]}" /v1/order "{\"service\":\"hide-ledger\",\"key\":\"slow-$round\",
    \"issued_at_ms\":$(date +%s%3N),\"payload\":{\"cut\":1},\"deadline_ms\":2000}" >"$WORK/slow.json" &
  wait_for claimed "slow-$round" || fail "the claim of the order does not appear in the store"
  victim=$(claimer_of "slow-$round")
  kill_process KILL "$victim"
  wait_process "$victim" || true
  wait_for members_are 5 || fail "the killed owner stays a member"
  start_host "$victim" "${victim%-*}" "${HTTP[$victim]}"
  wait_for is_ready "$victim" || fail "the replaced host does not become ready"
  end_load "round$round"
  expect_truth "round$round"
  expect "$WORK/round$round.json" '[.lookup, .order] | all(.without_reply == 0)' "a request got no reply"
done
