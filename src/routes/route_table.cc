#include "fuchsiaspring/routes/route_table.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::routes {
namespace {

std::string host_key(std::string_view host) {
  std::string key(host.substr(0, host.find(':')));
  std::transform(key.begin(), key.end(), key.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
  });
  return key;
}

}  // namespace

route_table::route_table(configuration config) : m_config(std::move(config)) {
  for (const route& each : m_config.routes) {
    m_by_host[host_key(each.host)].push_back(&each);
  }
  for (auto& [host, host_routes] : m_by_host) {
    std::stable_sort(host_routes.begin(), host_routes.end(),
                     [](const route* left, const route* right) {
                       return left->prefix.size() > right->prefix.size();
                     });
  }
  for (const team& each : m_config.teams) {
    for (const std::string& key : each.api_keys) {
      m_by_key.emplace(key, &each);
    }
  }
  for (const service& each : m_config.services) {
    m_by_name.emplace(each.name, &each);
  }
}

const route* route_table::find_route(std::string_view host, std::string_view path) const {
  const auto found = m_by_host.find(host_key(host));
  if (found == m_by_host.end()) {
    return nullptr;
  }
  const std::string_view path_without_query = path.substr(0, path.find('?'));
  for (const route* each : found->second) {
    if (path_without_query.starts_with(each->prefix)) {
      return each;
    }
  }
  return nullptr;
}

const team* route_table::find_team(std::string_view api_key) const {
  const auto found = m_by_key.find(api_key);
  return found == m_by_key.end() ? nullptr : found->second;
}

key_check route_table::check_key(const route& r, const std::optional<std::string>& api_key) const {
  if (r.is_public) {
    return {.verdict = key_verdict::not_needed};
  }
  if (!api_key) {
    return {.verdict =
                m_config.teams.asks_for_keys() ? key_verdict::missing : key_verdict::not_needed};
  }
  const team* owner = find_team(*api_key);
  return {.verdict = owner != nullptr ? key_verdict::valid : key_verdict::unknown, .owner = owner};
}

const service* route_table::find_service(std::string_view name) const {
  const auto found = m_by_name.find(name);
  return found == m_by_name.end() ? nullptr : found->second;
}

base::region_limit home_regions(const route& r, const team* owner) {
  return owner == nullptr ? r.home_regions : both(r.home_regions, owner->home_regions);
}

const std::string& choose_service(const route& r, double draw) {
  double total = 0;
  for (const weighted_service& each : r.services) {
    total += std::max(0.0, each.weight);
  }
  double remaining = draw * total;
  for (const weighted_service& each : r.services) {
    remaining -= std::max(0.0, each.weight);
    if (remaining < 0) {
      return each.service;
    }
  }
  return r.services.back().service;
}

}  // namespace fuchsiaspring::routes
