// Divides the limit of one upstream among three VMs; a busy VM borrows credits that the others do
// not use.
#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "expectation.h"
#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/limits/static_share.h"

namespace base = fuchsiaspring::base;
namespace limits = fuchsiaspring::limits;

namespace {

constexpr std::uint32_t limit = 10;
const std::vector<std::string> users{"vm1", "vm2", "vm3"};

// Three ledgers with immediate delivery of the messages between them.
class fleet {
 public:
  explicit fleet(base::time_point now) {
    for (std::uint64_t i = 0; i < users.size(); ++i) {
      const limits::ledger_identity identity{"engine-1", users[i], i + 1};
      auto& ledger =
          m_ledgers.emplace(users[i], limits::share_ledger(identity, {}, now)).first->second;
      ledger.set_limit(limit);
      ledger.update_view({.list = 1, .bundle = 1}, users, now);
    }
  }
  limits::share_ledger& at(const std::string& name) { return m_ledgers.at(name); }

  void run(base::duration time, base::time_point& now) {
    for (const base::time_point end = now + time; now < end;
         now += std::chrono::milliseconds(100)) {
      for (auto& [name, ledger] : m_ledgers) {
        ledger.on_majority_contact(now);
        deliver(name, ledger.tick(now), now);
      }
    }
  }
  std::uint32_t usable_sum(base::time_point now) const {
    std::uint32_t sum = 0;
    for (const auto& [name, ledger] : m_ledgers) {
      std::cout << name << " may use " << ledger.usable_slots(now) << "; ";
      sum += ledger.usable_slots(now);
    }
    std::cout << "sum " << sum << " of " << limit << "\n";
    return sum;
  }

 private:
  void deliver(const std::string& from, const std::vector<limits::outgoing_message>& messages,
               base::time_point now) {
    for (const limits::outgoing_message& message : messages) {
      deliver(message.to, m_ledgers.at(message.to).on_message(from, message.body, now), now);
    }
  }
  std::map<std::string, limits::share_ledger> m_ledgers;
};

}  // namespace

int main() {
  expectation check;
  base::time_point now{std::chrono::hours(1)};
  fleet vms(now);
  check.that(vms.usable_sum(now) == 0, "a started VM may use nothing before its view is in force");
  vms.run(std::chrono::seconds(20), now);
  check.that(vms.usable_sum(now) == limit, "the shares add up to the limit");

  const std::uint32_t own = limits::static_share(limit, "engine-1", users, "vm1");
  vms.at("vm1").set_demand({limit});
  vms.run(std::chrono::seconds(3), now);
  check.that(vms.usable_sum(now) <= limit, "loans never exceed the limit");
  check.that(vms.at("vm1").usable_slots(now) > own, "the busy VM has borrowed");
  return check.exit_status();
}
