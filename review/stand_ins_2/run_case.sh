#!/bin/sh
# Runs the program of the case whose folder is given, with a temporary folder that is removed.
# Exit status: 1 if the rule was broken, 0 if it held, 2 if the case could not run.
set -u
case_folder=$(cd "$1" && pwd)
cd "$case_folder/../.."
program="target/review-2/case-$(basename "$case_folder")"
if [ ! -x "$program" ] || [ ! -x target/bin/fuchsia-node ]; then
  echo "build the deploy file and run review/build-2.sh first"
  exit 2
fi
folder=$(mktemp -d) || exit 2
TROUBLE="${TROUBLE:-1}" timeout -k 2 115 "$program" "$folder" "$case_folder/record.txt" &
pid=$!
trap 'kill "$pid" 2>/dev/null; rm -rf "$folder"' EXIT
trap 'exit 2' INT TERM
wait "$pid"
status=$?
if [ "$status" -gt 2 ]; then
  status=2
fi
exit "$status"
