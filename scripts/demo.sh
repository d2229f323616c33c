#!/usr/bin/env bash
# Builds berylreach, starts a deployment on loopback, sends requests of each kind, takes a zone out and
# back, and stops everything as planned. Ends with a status other than 0 if anything fails.
set -euo pipefail
cd "$(dirname "$0")/.."
WORK=$(mktemp -d)
DOCUMENT=$PWD/examples/remmevaerk.json
FIRST_HTTP=127.0.0.1:8080
STORE_ADDRESS=127.0.0.1:8500
# shellcheck source=cluster.sh
source scripts/cluster.sh

finish() {
  local status=$?
  trap - EXIT
  kill_cluster
  ((status == 0)) || tail -n 5 "$WORK"/*.log >&2 || true
  rm -rf "$WORK"
  exit "$status"
}
trap finish EXIT

fail() {
  echo "demo: $*" >&2
  exit 1
}

say() { printf '\n== %s\n' "$*"; }

# True if something accepts connections on the address IP:PORT.
port_is_taken() { (exec 3<>"/dev/tcp/${1%:*}/${1##*:}") 2>/dev/null; }

# ask TITLE PATH BODY: sends a request to the first host and prints its answer with the coverage.
ask() {
  say "$1"
  local answer
  answer=$(post "${HOSTS[0]}" "$2" "$3")
  jq -e 'has("results") and (.coverage.missing == [])' <<<"$answer" >/dev/null || fail "no whole answer: $answer"
  jq -c '{version, coverage, first_result: .results[0]}' <<<"$answer"
}

ask_each_kind() {
  ask "query to all 20 shards of order-desk" /v1/query \
    '{"service":"order-desk","payload":{"hide_batch":"H-207"},"deadline_ms":1000,"least_coverage":0.9}'
  ask "lookup in buckle-screen" /v1/lookup \
    '{"service":"buckle-screen","key":"order-4711","deadline_ms":1000}'
}

# set_zone ZONE STATE
set_zone() {
  say "zone $1 $2"
  jq --arg zone "$1" --arg state "$2" '(.zones[] | select(.name == $zone) | .state) = $state' \
    "$DOCUMENT" >"$WORK/zone.json"
  berylctl submit "$WORK/zone.json" --author demo --note "zone $1 $2"
}

say "packages and build"
scripts/install-packages.sh
scripts/build.sh
if port_is_taken "$FIRST_HTTP"; then FIRST_HTTP=127.0.0.1:0; fi
if port_is_taken "$STORE_ADDRESS"; then STORE_ADDRESS=127.0.0.1:0; fi

say "store, host list, leaves and six hosts"
start_cluster || fail "the deployment did not start"
echo "store: $STORE"
for host in "${HOSTS[@]}"; do echo "$host: http://${HTTP[$host]}"; done

ask_each_kind
order="{\"service\":\"hide-ledger\",\"key\":\"satchel-4711\",\"issued_at_ms\":$(date +%s%3N),\"payload\":{\"cut\":\"H-207\"},\"deadline_ms\":1000}"
ask "order to hide-ledger" /v1/order "$order"
ask "the same order again: the recorded outcome, not a second run" /v1/order "$order"
runs=$(for address in $(leaf_addresses '.service == "hide-ledger"'); do control "$address"; done |
  jq -s 'map(.orders["satchel-4711"] // 0) | add')
echo "runs counted by the leaves: $runs"
[[ $runs == 1 ]] || fail "the order ran $runs times"

set_zone odense out
berylctl status
ask_each_kind
set_zone odense in
wait_for all_ready || fail "not all hosts are ready after the return of the zone"
ask_each_kind

say "merged time line (last 20 events)"
berylctl timeline >"$WORK/timeline.out"
tail -n 20 "$WORK/timeline.out"

# Keeps the deployment for requests by hand: DEMO_SECONDS=600 scripts/demo.sh
if ((${DEMO_SECONDS:-0} > 0)); then
  say "running for $DEMO_SECONDS s"
  sleep "$DEMO_SECONDS"
fi

say "planned stop of all hosts"
stop_cluster || fail "a host did not stop as planned"
echo "demo: passed"
