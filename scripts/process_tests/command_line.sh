#!/usr/bin/env bash
# Guards against changes of the exit codes and messages of berylreachd and berylctl, on which scripts
# and supervisors rely.
set -uo pipefail
WORK=$(mktemp -d)
DOCUMENT=$(cd "$(dirname "${BASH_SOURCE[0]}")/../.." && pwd)/examples/remmevaerk.json
# shellcheck source=../cluster.sh
source "$(dirname "${BASH_SOURCE[0]}")/../cluster.sh"
failed=0

clean_up() {
  trap - EXIT
  kill_cluster
  rm -rf "$WORK"
  exit "$failed"
}
trap clean_up EXIT

# expect STATUS PATTERN COMMAND...: checks that the command exits with the status and prints a line that
# matches the extended regular expression. A failed check does not end the script.
expect() {
  local expected_status=$1 pattern=$2 status=0 output
  shift 2
  output=$(timeout 10 "$@" 2>&1 </dev/null) || status=$?
  if [[ $status != "$expected_status" ]] || ! grep -qE -e "$pattern" <<<"$output"; then
    printf 'FAILED: %s\n  status %s, expected %s with "%s":\n%s\n' "$*" "$status" "$expected_status" "$pattern" "$output" >&2
    failed=1
  fi
}

# write_settings FIELDS: writes valid settings, with the fields of the JSON object FIELDS added or
# replaced, to WORK/settings.json.
write_settings() {
  jq -n '{host: "a-1", environment: "production", zone: "a", http_listen: "127.0.0.1:0",
    rpc_listen: "127.0.0.1:0", store_address: "127.0.0.1:1", host_list_address: "127.0.0.1:1"} + $fields' \
    --argjson fields "$1" >"$WORK/settings.json"
}

berylreachd=$bin/tools/berylreachd/berylreachd
berylctl_program=$bin/tools/berylctl/berylctl

for program in "$berylreachd" "$berylctl_program"; do
  expect 0 '^exit codes' "$program" --help
  expect 0 '[0-9]+\.[0-9]+\.[0-9]+$' "$program" --version
  expect 0 '^commit (unknown|[0-9a-f]{12}(\+changed)?)$' "$program" --version
  expect 2 '--nonsense' "$program" --nonsense
  expect 2 'help' "$program"
done

expect 2 '--settings' "$berylreachd" --settings
expect 2 '--check=maybe' "$berylreachd" --check=maybe --settings=x
expect 2 'usage' "$berylreachd" --settings=x extra
expect 3 'cannot read settings file' "$berylreachd" --settings="$WORK/absent"
echo '{' >"$WORK/settings.json"
expect 3 'settings.json: is not complete JSON' "$berylreachd" --settings="$WORK/settings.json"
write_settings '{"host": "a 1", "extra": 1, "limits": {"running_requests": 0}}'
for pointer in /host /extra /limits/running_requests; do
  expect 3 "settings.json:$pointer: " "$berylreachd" --settings="$WORK/settings.json" --check
done
write_settings '{}'
expect 0 'settings are valid' "$berylreachd" --settings="$WORK/settings.json" --check
for address in garbage 0.0.0.0:0 127.0.0.1; do
  expect 3 '--http_listen: must be' "$berylreachd" --settings="$WORK/settings.json" --check --http_listen="$address"
  expect 3 '--rpc_listen: must be' "$berylreachd" --settings="$WORK/settings.json" --rpc_listen="$address"
done
start_process store "$bin/standins/berylreach-standin-store" || failed=1
used_address=$(jq -r .address "$WORK/store.out")
for flag in http_listen rpc_listen; do
  expect 4 "cannot listen on $used_address" "$berylreachd" --settings="$WORK/settings.json" "--$flag=$used_address"
done

expect 2 'unknown subcommand' "$berylctl_program" nonsense
expect 2 'cannot read file' "$berylctl_program" check "$WORK/absent"
expect 0 'is valid, hash' "$berylctl_program" check "$DOCUMENT"
jq '.services[0].leaves[3].zone = "nowhere" | del(.services[1].accepts)' "$DOCUMENT" >"$WORK/bad.json"
for pointer in /services/0/leaves/3/zone /services/1/accepts; do
  expect 3 "^  $pointer: " "$berylctl_program" check "$WORK/bad.json"
done
expect 6 'does not answer' "$berylctl_program" status --environment=trial --store=127.0.0.1:1 --timeout=1
