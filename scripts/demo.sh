#!/usr/bin/env bash
# Builds berylreach, starts a deployment on loopback, sends requests of each kind, takes a zone out of
# service and back, and stops all hosts as planned. Exits with a status other than 0 if anything fails.
set -euo pipefail
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
DOCUMENT=$PWD/examples/remmevaerk.json
FIRST_HTTP=127.0.0.1:8080
STORE_ADDRESS=127.0.0.1:8500
# shellcheck source=cluster.sh
source scripts/cluster.sh

clean_up() {
  local status=$?
  trap - EXIT
  kill_cluster
  ((status == 0)) || tail -n 5 "$WORK"/*.log >&2 || true
  rm -rf "$WORK"
  exit "$status"
}
trap clean_up EXIT

fail() {
  echo "demo: $*" >&2
  exit 1
}

print_heading() { printf '\n== %s\n' "$*"; }

# port_is_taken IP:PORT: whether a process accepts connections on the address.
port_is_taken() { (exec 3<>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null; }

# send_request TITLE PATH BODY: sends a request to the first host and prints the version, the coverage
# and the first result of the answer. Fails if results of a shard are missing.
send_request() {
  print_heading "$1"
  local answer
  answer=$(post "${HOSTS[0]}" "$2" "$3")
  jq -e 'has("results") and (.coverage.missing == [])' <<<"$answer" >/dev/null || fail "the answer is not whole: $answer"
  jq -c '{version, coverage, first_result: .results[0]}' <<<"$answer"
}

send_query_and_lookup() {
  send_request "query to all 20 shards of order-desk" /v1/query \
    '{"service":"order-desk","payload":{"hide_batch":"H-207"},"deadline_ms":1000,"least_coverage":0.9}'
  send_request "lookup in buckle-screen" /v1/lookup \
    '{"service":"buckle-screen","key":"order-4711","deadline_ms":1000}'
}

# set_zone ZONE STATE: submits the document with the zone in STATE ("in" or "out").
set_zone() {
  print_heading "zone $1 $2"
  jq --arg zone "$1" --arg state "$2" '(.zones[] | select(.name == $zone) | .state) = $state' \
    "$DOCUMENT" >"$WORK/zone.json"
  berylctl submit "$WORK/zone.json" --author demo --note "zone $1 $2"
}

print_heading "packages and build"
scripts/install-packages.sh
scripts/build.sh
if port_is_taken "$FIRST_HTTP"; then FIRST_HTTP=127.0.0.1:0; fi
if port_is_taken "$STORE_ADDRESS"; then STORE_ADDRESS=127.0.0.1:0; fi

print_heading "store, host list, leaves and six hosts"
start_cluster || fail "the deployment did not start"
echo "store: $STORE"
for host in "${HOSTS[@]}"; do echo "$host: http://${HTTP[$host]}"; done

send_query_and_lookup
order="{\"service\":\"hide-ledger\",\"key\":\"satchel-4711\",\"issued_at_ms\":$(date +%s%3N),\"payload\":{\"cut\":\"H-207\"},\"deadline_ms\":1000}"
send_request "order to hide-ledger" /v1/order "$order"
send_request "the same order again: the recorded outcome, not a second run" /v1/order "$order"
runs=$(for address in $(leaf_addresses '.service == "hide-ledger"'); do control "$address"; done |
  jq -s 'map(.orders["satchel-4711"] // 0) | add')
echo "runs counted by the leaves: $runs"
[[ $runs == 1 ]] || fail "the order ran $runs times"

set_zone odense out
berylctl status
send_query_and_lookup
set_zone odense in
wait_for all_ready || fail "not all hosts are ready after the return of the zone"
send_query_and_lookup

print_heading "merged time line (last 20 events)"
berylctl timeline >"$WORK/timeline.out"
tail -n 20 "$WORK/timeline.out"

# DEMO_SECONDS=600 scripts/demo.sh keeps the deployment running for 600 s, for requests by hand.
if ((${DEMO_SECONDS:-0} > 0)); then
  print_heading "running for $DEMO_SECONDS s"
  sleep "$DEMO_SECONDS"
fi

print_heading "planned stop of all hosts"
stop_cluster || fail "a host did not stop as planned"
echo "demo: passed"
