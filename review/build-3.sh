#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 into target/review-3/. Needs the packages of
# deploy/system.toml and nothing else.
set -euo pipefail
cd "$(dirname "$0")/.."

mkdir -p target/review-3
for number in 11 12 13 14 15; do
  for source in review/"$number"/*.cpp; do
    [ -f "$source" ] || continue
    c++ -std=c++20 -O1 -pthread -I review/stand_ins_3 -o "target/review-3/$number" "$source"
  done
done
