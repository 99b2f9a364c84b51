#include "fuchsiaspring/routing/subset.h"

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::routing {
namespace {

std::vector<std::string> names_of(const pool_config& pool) {
  std::vector<std::string> names;
  names.reserve(pool.upstreams.size());
  for (const upstream_config& upstream : pool.upstreams) {
    names.push_back(upstream.name);
  }
  return names;
}

}  // namespace

std::vector<std::size_t> choose_subset(const router_config& config, const pool_config& pool,
                                       const vm_identity& vm) {
  return base::rendezvous_top(vm.name, names_of(pool), config.subset_size);
}

std::vector<std::vector<std::string>> users_by_upstream(const router_config& config,
                                                        const pool_config& pool,
                                                        std::span<const vm_identity> vms) {
  const std::vector<std::string> names = names_of(pool);
  std::vector<std::vector<std::string>> users(names.size());
  for (const vm_identity& vm : vms) {
    for (const std::size_t index : base::rendezvous_top(vm.name, names, config.subset_size)) {
      users[index].push_back(vm.name);
    }
  }
  return users;
}

}  // namespace fuchsiaspring::routing
