#!/usr/bin/env bash
# Runs clang-tidy over the sources, except the tests, whose macros trigger false findings.
# Usage: scripts/lint.sh [FILE...]. Needs a configured build folder. Skips a file that has passed before
# with the same content, headers and .clang-tidy; build/lint-cache holds the digests.
set -euo pipefail
cd "$(dirname "$0")/.."
if [ "$#" -gt 0 ]; then
  files=("$@")
else
  mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.cc' |
    grep -v '\.pb\.' | grep -vE '(_test|cppunit_main)\.cc$')
fi
mkdir -p build/lint-cache
headers=$(git ls-files --cached --others --exclude-standard '*.h' .clang-tidy | sort | xargs cat | sha256sum)
check_one() {
  local key
  key=$( (echo "$headers"; cat "$1") | sha256sum | cut -d' ' -f1)
  [ -e "build/lint-cache/$key" ] && return 0
  clang-tidy --quiet -p build "$1" 2>build/lint-cache/"$key".err || { tail -5 build/lint-cache/"$key".err; return 1; }
  touch "build/lint-cache/$key"
}
export -f check_one
export headers
printf '%s\n' "${files[@]}" | xargs -P "$(nproc)" -I{} bash -c 'check_one {}'
