# shellcheck shell=bash
# Functions that start, control and stop a local deployment: stand-ins for the platform and the
# leaves, and two hosts in each zone of the document. Sourced by the demo, the process tests and the
# capacity measurements. All processes listen on loopback addresses.
#
# The sourcing script sets WORK (an empty folder) and DOCUMENT (the path of the deployment document).
# It may also set
#   STORE_ADDRESS        address on which the store listens, otherwise a free port
#   FIRST_HTTP           HTTP address of the first host, otherwise a free port
#   OWN_PROCESS_SERVICE  service whose leaves each run in a process of their own
#   DIE_ON               text; these leaves crash on a request that contains it
#   host_program         path of berylreachd, otherwise the one in build/

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/build
declare -A PID=()   # process ids by name
declare -A HTTP=()  # HTTP addresses of hosts by name

# wait_for COMMAND...: repeats the command until it succeeds, and fails after 20 s.
wait_for() {
  local deadline=$((SECONDS + 20))
  until "$@" >/dev/null 2>&1; do
    if ((SECONDS >= deadline)); then
      echo "timed out waiting for: $*" >&2
      return 1
    fi
    sleep 0.05
  done
}

# start_process NAME COMMAND...: starts a process in the background and waits until it prints its
# addresses, which it does once it is ready. Its output goes to WORK/NAME.out and WORK/NAME.log.
start_process() {
  local name=$1
  shift
  "$@" >"$WORK/$name.out" 2>>"$WORK/$name.log" &
  PID[$name]=$!
  wait_for test -s "$WORK/$name.out"
}

# Prints the leaves of DOCUMENT as a JSON array in the form that the leaf stand-in reads. The leaves
# of a service are sorted by name and assigned to its shards in that order, so that the replicas of a
# shard are adjacent.
leaf_list() {
  jq '[.services[] | . as $s | ($s.leaves | sort_by(.name)) as $l | range($l | length) as $i
    | $l[$i] + {service: $s.name, shard: (($i * $s.shards / ($l | length)) | floor),
                shard_count: $s.shards} | del(.zone)]' "$DOCUMENT"
}

# Starts the store and the host list, and sets STORE and HOST_LIST to their addresses.
start_platform() {
  start_process store "$bin/standins/berylreach-standin-store" --address="${STORE_ADDRESS:-127.0.0.1:0}"
  start_process hostlist "$bin/standins/berylreach-standin-hostlist"
  STORE=$(jq -r .address "$WORK/store.out")
  HOST_LIST=$(jq -r .address "$WORK/hostlist.out")
}

# supervise_leaf LEAF NAME: runs one leaf in a process of its own and restarts it on the same address
# whenever it exits. Each exit adds a line to WORK/deaths. A new process does not know DIE_ON, so it is
# set after each start.
supervise_leaf() {
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

# Starts the leaves on free ports and sets DOCUMENT to a copy that contains their addresses. The leaves
# of OWN_PROCESS_SERVICE run in processes of their own, all others in a single process.
start_leaves() {
  local leaf name
  leaf_list | jq --arg own "${OWN_PROCESS_SERVICE:-}" \
    'map(select(.service != $own) | .address = "127.0.0.1:0")' >"$WORK/leaves.json"
  start_process leaves "$bin/standins/berylreach-standin-leaf" --leaves="$WORK/leaves.json"
  while read -r leaf; do
    name=$(jq -r .name <<<"$leaf")
    supervise_leaf "$leaf" "$name" 2>>"$WORK/leaf-$name.log" &
    PID[leaf-$name]=$!
    wait_for test -s "$WORK/leaf-$name.out" || return 1
  done < <(leaf_list | jq -c --arg own "${OWN_PROCESS_SERVICE:-}" '.[] | select(.service == $own)')
  jq -n '[inputs.leaves[] | {(.name): .address}] | add' "$WORK"/lea*.out >"$WORK/bound.json"
  jq --slurpfile bound "$WORK/bound.json" \
    '.services[].leaves[] |= (.address = $bound[0][.name])' "$DOCUMENT" >"$WORK/document.json"
  DOCUMENT=$WORK/document.json
}

# leaf_addresses FILTER: prints the addresses of the leaves for which the jq expression FILTER is true.
# In FILTER, .service is the name of the leaf's service.
leaf_addresses() {
  jq -r ".services[] | .name as \$service | .leaves[] | .service = \$service | select($1) | .address" \
    "$DOCUMENT"
}

# control ADDRESS [FIELDS]: sets the fields of the JSON object FIELDS in a stand-in; prints its
# counters if FIELDS is missing.
control() {
  curl -sf --max-time 10 ${2:+--data "$2"} "http://$1/control"
}

# control_leaves FILTER FIELDS: sets FIELDS in all leaves that leaf_addresses prints for FILTER.
control_leaves() {
  local address
  for address in $(leaf_addresses "$1"); do control "$address" "$2" >/dev/null || return 1; done
}

# start_host NAME ZONE [HTTP_ADDRESS]: starts a host and sets HTTP[NAME] to its address.
start_host() {
  jq -n --arg host "$1" --arg zone "$2" --arg http "${3:-127.0.0.1:0}" --arg store "$STORE" \
    --arg list "$HOST_LIST" '{host: $host, environment: "production", zone: $zone,
      http_listen: $http, rpc_listen: "127.0.0.1:0", store_address: $store,
      host_list_address: $list}' >"$WORK/$1.json"
  rm -f "$WORK/$1.out"
  start_process "$1" "${host_program:-$bin/tools/berylreachd/berylreachd}" --settings="$WORK/$1.json"
  HTTP[$1]=$(jq -r .http "$WORK/$1.out")
}

# Starts two hosts in each zone of the document, named ZONE-1 and ZONE-2, and sets HOSTS to their names.
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

# Starts the whole deployment, submits DOCUMENT and waits until all hosts are ready.
start_cluster() {
  start_platform && start_leaves && start_hosts || return 1
  berylctl submit "$DOCUMENT" --author cluster --note start >"$WORK/submit.out" || return 1
  wait_for all_ready
}

# signal_process SIGNAL NAME: sends a signal to a process. Signal 0 only checks that it runs.
signal_process() { kill "-$1" "${PID[$2]}"; }

# wait_process NAME: waits until the process exits and returns its exit status.
wait_process() {
  local status=0
  wait "${PID[$1]}" || status=$?
  unset "PID[$1]"
  return "$status"
}

# Sends SIGTERM to all hosts, which is a planned stop, then kills the stand-ins. Fails if a host does
# not exit with status 0.
stop_cluster() {
  local name failed=0
  for name in "${HOSTS[@]}"; do signal_process TERM "$name" || failed=1; done
  for name in "${HOSTS[@]}"; do
    wait_process "$name" || { echo "$name: exit status $?" >&2; failed=1; }
  done
  kill_cluster
  return "$failed"
}

# Kills all processes with SIGKILL.
kill_cluster() {
  local name
  for name in "${!PID[@]}"; do kill -KILL "${PID[$name]}" 2>/dev/null || true; done
  # Leaves in processes of their own are children of supervise_leaf. Its subshell has been killed
  # above, so that no leaf is restarted.
  for name in "$WORK"/leaf-*.pid; do
    [[ ! -s $name ]] || kill -KILL "$(cat "$name")" 2>/dev/null || true
  done
  wait 2>/dev/null || true
  PID=()
}

berylctl() { "$bin/tools/berylctl/berylctl" --store="$STORE" --environment=production "$@"; }

# post HOST PATH BODY: sends a POST request with a JSON body to a host and prints the response body.
post() {
  curl -s -X POST -H 'content-type: application/json' --data "$3" "http://${HTTP[$1]}$2"
}
