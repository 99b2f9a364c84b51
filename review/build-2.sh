#!/bin/sh
# Builds the programs of the cases from review/6 on, with their stand-ins, into target/review-2.
# Needs a C++20 compiler and nothing else; the node itself comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/scenario.cpp; do
  [ -e "$source" ] || continue
  name=$(basename "$(dirname "$source")")
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -I review/stand_ins_2 "$source" -o "target/review-2/case-$name" -pthread
done
