#!/usr/bin/env bash
# Builds the stand-ins of the cases in target/review/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
flags=(-std=c++20 -O1 -Wall -Wextra)
objects=()
for source in event_loop http store leaf host case_support deployment; do
  g++ "${flags[@]}" -c "review/standins/$source.cc" -o "target/review/$source.o"
  objects+=("target/review/$source.o")
done
for source in review/standins/*_case.cc; do
  g++ "${flags[@]}" "$source" "${objects[@]}" -lboost_json \
    -o "target/review/$(basename "$source" .cc)"
done
