#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts in target/review-2/ (git ignores target/).
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
out=${REVIEW_BIN:-$here/../target/review-2}
mkdir -p "$out"
for source in "$here"/*/play.cc; do
  number=$(basename "$(dirname "$source")")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "$out/case-$number" -lboost_json
done
