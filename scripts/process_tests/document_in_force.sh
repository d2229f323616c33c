#!/usr/bin/env bash
# Guards against a document that is not in force on all six hosts within 1 s, and against a host that
# goes back to an older document (invariant 10).
source "$(dirname "$0")/common.sh"

# Measures the time from the acceptance of a document until the last host has put it in force, by the
# timelines of the hosts.
start_load main --queries=40 --lookups=40 --orders=10
for round in 1 2 3 4 5; do
  state=$([[ $((round % 2)) == 1 ]] && echo out || echo in)
  set_zone koege "$state"
  berylctl status --json >"$WORK/status.json" || fail "a host does not respond or has an older version"
  expect "$WORK/status.json" "(.hosts | length) == 6 and all(.hosts[]; .document.version == $((round + 1)))" \
    "not all hosts have version $((round + 1))"
  last_us=0
  for host in "${HOSTS[@]}"; do
    in_force_us=$(curl -sf "http://${HTTP[$host]}/v1/timeline" | jq --arg version "$((round + 1))" \
      '[.events[] | select(.type == "document_in_force" and .subject == $version) | .at_unix_us] | max')
    ((in_force_us > last_us)) && last_us=$in_force_us
  done
  echo "version $((round + 1)) in force on all hosts $((last_us / 1000 - ACCEPTED_MS)) ms after it was accepted"
  ((last_us <= (ACCEPTED_MS + 1000) * 1000)) || fail "the document was in force on all hosts only after more than 1 s"
done
end_load main
expect_correct_replies main

# The versions in force on a host must never decrease.
for host in "${HOSTS[@]}"; do
  curl -sf "http://${HTTP[$host]}/v1/timeline" |
    jq -e '[.events[] | select(.type == "document_in_force") | .subject | tonumber] | . == sort' >/dev/null ||
    fail "$host went back to an older document"
done
