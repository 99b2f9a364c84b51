#!/usr/bin/env bash
# Checks for each invariant that a test fails when the code that enforces it is removed, and passes
# with it.
#
# Usage: scripts/prove-guards.sh [ID...]     (all by default; docs/proofs.md lists them)
#
# Works on a copy of the tracked files in a temporary folder. Prints one line per guard and
# "N passed, N failed". A guard passes if its test fails without it and passes with it.
set -euo pipefail
cd "$(dirname "$0")/.."
source_folder=$PWD
copy=$(mktemp -d)
trap 'rm -rf "$copy"' EXIT
git ls-files -z | xargs -0 cp --parents -t "$copy"
cp -r deps "$copy/deps"
cd "$copy"
cmake -S . -B build -G Ninja >/dev/null
cmake --build build >/dev/null
passed=0
failed=0

# prove ID FILE FROM TO TEST...: replaces the first FROM in FILE with TO and expects TEST to fail.
prove() {
  local id=$1 file=$2 from=$3 to=$4
  shift 4
  if [ "${#selected_ids[@]}" -gt 0 ] && [[ " ${selected_ids[*]} " != *" $id "* ]]; then
    return
  fi
  cp "$file" saved
  FROM=$from TO=$to perl -0pi -e 's/\Q$ENV{FROM}\E/$ENV{TO}/' "$file"
  local verdict
  if cmp -s saved "$file"; then
    verdict="the text to replace was not found"
  elif ! cmake --build build >build.log 2>&1; then
    verdict="does not build without the guard"
  elif timeout 300 "$@" >test.log 2>&1; then
    verdict="test passes without the guard"
  else
    verdict="fails without the guard"
  fi
  cp saved "$file"
  cmake --build build >/dev/null
  if [ "$verdict" = "fails without the guard" ] && timeout 300 "$@" >test.log 2>&1; then
    passed=$((passed + 1))
    verdict="$verdict, passes with it"
  else
    failed=$((failed + 1))
  fi
  echo "$id: $file: $verdict ($(basename "$1") $(basename "${*: -1}"))"
}

selected_ids=("$@")
tests=build/test-bin
scenario() { echo "build/bin/scenario-runner --programs build/bin tests/scenarios/$1.scenario"; }

prove I1 src/admission/admission_queue.cc 'queue->rank() != best.chosen->queue->rank()' 'false' $tests/admission_test
prove I2 src/admission/admission_queue.cc 'queue->floor_credit < 1' 'true' $tests/admission_test
prove I3 src/limits/loan_table.cc '      open += loan.open();' '' $tests/limits_test
prove I4 src/routing/router_update.cc 'return found != nullptr && found->out_of_service;' 'return false;' $(scenario domain_out_and_back)
prove I5a apps/gateway/stream_validator.cc 'reader.id == m_completion_id ?' 'true ?' $tests/gateway_test
prove I5b apps/gateway/attempt.cc '!echoed.empty() && echoed != record->id()' 'false' $tests/gateway_test
prove I5c apps/gateway/stream_relay.cc 'm_failure = {"upstream_incomplete", "The upstream ended its answer without the end marker."};' 'm_done = true;' $tests/gateway_test
prove I6a apps/gateway/attempt.cc 'return is_fresh && record.on_dispatched();' 'record.on_dispatched(); return true;' $tests/gateway_test
prove I6b src/http/upstream_transfer.cc 'transfer.sent = true;' '' $tests/gateway_test
prove I7a apps/gateway/retry_rule.cc 'return !failed.sent || request.idempotent;' 'return true;' $tests/gateway_test
prove I7b src/idempotency/claim_round.cc 'group.quorum = group.members.size() / 2 + 1;' 'group.quorum = 1;' $tests/schedule_test
prove I8 src/routing/router_events.cc '  if (report.draining) {' '  if (false) {' $(scenario cold_start_and_drain)
prove I9 apps/gateway/main.cc '  server.stop_accepting();' '  return;' $(scenario rolling_restart)
prove I10 src/distribution/revision_store.cc 'bundle.revision() <= revision()' 'bundle.revision() == revision()' $tests/distribution_test
prove S1 src/node/attempt_rule.cc '!has_run || (progress.is_idempotent && progress.runs < progress.max_runs)' 'true' $tests/soak_test
prove S2 include/fuchsiaspring/fleet/config_lease.h 'now - *m_proved_at < m_bound' 'true' $tests/soak_test
prove S3 apps/node/proxied_request.cc 'refuse(may_have_run ? 504 : 503' 'refuse(503' $tests/soak_test
prove S4 platform/headers.cc '  if (dispatch.last_event_id) {' '  if (false) {' $tests/soak_test
prove S5 apps/node/proxied_request.cc '[](proxied_request& request) { request.on_time_up(); }' '[](proxied_request&) {}' $tests/soak_test
prove S6 apps/node/node.cc 'm_log.write(telemetry::level::info, "node", "stopping"' 'm_io.stop(); m_log.write(telemetry::level::info, "node", "stopping"' $tests/soak_test
echo "$passed passed, $failed failed"
[ "$failed" -eq 0 ]
