// Adopts the highest valid revision and never replaces it by a lower one.
#include <string>

#include "expectation.h"
#include "fuchsiaspring/distribution/reader_plan.h"
#include "fuchsiaspring/distribution/revision_store.h"

namespace base = fuchsiaspring::base;
namespace distribution = fuchsiaspring::distribution;
namespace schema = fuchsiaspring::schema;

namespace {

schema::Bundle bundle(std::uint64_t revision, const std::string& content) {
  schema::Bundle message;
  message.set_revision(revision);
  message.set_catalog(content);
  return message;
}

base::result<void> verify(const schema::Bundle& offered) {
  if (offered.catalog().starts_with("limit=")) {
    return base::success();
  }
  return base::error{base::error_code::invalid_argument, "the content names no limit"};
}

}  // namespace

int main() {
  expectation check;
  distribution::revision_store store(verify);
  schema::VmList list;
  for (const char* name : {"vm1", "vm2", "vm3"}) {
    auto& vm = *list.add_vms();
    vm.set_name(name);
    vm.set_failure_domain("a");
    vm.set_state(schema::VM_STATE_LIVE);
  }

  check.that(store.offer(bundle(5, "limit=8")) == distribution::offer_result::adopted,
             "the first valid revision is adopted");
  const auto reason = store.not_ready_reason(&list, "vm1");
  std::cout << "not ready: " << reason.value_or("-") << "\n";
  check.that(reason.has_value(), "a source that may be stale is not enough to be ready");
  store.on_peer_revision("vm2", 5);
  check.that(!store.not_ready_reason(&list, "vm1"), "a peer confirms the revision");

  check.that(store.offer(bundle(4, "limit=6")) == distribution::offer_result::not_newer,
             "an older revision changes nothing");
  check.that(store.offer(bundle(6, "nonsense")) == distribution::offer_result::refused,
             "a revision that is not valid is refused as a whole");
  std::cout << "refused revision " << store.refused_revision() << ": " << store.refusal_reason()
            << "\n";
  check.that(store.revision() == 5, "the last valid revision stays in force");
  check.that(store.offer(bundle(7, "limit=9")) == distribution::offer_result::adopted,
             "a later valid revision is adopted");

  int readers = 0;
  for (const auto& vm : list.vms()) {
    readers += distribution::is_reader(list, {}, vm.name(), {}) ? 1 : 0;
  }
  check.that(readers == 2, "two VMs of the failure domain read the configuration service");
  return check.exit_status();
}
