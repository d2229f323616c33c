#!/usr/bin/env bash
# Guards against new work in a zone that operators took out (invariant 4), and against partial answers
# while a zone leaves and returns.
source "$(dirname "$0")/common.sh"
zone=odense

# Time of the last new call at a leaf of the zone, Unix microseconds.
last_new_call() {
  local address
  for address in $(leaf_addresses ".zone == \"$zone\""); do control "$address"; done |
    jq -s 'map(.last_new_call_unix_us) | max'
}

start_load main --queries=100 --lookups=100 --orders=10
before=$(last_new_call)
set_zone "$zone" out
removed_ms=$ACCEPTED_MS
((before > removed_ms * 1000 - 1000000)) || fail "zone $zone had no load before its removal"
phase 5
last=$(last_new_call)
echo "last new call $((last / 1000 - removed_ms)) ms after the removal was accepted"
((last <= (removed_ms + 2000) * 1000)) || fail "new call later than 2 s after the removal"
for number in 1 2; do
  ! is_ready "$zone-$number" || fail "$zone-$number is ready though its zone is out"
done

set_zone "$zone" in
wait_for all_ready || fail "not all hosts are ready after the return of the zone"
phase 5
last=$(last_new_call)
((last > ACCEPTED_MS * 1000)) || fail "zone $zone got no calls after its return"
end_load main
expect_truth main
expect_whole main
