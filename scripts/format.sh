#!/usr/bin/env bash
# Formats the sources, or with --check only reports files that differ from the format.
set -euo pipefail
cd "$(dirname "$0")/.."
mapfile -t files < <(git ls-files --cached --others --exclude-standard '*.h' '*.cc' | grep -v '\.pb\.')
if [ "${1:-}" = "--check" ]; then
  clang-format --dry-run -Werror "${files[@]}"
else
  clang-format -i "${files[@]}"
fi
