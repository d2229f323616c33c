#!/usr/bin/env bash
# Checks formatting and runs clang-tidy once over each translation unit. Generated code is excluded.
# With --change only the translation units that differ from main are linted.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
if [[ "${1:-}" == --change ]]; then
  mapfile -t units < <({ git diff --name-only --diff-filter=d main -- '*.cc'; git ls-files --others --exclude-standard '*.cc'; } | sort -u)
fi
[[ ${#units[@]} -gt 0 ]] || exit 0
# Names given to run-clang-tidy are patterns, hence the anchors.
patterns=("${units[@]/#//}")
run-clang-tidy -quiet -p build -j "$(nproc)" "${patterns[@]/%/\$}" >build/lint.log 2>&1 || {
  grep -E '(warning|error):' build/lint.log | sort -u
  exit 1
}
