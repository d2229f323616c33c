# shellcheck shell=bash
# Functions that start a local deployment: stand-ins for the platform and the leaves, and six hosts.
# Sourced by the demo and by the process tests; all processes listen on loopback addresses.
#
# Callers set WORK (an empty folder) and DOCUMENT (the deployment's document). STORE_ADDRESS and
# FIRST_HTTP are the addresses of the store and of the first host, if they are set.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/build
declare -A PID=()   # process ids by name
declare -A HTTP=()  # HTTP addresses of hosts by name

# Waits until a command succeeds, for at most 20 s.
wait_for() {
  local limit=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= limit)); then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# start NAME COMMAND...: runs a process and waits for its ready line.
start() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
  PID[$name]=$!
  wait_for test -s "$WORK/$name.out"
}

# Leaf descriptions for the leaf stand-in. Leaves are ordered by name within a service, and the
# replicas of a shard follow each other.
leaf_list() {
  jq '[.services[] | . as $s | ($s.leaves | sort_by(.name)) as $l | range($l | length) as $i
    | $l[$i] + {service: $s.name, shard: (($i * $s.shards / ($l | length)) | floor),
                shard_count: $s.shards} | del(.zone)]' "$DOCUMENT"
}

start_platform() {
  start store "$bin/standins/berylreach-standin-store" --address="${STORE_ADDRESS:-127.0.0.1:0}"
  start hostlist "$bin/standins/berylreach-standin-hostlist"
  STORE=$(jq -r .address "$WORK/store.out")
  HOST_LIST=$(jq -r .address "$WORK/hostlist.out")
}

# Runs one leaf in a process of its own and starts it anew on the same address whenever it ends.
# Each end adds a line to WORK/deaths. DIE_ON is set again after each start.
keep_leaf() {
  local leaf=$1 out=$WORK/leaf-$2.out address=127.0.0.1:0
  while true; do
    : >"$out.next"
    "$bin/standins/berylreach-standin-leaf" --name="$2" --address="$address" \
      --service="$(jq -r .service <<<"$leaf")" --slots="$(jq -r .slots <<<"$leaf")" \
      --shard="$(jq -r .shard <<<"$leaf")" --shard_count="$(jq -r .shard_count <<<"$leaf")" >"$out.next" &
    echo "$!" >"$WORK/leaf-$2.pid"
    wait_for test -s "$out.next"
    address=$(jq -r .address "$out.next")
    control "$address" "{\"die_on\": \"${DIE_ON:-}\"}" >/dev/null
    mv "$out.next" "$out"
    wait "$!" || true
    echo "$2" >>"$WORK/deaths"
  done
}

# Starts the leaves on free ports and replaces DOCUMENT by a copy in WORK with the bound addresses.
# Leaves of the service OWN_PROCESS, if it is set, run in processes of their own.
start_leaves() {
  local leaf name
  leaf_list | jq --arg own "${OWN_PROCESS:-}" \
    'map(select(.service != $own) | .address = "127.0.0.1:0")' >"$WORK/leaves.json"
  start leaves "$bin/standins/berylreach-standin-leaf" --leaves="$WORK/leaves.json"
  while read -r leaf; do
    name=$(jq -r .name <<<"$leaf")
    keep_leaf "$leaf" "$name" 2>>"$WORK/leaf-$name.log" &
    PID[leaf-$name]=$!
    wait_for test -s "$WORK/leaf-$name.out" || return 1
  done < <(leaf_list | jq -c --arg own "${OWN_PROCESS:-}" '.[] | select(.service == $own)')
  jq -n '[inputs.leaves[] | {(.name): .address}] | add' "$WORK"/lea*.out >"$WORK/bound.json"
  jq --slurpfile bound "$WORK/bound.json" \
    '.services[].leaves[] |= (.address = $bound[0][.name])' "$DOCUMENT" >"$WORK/document.json"
  DOCUMENT=$WORK/document.json
}

# leaf_addresses FILTER: addresses of the leaves for which the jq expression holds; .service is set.
leaf_addresses() {
  jq -r ".services[] | .name as \$service | .leaves[] | .service = \$service | select($1) | .address" \
    "$DOCUMENT"
}

# control ADDRESS [FIELDS]: sets fields of a stand-in, or prints its counters.
control() {
  curl -sf --max-time 10 ${2:+--data "$2"} "http://$1/control"
}

# control_leaves FILTER FIELDS
control_leaves() {
  local address
  for address in $(leaf_addresses "$1"); do control "$address" "$2" >/dev/null || return 1; done
}

# start_host NAME ZONE [HTTP_ADDRESS]
start_host() {
  jq -n --arg host "$1" --arg zone "$2" --arg http "${3:-127.0.0.1:0}" --arg store "$STORE" \
    --arg list "$HOST_LIST" '{host: $host, environment: "production", zone: $zone,
      http_listen: $http, rpc_listen: "127.0.0.1:0", store_address: $store,
      host_list_address: $list}' >"$WORK/$1.json"
  rm -f "$WORK/$1.out"
  start "$1" "${host_program:-$bin/tools/berylreachd/berylreachd}" --settings="$WORK/$1.json"
  HTTP[$1]=$(jq -r .http "$WORK/$1.out")
}

# Two hosts in each zone of the document: ZONE-1 and ZONE-2.
start_hosts() {
  local zone number
  HOSTS=()
  for zone in $(jq -r '.zones[].name' "$DOCUMENT"); do
    for number in 1 2; do
      start_host "$zone-$number" "$zone" "$([[ ${#HOSTS[@]} -eq 0 ]] && echo "${FIRST_HTTP:-}")"
      HOSTS+=("$zone-$number")
    done
  done
}

is_ready() { curl -sf "http://${HTTP[$1]}/readyz"; }

all_ready() {
  local name
  for name in "${HOSTS[@]}"; do is_ready "$name" || return 1; done
}

# Starts everything, puts DOCUMENT in force and waits until all hosts take requests.
start_cluster() {
  start_platform && start_leaves && start_hosts || return 1
  berylctl submit "$DOCUMENT" --author cluster --note start >"$WORK/submit.out" || return 1
  wait_for all_ready
}

# kill_process SIGNAL NAME
kill_process() { kill "-$1" "${PID[$2]}"; }

# Waits for the end of a process and returns its exit status.
wait_process() {
  local status=0
  wait "${PID[$1]}" || status=$?
  unset "PID[$1]"
  return "$status"
}

# Stops the hosts as planned, then the stand-ins. Fails if a host does not end with status 0.
stop_cluster() {
  local name failed=0
  for name in "${HOSTS[@]}"; do kill_process TERM "$name" || failed=1; done
  for name in "${HOSTS[@]}"; do
    wait_process "$name" || { echo "$name: exit status $?" >&2; failed=1; }
  done
  kill_cluster
  return "$failed"
}

# Ends all processes at once.
kill_cluster() {
  local name
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null || true; done
  # Leaves of their own are children of keep_leaf, which no longer starts new ones.
  for name in "$WORK"/leaf-*.pid; do
    [[ ! -s $name ]] || kill -KILL "$(cat "$name")" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  PID=()
}

berylctl() { "$bin/tools/berylctl/berylctl" --store="$STORE" --environment=production "$@"; }

# post HOST PATH BODY: sends a request to a host.
post() {
  curl -s -X POST -H 'content-type: application/json' --data "$3" "http://${HTTP[$1]}$2"
}
