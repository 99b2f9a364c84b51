#!/usr/bin/env bash
# Runs a case from the root of the repository. Its run.sh calls this with its own folder.
set -uo pipefail
folder="$(cd "$1" && pwd)"
number="$(basename "$folder")"
cd "$folder/../.."
program="review/build/case-$number"
if [ ! -x "$program" ] || [ ! -x target/bin/fuchsia-node ]; then
  echo "build the deploy file and review/build.sh first" | tee "review/$number/record.txt"
  exit 2
fi
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" timeout -k 5 115 "$program" "review/$number/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
