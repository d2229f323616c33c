#!/usr/bin/env bash
# Guards against new work in a zone that operators took out of service (invariant 4), and against
# partial answers while a zone goes out of service and returns.
source "$(dirname "$0")/common.sh"
zone=odense

# Prints the Unix time in microseconds of the last new call at any leaf of the zone.
last_new_call() {
  local address
  for address in $(leaf_addresses ".zone == \"$zone\""); do control "$address"; done |
    jq -s 'map(.last_new_call_unix_us) | max'
}

has_call_since() { (($(last_new_call) > $1)); }

start_load main --queries=100 --lookups=100 --orders=10
# Reading the counters of all leaves takes seconds on a busy machine, so that the age of the last call
# does not show whether the zone still gets calls. Hence this waits for a call after the present time.
wait_for has_call_since "$(date +%s%6N)" || fail "zone $zone gets no calls before it is taken out of service"
set_zone "$zone" out
out_accepted_ms=$ACCEPTED_MS
run_lookups 5
last=$(last_new_call)
echo "last new call $((last / 1000 - out_accepted_ms)) ms after the document was accepted"
((last <= (out_accepted_ms + 2000) * 1000)) || fail "a call started later than 2 s after the document was accepted"
for number in 1 2; do
  ! is_ready "$zone-$number" || fail "$zone-$number is ready although its zone is out of service"
done

set_zone "$zone" in
wait_for all_ready || fail "not all hosts are ready after the return of the zone"
run_lookups 5
last=$(last_new_call)
((last > ACCEPTED_MS * 1000)) || fail "zone $zone got no calls after its return"
end_load main
expect_correct_replies main
expect_whole_answers main
