// Plain configuration of the router, filled from the operators' objects and the VM list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fuchsiaspring::routing {

struct upstream_config {
  std::string name;  // unique over all pools
  std::string failure_domain;
  std::uint32_t limit = 0;       // concurrent requests of the whole fleet when warm
  std::uint32_t cold_limit = 0;  // first step of the cold-start ramp; 0 means 1
  bool out_of_service = false;

  friend bool operator==(const upstream_config&, const upstream_config&) = default;
};

struct pool_config {
  std::string name;
  std::vector<upstream_config> upstreams;

  friend bool operator==(const pool_config&, const pool_config&) = default;
};

struct domain_config {
  std::string name;
  std::vector<std::string> nearest;  // other domains, nearest first; domains not listed come last
  bool out_of_service = false;

  friend bool operator==(const domain_config&, const domain_config&) = default;
};

struct vm_identity {
  std::string name;
  std::string failure_domain;

  friend bool operator==(const vm_identity&, const vm_identity&) = default;
};

struct router_config {
  vm_identity self;
  std::size_t subset_size = 16;  // upstreams of a pool that one VM uses; the same on all VMs
  std::vector<pool_config> pools;
  std::vector<domain_config> domains;

  friend bool operator==(const router_config&, const router_config&) = default;
};

}  // namespace fuchsiaspring::routing
