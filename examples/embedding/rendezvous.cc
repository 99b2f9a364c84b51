// Rendezvous hashing: every node with the same list chooses the same owners of a key, and removing
// a member moves only the keys that it owned.
#include <string>
#include <vector>

#include "expectation.h"
#include "fuchsiaspring/base/hash.h"

namespace base = fuchsiaspring::base;

namespace {

// Number of 1,000 keys whose first owner differs between `before` and `after`.
int count_moved(const std::vector<std::string>& before, const std::vector<std::string>& after) {
  int moved = 0;
  for (int i = 0; i < 1000; ++i) {
    const std::string key = "key-" + std::to_string(i);
    const std::string& old_owner = before[base::rendezvous_top(key, before, 1).front()];
    const std::string& new_owner = after[base::rendezvous_top(key, after, 1).front()];
    moved += old_owner == new_owner ? 0 : 1;
  }
  return moved;
}

}  // namespace

int main() {
  expectation check;
  const std::vector<std::string> nodes{"vm1", "vm2", "vm3", "vm4", "vm5"};
  const auto owners = base::rendezvous_top("invoice-17", nodes, 3);
  std::cout << "owners of invoice-17:";
  for (const std::size_t owner : owners) {
    std::cout << " " << nodes[owner];
  }
  std::cout << "\n";
  check.that(owners.size() == 3, "three different members own the key");

  const std::vector<std::string> reversed{nodes.rbegin(), nodes.rend()};
  check.that(count_moved(nodes, reversed) == 0, "the order of the list has no influence");

  const std::vector<std::string> without_vm3{"vm1", "vm2", "vm4", "vm5"};
  const int moved = count_moved(nodes, without_vm3);
  std::cout << moved << " of 1000 keys move when one of five members leaves\n";
  check.that(moved > 150 && moved < 250, "about a fifth of the keys move");
  return check.exit_status();
}
