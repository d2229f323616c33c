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

has_call_since() { (($(last_new_call) > $1)); }

start_load main --queries=100 --lookups=100 --orders=10
# Reading all leaves takes seconds on a busy machine, so that the age of the last call says nothing.
wait_for has_call_since "$(date +%s%6N)" || fail "zone $zone has no load before its removal"
set_zone "$zone" out
removed_ms=$ACCEPTED_MS
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
