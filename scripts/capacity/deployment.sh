# Functions that start six hosts on a generated document. Sourced by datapath.sh and profile.sh, which
# set WORK.

# The leaf stand-in's service time. A shorter one is taken for a cold leaf on a busy machine, since
# two completions slower than 4 times the median reset the limit.
SERVICE_MS=${SERVICE_MS:-2}

# Sets the service time of all leaves with one curl process.
set_service_time() {
  jq -r --arg ms "$SERVICE_MS" '.leaves[].address
    | "next\nsilent\noutput = /dev/null\nurl = http://\(.)/control\ndata = \"{\\\"median_ms\\\":\($ms)}\""' \
    "$WORK/leaves.out" | curl --no-progress-meter -K -
}

# load QUERIES_PER_SECOND SECONDS: sends all queries to the first host.
load() {
  "$bin/benchmarks/berylreach-capacity" --measure=load --target="${HTTP[${HOSTS[0]}]}" --rate="$1" \
    --seconds="$2" --connections=64
}

# start_deployment SHARDS
start_deployment() {
  rm -f "$WORK"/*
  PID=()
  DOCUMENT=$WORK/source.json
  "$root/scripts/capacity/make-document.sh" "$1" >"$DOCUMENT"
  start_platform
  start_leaves
  set_service_time
  start_hosts
  berylctl submit "$DOCUMENT" --author=capacity --note=capacity >/dev/null 2>&1
  local host
  for host in "${HOSTS[@]}"; do wait_for is_ready "$host"; done
}

# Queries of the full width until leaves are warm and all answers are whole.
warm_up() {
  local limit=$((SECONDS + 30))
  until load 10 2 | jq -e '.sent == .whole' >/dev/null; do
    ((SECONDS < limit)) || { echo "no whole answers" >&2; return 1; }
  done
}
