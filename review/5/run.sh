#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves out the disruption. Writes record.txt.
set -u
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
for program in target/tools/berylreachd/berylreachd target/review/freeze_case; do
  [ -x "$program" ] || { echo "$program is not built"; exit 2; }
done
exec target/review/freeze_case "$folder/record.txt"
