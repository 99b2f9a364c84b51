#!/usr/bin/env bash
# Builds the programs of the cases, with all stand-ins that they start, into review/build.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
for source in [1-9]/case.cpp; do
  [ -f "$source" ] || continue
  number="${source%%/*}"
  g++ -std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -Istand_ins "$source" -o "build/case-$number"
done
