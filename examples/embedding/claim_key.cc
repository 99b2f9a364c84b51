// At-most-once execution: an attempt may run only once two of three recorders have recorded its
// key.
#include <chrono>
#include <map>
#include <string>

#include "expectation.h"
#include "fuchsiaspring/idempotency/claim_round.h"
#include "fuchsiaspring/idempotency/key_recorder.h"

namespace base = fuchsiaspring::base;
namespace idempotency = fuchsiaspring::idempotency;
namespace schema = fuchsiaspring::schema;

using idempotency::claim_state;

namespace {

constexpr std::uint64_t list_version = 1;
constexpr std::uint64_t wall_ms = 1'700'000'000'000;  // milliseconds since the Unix epoch

schema::RecordKey make_record_key(const std::string& attempt) {
  schema::RecordKey message;
  message.set_scope("team-a/redeem");
  message.set_key_digest("digest-of-key-17");
  message.set_attempt_id(attempt);
  message.set_list_version(list_version);
  return message;
}

}  // namespace

int main() {
  expectation check;
  // A recorder abstains until it has run for the retention window, because it may have lost
  // records.
  const base::time_point now{std::chrono::hours(3)};
  const base::time_point started = now - std::chrono::hours(2);
  schema::VmList list;
  std::map<std::string, idempotency::key_recorder> recorders;
  list.set_version(list_version);
  for (const char* name : {"vm1", "vm2", "vm3"}) {
    auto& vm = *list.add_vms();
    vm.set_name(name);
    vm.set_failure_domain(name);
    vm.set_state(schema::VM_STATE_LIVE);
    recorders.try_emplace(name, idempotency::retention_rules{}, started, wall_ms - 7'200'000);
  }
  const auto claim = [&](const std::string& attempt, const std::string& silent_recorder) {
    const auto group = idempotency::choose_recorders(list, "team-a/redeem", "digest-of-key-17");
    idempotency::claim_round round(make_record_key(attempt), {group}, {}, now);
    for (const std::string& name : round.take_due_recorders(now)) {
      if (name != silent_recorder) {
        round.on_reply(name, recorders.at(name).record(round.request(), list_version, now, wall_ms),
                       now);
      }
    }
    round.advance(round.deadline());
    return round;
  };

  const auto first = claim("attempt-1", "vm3");
  check.that(first.state() == claim_state::granted, "granted although one recorder is silent");
  check.that(first.may_dispatch(now), "the first attempt may be dispatched");
  check.that(!first.may_dispatch(now + std::chrono::seconds(3)), "but not after a pause of 3 s");

  const auto second = claim("attempt-2", "");
  check.that(second.state() == claim_state::duplicate, "the same key is a duplicate");
  const auto third = claim("attempt-3", "vm1");
  check.that(!third.may_dispatch(now),
             "a third attempt is not dispatched when another recorder is silent");
  std::cout << recorders.at("vm1").size() << " record at vm1\n";
  return check.exit_status();
}
