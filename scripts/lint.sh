#!/usr/bin/env bash
# Checks the format of all C++ files and runs clang-tidy on each translation unit, except generated
# code. With --change, clang-tidy runs only on the translation units that differ from main.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v generated/)
clang-format --dry-run --Werror "${files[@]}"
mapfile -t units < <(printf '%s\n' "${files[@]}" | grep '\.cc$')
if [[ "${1:-}" == --change ]]; then
  mapfile -t units < <({ git diff --name-only --diff-filter=d main -- '*.cc'; git ls-files --others --exclude-standard '*.cc'; } | sort -u)
fi
[[ ${#units[@]} -gt 0 ]] || exit 0
# run-clang-tidy takes regular expressions, so each path is anchored at a slash and at its end.
patterns=("${units[@]/#//}")
run-clang-tidy -quiet -p build -j "$(nproc)" "${patterns[@]/%/\$}" >build/lint.log 2>&1 || {
  grep -E '(warning|error):' build/lint.log | sort -u
  exit 1
}
