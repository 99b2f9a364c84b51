// The upstreams of a pool that one VM uses, and the VMs that use one upstream.
//
//   auto subset = routing::choose_subset(config, pool, self);  // indices into pool.upstreams
//   auto users = routing::users_by_upstream(config, pool, vms);  // indexed like pool.upstreams
//   auto share = limits::static_share(limit, upstream.name, users[i], self.name);
//
// The result depends only on names, so that every node computes the same sets without messages.
// Out-of-service marks have no effect: a mark must not change the credits of other upstreams.
// All functions are thread-safe.
#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <vector>

#include "fuchsiaspring/routing/config.h"

namespace fuchsiaspring::routing {

// Indices into `pool.upstreams` that `vm` uses, at most `config.subset_size`.
std::vector<std::size_t> choose_subset(const router_config& config, const pool_config& pool,
                                       const vm_identity& vm);

// For each upstream of `pool` the names of those `vms` whose subset contains it.
std::vector<std::vector<std::string>> users_by_upstream(const router_config& config,
                                                        const pool_config& pool,
                                                        std::span<const vm_identity> vms);

}  // namespace fuchsiaspring::routing
