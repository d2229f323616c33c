#!/usr/bin/env bash
# Guards against documents that take longer than 1 s to be in force on all six hosts, or that an older
# one replaces (invariant 10).
source "$(dirname "$0")/common.sh"

# Times from the acceptance to the adoption by the last host, from the events of the hosts.
start_load main --queries=40 --lookups=40 --orders=10
for round in 1 2 3 4 5; do
  state=$([[ $((round % 2)) == 1 ]] && echo out || echo in)
  set_zone koege "$state"
  berylctl status --json >"$WORK/status.json" || fail "a host lags"
  expect "$WORK/status.json" "(.hosts | length) == 6 and all(.hosts[]; .document.version == $((round + 1)))" \
    "not all hosts have version $((round + 1))"
  last_us=0
  for host in "${HOSTS[@]}"; do
    at=$(curl -sf "http://${HTTP[$host]}/v1/timeline" | jq --arg version "$((round + 1))" \
      '[.events[] | select(.type == "document_in_force" and .subject == $version) | .at_unix_us] | max')
    ((at > last_us)) && last_us=$at
  done
  echo "version $((round + 1)) in force on all hosts $((last_us / 1000 - ACCEPTED_MS)) ms after its write"
  ((last_us <= (ACCEPTED_MS + 1000) * 1000)) || fail "the document took longer than 1 s"
done
end_load main
expect_truth main

# Versions never fall on any host.
for host in "${HOSTS[@]}"; do
  curl -sf "http://${HTTP[$host]}/v1/timeline" |
    jq -e '[.events[] | select(.type == "document_in_force") | .subject | tonumber] | . == sort' >/dev/null ||
    fail "$host went back to an older document"
done
