#!/usr/bin/env bash
# Runs a case from the root of the repository. Usage: run_case.sh FOLDER RECORD
set -uo pipefail
folder="$1"
record="$2"
cd "$folder/../.."
program="review/build/case-$(basename "$folder")"
if [ ! -x "$program" ] || [ ! -x target/bin/fuchsia-node ]; then
  echo "build the deploy file and review/build.sh first" | tee "$record"
  exit 2
fi
# TROUBLE=0 leaves the disruption out.
TROUBLE="${TROUBLE:-1}" timeout -k 5 115 "$program" "$record"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
