#!/usr/bin/env bash
# Guards against exit codes and output of berylreachd and berylctl other than the documented ones, on
# which scripts and supervisors rely.
set -uo pipefail
WORK=$(mktemp -d)
DOCUMENT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/examples/remmevaerk.json
# shellcheck source=../cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"
failed=0

finish() {
  trap - EXIT
  kill_cluster
  rm -rf "$WORK"
  exit "$failed"
}
trap finish EXIT

# expect STATUS PATTERN COMMAND...: the command ends with the status and prints a line with the pattern.
expect() {
  local wanted=$1 pattern=$2 status=0 output
  shift 2
  output=$(timeout 10 "$@" 2>&1 </dev/null) || status=$?
  if [[ $status != "$wanted" ]] || ! grep -qE -e "$pattern" <<<"$output"; then
    printf 'FAILED: %s\n  status %s, wanted %s with "%s":\n%s\n' "$*" "$status" "$wanted" "$pattern" "$output" >&2
    failed=1
  fi
}

# settings FIELDS: a settings file with these fields changed.
settings() {
  jq -n '{host: "a-1", environment: "production", zone: "a", http_listen: "127.0.0.1:0",
    rpc_listen: "127.0.0.1:0", store_address: "127.0.0.1:1", host_list_address: "127.0.0.1:1"} + $fields' \
    --argjson fields "$1" >"$WORK/settings.json"
}

host=$bin/tools/berylreachd/berylreachd
tool=$bin/tools/berylctl/berylctl

for program in "$host" "$tool"; do
  expect 0 '^exit codes' "$program" --help
  expect 0 '[0-9]+\.[0-9]+\.[0-9]+$' "$program" --version
  expect 2 '--nonsense' "$program" --nonsense
  expect 2 'help' "$program"
done

expect 2 '--settings' "$host" --settings
expect 2 '--check=maybe' "$host" --check=maybe --settings=x
expect 2 'usage' "$host" --settings=x extra
expect 3 'cannot read settings file' "$host" --settings="$WORK/absent"
echo '{' >"$WORK/settings.json"
expect 3 'settings.json: is not complete JSON' "$host" --settings="$WORK/settings.json"
settings '{"host": "a 1", "extra": 1, "limits": {"running_requests": 0}}'
for pointer in /host /extra /limits/running_requests; do
  expect 3 "settings.json:$pointer: " "$host" --settings="$WORK/settings.json" --check
done
settings '{}'
expect 0 'settings are valid' "$host" --settings="$WORK/settings.json" --check
for address in garbage 0.0.0.0:0 127.0.0.1; do
  expect 3 '--http_listen: must be' "$host" --settings="$WORK/settings.json" --check --http_listen="$address"
  expect 3 '--rpc_listen: must be' "$host" --settings="$WORK/settings.json" --rpc_listen="$address"
done
start store "$bin/standins/berylreach-standin-store" || failed=1
taken=$(jq -r .address "$WORK/store.out")
for flag in http_listen rpc_listen; do
  expect 4 "cannot listen on $taken" "$host" --settings="$WORK/settings.json" "--$flag=$taken"
done

expect 2 'unknown subcommand' "$tool" nonsense
expect 2 'cannot read file' "$tool" check "$WORK/absent"
expect 0 'is valid, hash' "$tool" check "$DOCUMENT"
jq '.services[0].leaves[3].zone = "nowhere" | del(.services[1].accepts)' "$DOCUMENT" >"$WORK/bad.json"
for pointer in /services/0/leaves/3/zone /services/1/accepts; do
  expect 3 "^  $pointer: " "$tool" check "$WORK/bad.json"
done
expect 6 'does not answer' "$tool" status --environment=trial --store=127.0.0.1:1 --timeout=1
