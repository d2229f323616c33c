# Functions that measure the CPU of hosts under load. Sourced by datapath.sh and compare.sh after
# deployment.sh; they set WORK.

# CPU time of a process in units of 1/100 s.
cpu_of() { awk '{sub(/.*\) /, ""); print $12 + $13}' "/proc/${PID[$1]}/stat"; }
started_on() { curl -s "http://${HTTP[$1]}/metrics" | awk '$1 == "berylreach_leaf_calls_started" {print $2}'; }
# Times that its threads have waited.
switches_of() { cat /proc/"${PID[$1]}"/task/*/status | awk '/^voluntary_ctxt_switches/ { sum += $2 } END { print sum }'; }
rss_of() { awk '/^VmRSS/ {print $2}' "/proc/${PID[$1]}/status"; }

snapshot() {
  local host
  for host in "${HOSTS[@]}"; do echo "$host $(cpu_of "$host") $(started_on "$host") $(switches_of "$host")"; done
}

# measure_idle SECONDS: sets idle to the CPU time in ms per second of a host without queries, the mean
# of six.
measure_idle() {
  snapshot >"$WORK/before"
  sleep "$1"
  snapshot >"$WORK/after"
  idle=$(paste -d' ' "$WORK/before" "$WORK/after" |
    awk -v seconds="$1" '{ sum += ($6 - $2) * 10 } END { print sum / NR / seconds }')
}

# measure SHARDS RATE SECONDS: one row of the table.
measure() {
  local seconds=$3
  snapshot >"$WORK/before"
  load "$2" "$seconds" >"$WORK/load.json"
  snapshot >"$WORK/after"
  paste -d' ' "$WORK/before" "$WORK/after" | awk -v shards="$1" -v rate="$2" -v seconds="$seconds" \
    -v idle="$idle" -v entry_rss="$(rss_of "${HOSTS[0]}")" -v load="$(jq -r \
      '[.sent, .whole, .partial, .refused, .p50_ms, .p99_ms] | @tsv' "$WORK/load.json")" '
    { cpu = ($6 - $2) * 10 - idle * seconds; calls = $7 - $3; all += calls }
    { all_cpu += ($6 - $2) * 10; switches += $8 - $4 }
    NR == 1 { entry_cpu = cpu; entry_own = calls; next }
    { owner_cpu += cpu; owner_calls += calls }
    END {
      owner = owner_calls ? owner_cpu * 1000 / owner_calls : 0
      entry = all ? (entry_cpu * 1000 - entry_own * owner) / all : 0
      split(load, sent, "\t")
      printf "%d\t%g\t%d\t%.1f\t%.1f\t%.1f\t%d\t%d\t%s\t%.0f\t%.1f\n", shards, rate, all, entry, owner,
        idle, entry_own, entry_rss, load, all_cpu * 1000 / sent[1], switches / sent[1]
    }'
}

measure_header='shards\tqueries/s\tleaf_calls\tentry_us/call\towner_us/call\tidle_ms/s\tentry_owned_calls\tentry_rss_kb\tsent\twhole\tpartial\trefused\tp50_ms\tp99_ms\tall_hosts_us/query\tswitches/query\n'
