#!/usr/bin/env bash
# Guards against hosts that exit, hang or send no clear error when callers or leaves send invalid
# input.
source "$(dirname "$0")/common.sh"
host=${HOSTS[0]}
url=http://${HTTP[$host]}

# expect_refusal TEXT STATUS CODE CURL_ARGUMENTS...: sends a request and checks that it is refused with
# the HTTP status and the error code. EXECUTION is the expected value of "ran", not_run if unset.
expect_refusal() {
  local text=$1 status=$2 code=$3 actual_status
  shift 3
  actual_status=$(curl -s --max-time 10 -o "$WORK/reply.json" -w '%{http_code}' "$@") || fail "$text: no reply"
  [[ $actual_status == "$status" ]] || fail "$text: status $actual_status, expected $status: $(cat "$WORK/reply.json")"
  expect "$WORK/reply.json" ".error.code == \"$code\" and (.error.message | length > 0) and .ran == \"${EXECUTION:-not_run}\"" "$text"
}

expect_refusal "incomplete JSON" 400 bad_request "$url/v1/query" -d '{"service":'
expect_refusal "missing member" 400 bad_request "$url/v1/query" -d '{"service":"order-desk"}'
expect_refusal "unknown member" 400 bad_request "$url/v1/lookup" -d '{"service":"buckle-screen","key":"a","x":1}'
expect_refusal "unknown service" 404 unknown_service "$url/v1/query" -d '{"service":"none","payload":1}'
expect_refusal "deadline in the past" 400 deadline_in_past "$url/v1/query" \
  -d '{"service":"order-desk","payload":1,"deadline_ms":-5}'
expect_refusal "kind that the service does not accept" 400 bad_request "$url/v1/lookup" \
  -d '{"service":"order-desk","key":"a"}'
# Records of orders this old have been dropped, so that the host cannot prove that the order did not
# run.
EXECUTION=may_have_run expect_refusal "old order" 410 key_expired "$url/v1/order" \
  -d '{"service":"hide-ledger","key":"old","issued_at_ms":1000,"payload":1}'
expect_refusal "unknown path" 404 bad_request "$url/v1/nothing" -d '{}'

# A body that is too large is refused with an HTTP status. The host may close the connection before
# curl has sent the whole body, so that curl fails.
head -c 200000 /dev/zero | tr '\0' 'a' >"$WORK/large"
actual_status=$(curl -s --max-time 10 -o "$WORK/reply.json" -w '%{http_code}' "$url/v1/query" --data-binary "@$WORK/large" || true)
[[ $actual_status == 413 || $actual_status == 400 ]] || fail "oversize body: status $actual_status"

# For bytes that are not HTTP, the host must close the connection within 10 s, with or without an error
# response.
exec 3<>"/dev/tcp/${HTTP[$host]%:*}/${HTTP[$host]##*:}"
printf 'NOT A REQUEST\r\n\r\n' >&3
timeout 10 cat <&3 >"$WORK/malformed" || fail "malformed HTTP: the connection stays open"
exec 3>&-
[[ ! -s $WORK/malformed ]] || grep -q '^HTTP/1.1 400' "$WORK/malformed" || fail "malformed HTTP: $(head -1 "$WORK/malformed")"

# Invalid answers of leaves, or answers to another request, must not reach a caller. The other replicas
# of the shards still serve.
for fault in garbage wrong_request_id; do
  control_leaves '.name | test("^order-desk-0[0-4]-a$")' "{\"$fault\": true}"
  load --seconds=3 --queries=20 --lookups=20 >"$WORK/$fault.json"
  jq -c 'del(.examples, .seconds)' "$WORK/$fault.json"
  expect "$WORK/$fault.json" '.wrong_answers == 0' "a wrong answer of a leaf reached a caller"
  expect "$WORK/$fault.json" '[.query, .lookup] | all(.without_reply == 0)' "a request got no reply"
  control_leaves '.name | test("^order-desk-0[0-4]-a$")' "{\"$fault\": false}"
done

for name in "${HOSTS[@]}"; do
  signal_process 0 "$name" || fail "$name is not running any more"
done
wait_for all_ready || fail "a host is not ready after invalid input"
load --seconds=3 --orders=10 --key_prefix=after >"$WORK/after.json"
expect_correct_replies after
expect_whole_answers after
