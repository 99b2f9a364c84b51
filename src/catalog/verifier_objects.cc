// Checks of classes, teams, pools and failure domains.
#include <algorithm>
#include <set>

#include "catalog/verifier.h"
#include "fuchsiaspring/catalog/verify.h"
#include "fuchsiaspring/settings/address.h"

namespace fuchsiaspring::catalog::internal {
namespace {

constexpr std::size_t digest_length = 64;
constexpr std::size_t max_model_length = 128;
constexpr std::string_view empty_token_digest =
    "e3b0c44298fc1c149afbf4c8996fb92427ae41e4649b934ca495991b7852b855";

std::string item_key(const std::string& list, int index) {
  return list + "[" + std::to_string(index) + "]";
}

bool is_digest(std::string_view text) {
  return text.size() == digest_length &&
         text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

bool is_model_name(std::string_view text) {
  return !text.empty() && text.size() <= max_model_length &&
         std::all_of(text.begin(), text.end(),
                     [](char letter) { return letter > ' ' && letter <= '~' && letter != '"'; });
}

template <typename List>
bool contains(const List& list, const std::string& value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}

}  // namespace

void verifier::check_classes() {
  unsigned floors = 0;
  std::uint32_t highest_rank = ~0U;
  std::map<std::string, std::uint32_t, std::less<>> ranks;
  for (const auto& tier : m_objects.tiers()) {
    ranks.emplace(tier.name(), tier.rank());
    highest_rank = std::min(highest_rank, tier.rank());
  }
  for (int i = 0; i < m_objects.classes_size(); ++i) {
    const schema::RequestClass& item = m_objects.classes(i);
    const std::string key = item_key("classes", i);
    check_reference(m_tiers, "tier", item.tier(), key + ".tier");
    check_reference(m_levels, "service level", item.service_level(), key + ".service_level");
    check_class_pool(item, key);
    floors += std::min(item.floor_per_mille(), 1000U);
    if (!item.idempotent() && item.retry_budget_per_mille() > 0) {
      error(key + ".retry_budget_per_mille",
            "class " + in_quotes(item.name()) + " is not idempotent and is never retried");
    }
    if (!item.idempotent() && item.preemptible()) {
      error(key + ".preemptible",
            "class " + in_quotes(item.name()) + " is not idempotent and is never preempted");
    }
    const auto rank = ranks.find(item.tier());
    if (item.preemptible() && rank != ranks.end() && rank->second == highest_rank) {
      warning(key + ".preemptible", "has no effect, no tier is above " + in_quotes(item.tier()));
    }
  }
  if (floors > max_floor_sum_per_mille) {
    error("classes", "the floors add up to " + std::to_string(floors) +
                         " per mille, accepted: " + std::to_string(max_floor_sum_per_mille));
  }
}

void verifier::check_class_pool(const schema::RequestClass& item, const std::string& key) {
  if (item.pool().empty()) {
    return;  // the pool is selected by the model of each request
  }
  check_reference(m_pools, "pool", item.pool(), key + ".pool");
  const auto has_name = [](const std::string& name) {
    return [&name](const auto& object) { return object.name() == name; };
  };
  const auto& pools = m_objects.pools();
  const auto& levels = m_objects.service_levels();
  const auto pool = std::find_if(pools.begin(), pools.end(), has_name(item.pool()));
  const auto level = std::find_if(levels.begin(), levels.end(), has_name(item.service_level()));
  if (pool != pools.end() && level != levels.end() &&
      pool->first_byte_timeout_ms() < level->first_token_ms()) {
    warning(key + ".service_level", "first_byte_timeout_ms of pool " + in_quotes(pool->name()) +
                                        " is " + std::to_string(pool->first_byte_timeout_ms()) +
                                        " ms, below the first-token target of " +
                                        std::to_string(level->first_token_ms()) + " ms");
  }
}

void verifier::check_teams() {
  name_table digests;
  for (int i = 0; i < m_objects.teams_size(); ++i) {
    const schema::Team& team = m_objects.teams(i);
    const std::string key = item_key("teams", i);
    if (team.classes().empty()) {
      error(key, "team " + in_quotes(team.name()) + " may use no class");
    }
    check_distinct(team.classes(), key + ".classes", "class");
    for (int item = 0; item < team.classes_size(); ++item) {
      check_reference(m_classes, "class", team.classes(item), item_key(key + ".classes", item));
    }
    check_reference(m_classes, "class", team.default_class(), key + ".default_class");
    if (m_classes.contains(team.default_class()) && !team.default_class().empty() &&
        !contains(team.classes(), team.default_class())) {
      error(key + ".default_class", "team " + in_quotes(team.name()) + " may not use class " +
                                        in_quotes(team.default_class()));
    }
    check_tokens(team, key, digests);
    check_guarantees(team, key);
  }
}

void verifier::check_tokens(const schema::Team& team, const std::string& key, name_table& digests) {
  if (team.token_sha256().empty()) {
    warning(key,
            "team " + in_quotes(team.name()) + " has no token, no request can authenticate as it");
  }
  for (int i = 0; i < team.token_sha256_size(); ++i) {
    const std::string& digest = team.token_sha256(i);
    const std::string item = item_key(key + ".token_sha256", i);
    if (!is_digest(digest)) {
      // The value may be a token entered by mistake, so the message does not contain it.
      error(item, "not a SHA-256 digest, accepted: 64 lower-case hexadecimal digits");
    } else if (digest == empty_token_digest) {
      error(item, "this is the digest of an empty token");
    } else if (const auto [first, is_new] = digests.emplace(digest, team.name()); !is_new) {
      error(item, "the token already belongs to team " + in_quotes(first->second));
    }
  }
}

void verifier::check_guarantees(const schema::Team& team, const std::string& key) {
  std::set<std::string> seen;
  for (int i = 0; i < team.guarantees_size(); ++i) {
    const std::string& name = team.guarantees(i).request_class();
    const std::string item = item_key(key + ".guarantees", i) + ".request_class";
    check_reference(m_classes, "class", name, item);
    if (!seen.insert(name).second) {
      error(item, "a second guarantee for class " + in_quotes(name));
    }
    if (m_classes.contains(name) && !contains(team.classes(), name)) {
      error(item, "team " + in_quotes(team.name()) + " may not use class " + in_quotes(name));
    }
  }
}

void verifier::check_pools() {
  name_table models;
  name_table addresses;
  std::set<std::string> out_of_service_domains;
  for (const auto& domain : m_objects.failure_domains()) {
    if (domain.out_of_service()) {
      out_of_service_domains.insert(domain.name());
    }
  }
  for (int i = 0; i < m_objects.pools_size(); ++i) {
    const schema::Pool& pool = m_objects.pools(i);
    const std::string key = item_key("pools", i);
    if (pool.kind() != schema::POOL_KIND_ENGINE && pool.kind() != schema::POOL_KIND_SERVICE) {
      error(key + ".kind", "kind is missing, accepted: engine, service");
    }
    check_models(pool, key, models);
    bool has_member_in_service = false;
    for (int item = 0; item < pool.upstreams_size(); ++item) {
      check_upstream(pool.upstreams(item), item_key(key + ".upstreams", item), addresses);
      has_member_in_service =
          has_member_in_service ||
          !(pool.upstreams(item).out_of_service() ||
            out_of_service_domains.contains(pool.upstreams(item).failure_domain()));
    }
    if (pool.upstreams().empty()) {
      warning(key, "pool " + in_quotes(pool.name()) + " has no upstream");
    } else if (!has_member_in_service) {
      warning(key, "every upstream of pool " + in_quotes(pool.name()) + " is out of service");
    }
  }
}

void verifier::check_models(const schema::Pool& pool, const std::string& key, name_table& models) {
  if (pool.kind() == schema::POOL_KIND_ENGINE && pool.models().empty()) {
    error(key + ".models", "engine pool " + in_quotes(pool.name()) + " serves no model");
  }
  if (pool.kind() == schema::POOL_KIND_SERVICE && !pool.models().empty()) {
    error(key + ".models", "service pool " + in_quotes(pool.name()) + " cannot serve models");
  }
  for (int i = 0; i < pool.models_size(); ++i) {
    const std::string& model = pool.models(i);
    const std::string item = item_key(key + ".models", i);
    if (!is_model_name(model)) {
      error(item,
            "not a model name, accepted: 1 to 128 printable ASCII characters without spaces "
            "and quotes");
    } else if (const auto [first, is_new] = models.emplace(model, pool.name()); !is_new) {
      error(item,
            "model " + in_quotes(model) + " already belongs to pool " + in_quotes(first->second));
    }
  }
}

void verifier::check_upstream(const schema::Upstream& upstream, const std::string& key,
                              name_table& addresses) {
  check_reference(m_domains, "failure domain", upstream.failure_domain(), key + ".failure_domain");
  if (!settings::is_ip_port(upstream.address())) {
    error(key + ".address", in_quotes(upstream.address()) + " is not accepted, accepted: ip:port");
  } else if (const auto [first, is_new] = addresses.emplace(upstream.address(), upstream.name());
             !is_new) {
    // Two upstreams with one address would each get the full limit of the same process.
    error(key + ".address",
          upstream.address() + " is already the address of upstream " + in_quotes(first->second));
  }
  if (upstream.limit() > 0 && upstream.cold_limit() > upstream.limit()) {
    error(key + ".cold_limit", std::to_string(upstream.cold_limit()) + " is above limit (" +
                                   std::to_string(upstream.limit()) + ")");
  }
}

void verifier::check_domains() {
  std::set<std::string> domains_with_upstreams;
  for (const auto& pool : m_objects.pools()) {
    for (const auto& upstream : pool.upstreams()) {
      domains_with_upstreams.insert(upstream.failure_domain());
    }
  }
  bool has_member_in_service = false;
  for (int i = 0; i < m_objects.failure_domains_size(); ++i) {
    const schema::FailureDomain& domain = m_objects.failure_domains(i);
    const std::string key = item_key("failure_domains", i);
    check_name(domain.region(), key + ".region");
    check_distinct(domain.nearest(), key + ".nearest", "failure domain");
    for (int item = 0; item < domain.nearest_size(); ++item) {
      const std::string nearest_key = item_key(key + ".nearest", item);
      check_reference(m_domains, "failure domain", domain.nearest(item), nearest_key);
      if (domain.nearest(item) == domain.name()) {
        error(nearest_key, "a failure domain cannot be nearest to itself");
      }
    }
    if (!domains_with_upstreams.contains(domain.name())) {
      warning(key, "failure domain " + in_quotes(domain.name()) + " has no upstream");
    }
    has_member_in_service = has_member_in_service || !domain.out_of_service();
  }
  if (!m_objects.failure_domains().empty() && !has_member_in_service) {
    warning("failure_domains", "every failure domain is out of service");
  }
}

}  // namespace fuchsiaspring::catalog::internal
