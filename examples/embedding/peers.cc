// Detects failed peers by their heartbeats and activates versions of the VM list by majority.
#include <chrono>
#include <string>
#include <vector>

#include "expectation.h"
#include "fuchsiaspring/membership/peer_table.h"
#include "fuchsiaspring/membership/view_tracker.h"

namespace base = fuchsiaspring::base;
namespace membership = fuchsiaspring::membership;
namespace schema = fuchsiaspring::schema;

using std::chrono::seconds;

namespace {

schema::VmList list_of(std::uint64_t version, const std::vector<std::string>& names) {
  schema::VmList message;
  message.set_version(version);
  for (const std::string& name : names) {
    auto& vm = *message.add_vms();
    vm.set_name(name);
    vm.set_failure_domain("domain-of-" + name);
    vm.set_state(schema::VM_STATE_LIVE);
  }
  return message;
}

// Heartbeat of a peer that has adopted every version up to `version` and reports `activated`
// active.
schema::Heartbeat heartbeat(std::uint64_t version, std::uint64_t activated) {
  schema::Heartbeat message;
  message.set_list_version(version);
  for (std::uint64_t adopted = 1; adopted <= version; ++adopted) {
    message.add_adopted_versions(adopted);
  }
  message.add_activated_versions(activated);
  return message;
}

}  // namespace

int main() {
  expectation check;
  const schema::VmList first = list_of(1, {"vm1", "vm2", "vm3"});
  base::time_point now{seconds(1000)};
  std::uint64_t wall_ms = 1'700'000'000'000;  // milliseconds since the Unix epoch
  membership::peer_table peers("vm1", "domain-of-vm1", {}, now);
  membership::view_tracker view("vm1", {}, wall_ms);
  peers.set_list(first, now);
  view.adopt(first);

  // vm3 sends no heartbeats after 25 s. A process may vote only about 20 s after its start.
  for (std::uint64_t second = 1; second <= 30; ++second) {
    now += seconds(1);
    wall_ms += 1000;
    peers.on_tick(now);
    for (const char* name : {"vm2", "vm3"}) {
      if (second <= 25 || name == std::string("vm2")) {
        peers.on_heartbeat(name, 7, second, heartbeat(1, 1), now);
        view.on_heartbeat(name, heartbeat(1, 1), wall_ms, now, wall_ms);
      }
    }
    view.advance(now, wall_ms);
  }
  check.that(peers.suspected(now) == std::vector<std::string>{"vm3"},
             "the silent peer is suspected");
  check.that(!peers.is_isolated(now), "a majority of the list is in contact");
  check.that(view.acting_version(now, wall_ms) == 1, "version 1 is active and confirmed");

  view.adopt(list_of(2, {"vm1", "vm2", "vm4"}));
  view.advance(now, wall_ms);
  check.that(view.acting_version(now, wall_ms) == 0,
             "no version is acted under while version 2 replaces version 1");
  view.on_heartbeat("vm2", heartbeat(2, 1), wall_ms + 1, now, wall_ms + 1);
  view.advance(now, wall_ms + 1);
  check.that(view.acting_version(now, wall_ms + 1) == 2, "a majority of the old list adopted 2");
  check.that(view.lists_for_claim(0).size() == 2, "claims still ask the recorders of version 1");
  return check.exit_status();
}
