#!/usr/bin/env bash
# Generates src/schema/*.pb.{h,cc} from schema/*.proto. Run it after a change to the schema and commit
# the result; CI checks that both agree.
set -euo pipefail
cd "$(dirname "$0")/.."
protoc -I schema --cpp_out="${1:-src/schema}" schema/*.proto
