#!/usr/bin/env bash
# Counts the bytes that six idle hosts send each other over TCP: payload with RPC framing, and
# segments. Needs ss. Takes about 20 s.
set -euo pipefail
source "$(dirname "$0")/../cluster.sh"
source "$root/scripts/capacity/deployment.sh"
WORK=$(mktemp -d)
trap 'stop_cluster; rm -rf "$WORK"' EXIT
seconds=10
header=52  # IP and TCP headers of a segment with timestamps, in bytes

# Bytes and segments sent so far over connections between hosts.
sent() {
  ss -tinH | paste - - | awk 'NR == FNR { ports[$1]; next }
    { n = split($4, local, ":"); m = split($5, peer, ":") }
    (local[n] in ports) || (peer[m] in ports) {
      for (i = 1; i <= NF; i++) {
        if (sub(/^bytes_sent:/, "", $i)) bytes += $i
        if (sub(/^segs_out:/, "", $i)) segments += $i
      }
    }
    END { print bytes, segments }' "$WORK/ports" -
}

start_deployment 20
for host in "${HOSTS[@]}"; do jq -r '.rpc | split(":")[1]' "$WORK/$host.out"; done >"$WORK/ports"
sleep 5
before=$(sent)
sleep "$seconds"
after=$(sent)
echo "$before $after" | awk -v hosts="${#HOSTS[@]}" -v seconds="$seconds" -v header="$header" '
  { bytes = ($3 - $1) / hosts / seconds; segments = ($4 - $2) / hosts / seconds }
  END {
    print "payload_bytes/s\tsegments/s\tbytes_with_headers/s"
    printf "%.0f\t%.1f\t%.0f\n", bytes, segments, bytes + header * segments
  }' | tee "$root/docs/capacity/wire.tsv"
