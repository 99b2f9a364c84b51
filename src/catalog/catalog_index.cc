#include "fuchsiaspring/catalog/catalog_index.h"

#include <algorithm>

#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/verify.h"

namespace fuchsiaspring::catalog {
namespace {

constexpr std::string_view services_prefix = "/services/";

// Digests are grouped by this many leading digits so that a lookup does not compare with every
// team's token. The time of a lookup can reveal these digits of a digest, which does not help to
// find the token; the rest is compared in constant time.
constexpr std::size_t group_digits = 4;

template <typename Map>
auto find_or_null(const Map& map, std::string_view name) -> typename Map::mapped_type {
  const auto found = map.find(name);
  return found == map.end() ? nullptr : found->second;
}

}  // namespace

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::unknown_team:
      return "unknown_team";
    case refusal_reason::unknown_class:
      return "unknown_class";
    case refusal_reason::class_not_allowed:
      return "class_not_allowed";
    case refusal_reason::unknown_model:
      return "unknown_model";
    case refusal_reason::unknown_pool:
      return "unknown_pool";
  }
  return "unknown";
}

base::result<catalog_index::pointer> catalog_index::from_bundle(const schema::Bundle& bundle) {
  auto objects = parse_bundle(bundle);
  if (!objects) {
    return objects.error();
  }
  return pointer(new catalog_index(std::move(objects.value()), bundle.revision()));
}

base::result<catalog_index::pointer> catalog_index::from_catalog(schema::Catalog objects,
                                                                 std::uint64_t revision) {
  apply_defaults(objects);
  const auto findings = verify(objects);
  if (has_errors(findings)) {
    return base::error{base::error_code::invalid_argument, join_errors(findings)};
  }
  return pointer(new catalog_index(std::move(objects), revision));
}

catalog_index::catalog_index(schema::Catalog objects, std::uint64_t revision)
    : m_objects(std::move(objects)), m_revision(revision) {
  add_classes();
  add_teams();
  add_pools();
  for (const auto& domain : m_objects.failure_domains()) {
    m_domains.emplace(domain.name(), &domain);
  }
  for (const auto& vm : m_objects.vms()) {
    m_vms.emplace(vm.name(), &vm);
  }
}

void catalog_index::add_classes() {
  by_name<std::uint32_t> ranks;
  for (const auto& tier : m_objects.tiers()) {
    ranks.emplace(tier.name(), tier.rank());
  }
  by_name<const schema::ServiceLevel*> levels;
  for (const auto& level : m_objects.service_levels()) {
    levels.emplace(level.name(), &level);
  }
  for (const auto& definition : m_objects.classes()) {
    m_classes.emplace(definition.name(),
                      class_entry{&definition, levels.at(definition.service_level()),
                                  ranks.at(definition.tier())});
  }
}

void catalog_index::add_teams() {
  for (const auto& team : m_objects.teams()) {
    m_teams.emplace(team.name(), &team);
    for (const std::string& digest : team.token_sha256()) {
      const std::string_view digest_view = digest;
      m_tokens[digest_view.substr(0, group_digits)].push_back({digest_view, &team});
    }
  }
}

void catalog_index::add_pools() {
  for (const auto& pool : m_objects.pools()) {
    m_pools.emplace(pool.name(), &pool);
    for (const std::string& model : pool.models()) {
      m_models.emplace(model, &pool);
    }
    for (const auto& upstream : pool.upstreams()) {
      m_upstreams.emplace(upstream.name(), pool_member{&pool, &upstream});
    }
  }
}

const schema::Team* catalog_index::team_by_token(std::string_view bearer_token) const {
  const std::string digest = base::sha256_hex(bearer_token);
  const auto group = m_tokens.find(std::string_view(digest).substr(0, group_digits));
  if (group == m_tokens.end()) {
    return nullptr;
  }
  const schema::Team* found = nullptr;
  for (const token_entry& entry : group->second) {
    if (base::constant_time_equal(entry.digest, digest)) {
      found = entry.team;
    }
  }
  return found;
}

const schema::Team* catalog_index::find_team(std::string_view name) const {
  return find_or_null(m_teams, name);
}

const catalog_index::class_entry* catalog_index::find_class_entry(std::string_view name) const {
  const auto found = m_classes.find(name);
  return found == m_classes.end() ? nullptr : &found->second;
}

const schema::RequestClass* catalog_index::find_class(std::string_view name) const {
  const class_entry* entry = find_class_entry(name);
  return entry == nullptr ? nullptr : entry->definition;
}

const schema::Pool* catalog_index::find_pool(std::string_view name) const {
  return find_or_null(m_pools, name);
}

const schema::Pool* catalog_index::pool_by_model(std::string_view model) const {
  return find_or_null(m_models, model);
}

std::optional<pool_member> catalog_index::find_upstream(std::string_view name) const {
  const auto found = m_upstreams.find(name);
  return found == m_upstreams.end() ? std::nullopt : std::optional(found->second);
}

route_result catalog_index::resolve(const schema::Team* team, std::string_view class_header,
                                    std::string_view model, std::string_view path) const {
  if (team == nullptr) {
    return refusal_reason::unknown_team;
  }
  const std::string_view class_name = class_header.empty() ? team->default_class() : class_header;
  const class_entry* entry = find_class_entry(class_name);
  if (entry == nullptr) {
    return refusal_reason::unknown_class;
  }
  if (std::find(team->classes().begin(), team->classes().end(), class_name) ==
      team->classes().end()) {
    return refusal_reason::class_not_allowed;
  }
  const schema::RequestClass& definition = *entry->definition;
  const schema::Pool* class_pool = find_pool(definition.pool());
  const schema::Pool* pool = nullptr;
  if (path.starts_with(services_prefix)) {
    path.remove_prefix(services_prefix.size());
    pool = find_pool(path.substr(0, path.find_first_of("/?")));
    if (pool == nullptr || pool->kind() != schema::POOL_KIND_SERVICE) {
      return refusal_reason::unknown_pool;
    }
    if (class_pool != pool) {
      return refusal_reason::class_not_allowed;
    }
  } else {
    pool = model.empty() ? class_pool : pool_by_model(model);
    if (pool == nullptr) {
      return refusal_reason::unknown_model;
    }
    if (class_pool != nullptr && class_pool->kind() == schema::POOL_KIND_SERVICE) {
      return refusal_reason::class_not_allowed;
    }
  }
  return route{team, &definition, entry->level, pool, entry->tier_rank};
}

std::optional<std::uint32_t> catalog_index::tier_rank(std::string_view class_name) const {
  const class_entry* entry = find_class_entry(class_name);
  return entry == nullptr ? std::nullopt : std::optional(entry->tier_rank);
}

const schema::ServiceLevel* catalog_index::service_level(std::string_view class_name) const {
  const class_entry* entry = find_class_entry(class_name);
  return entry == nullptr ? nullptr : entry->level;
}

std::optional<guaranteed_rate> catalog_index::guarantee(std::string_view team,
                                                        std::string_view class_name) const {
  const schema::Team* found = find_team(team);
  if (found == nullptr) {
    return std::nullopt;
  }
  for (const auto& guarantee : found->guarantees()) {
    if (guarantee.request_class() == class_name) {
      return guaranteed_rate{guarantee.requests_per_second(), guarantee.burst()};
    }
  }
  return std::nullopt;
}

bool catalog_index::domain_out_of_service(std::string_view domain) const {
  const schema::FailureDomain* found = find_or_null(m_domains, domain);
  return found != nullptr && found->out_of_service();
}

bool catalog_index::vm_out_of_service(std::string_view vm, std::string_view failure_domain) const {
  const schema::Vm* found = find_or_null(m_vms, vm);
  return domain_out_of_service(failure_domain) ||
         (found != nullptr &&
          (found->out_of_service() || domain_out_of_service(found->failure_domain())));
}

bool catalog_index::upstream_out_of_service(std::string_view upstream) const {
  const auto found = find_upstream(upstream);
  return found && (found->upstream->out_of_service() ||
                   domain_out_of_service(found->upstream->failure_domain()));
}

}  // namespace fuchsiaspring::catalog
