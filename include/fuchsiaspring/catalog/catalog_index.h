// Immutable lookup over one verified set of objects.
//
//   auto index = catalog::catalog_index::from_bundle(bundle);
//   const schema::Team* team = index.value()->team_by_token(bearer_token);
//   auto found = index.value()->resolve(team, class_header, model, path);
//   if (!found) {
//     refuse(catalog::to_string(found.error()));
//   }
//
// Thread-safe: nothing changes after construction. Returned pointers are owned by the index and are
// valid as long as it exists.
#pragma once

#include <boost/outcome/policy/terminate.hpp>
#include <boost/outcome/result.hpp>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "catalog.pb.h"
#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::catalog {

// Why a request has no route. The names are labels of the refusal counter.
enum class refusal_reason {
  unknown_team,       // no team has this bearer token
  unknown_class,      // no class has this name
  class_not_allowed,  // the team may not use the class, or the class does not belong to the pool
  unknown_model,      // no pool serves the model
  unknown_pool,       // no service pool has this name
};

// Stable lower-case name, such as "unknown_team".
std::string_view to_string(refusal_reason reason);

// The objects that apply to one request.
struct route {
  const schema::Team* team = nullptr;
  const schema::RequestClass* request_class = nullptr;
  const schema::ServiceLevel* service_level = nullptr;
  const schema::Pool* pool = nullptr;
  std::uint32_t tier_rank = 0;  // 0 is the highest priority

  friend bool operator==(const route&, const route&) = default;
};

using route_result =
    boost::outcome_v2::basic_result<route, refusal_reason, boost::outcome_v2::policy::terminate>;

// Rate that a team is guaranteed in a class over the whole fleet.
struct guaranteed_rate {
  double requests_per_second = 0;
  double burst = 0;  // requests

  friend auto operator<=>(const guaranteed_rate&, const guaranteed_rate&) = default;
};

// An upstream with the pool that it belongs to.
struct pool_member {
  const schema::Pool* pool = nullptr;
  const schema::Upstream* upstream = nullptr;
};

class catalog_index {
 public:
  using pointer = std::shared_ptr<const catalog_index>;

  // Verifies the objects and builds the lookup. Errors: as parse_bundle.
  static base::result<pointer> from_bundle(const schema::Bundle& bundle);
  static base::result<pointer> from_catalog(schema::Catalog objects, std::uint64_t revision);

  catalog_index(const catalog_index&) = delete;
  catalog_index& operator=(const catalog_index&) = delete;
  ~catalog_index() = default;

  std::uint64_t revision() const { return m_revision; }
  const schema::Catalog& objects() const { return m_objects; }

  // The functions below return nullptr or std::nullopt when no object has the name.

  // The token is compared by its SHA-256 digest in constant time.
  const schema::Team* team_by_token(std::string_view bearer_token) const;
  const schema::Team* find_team(std::string_view name) const;
  const schema::RequestClass* find_class(std::string_view name) const;
  const schema::Pool* find_pool(std::string_view name) const;
  const schema::Pool* pool_by_model(std::string_view model) const;
  std::optional<pool_member> find_upstream(std::string_view name) const;

  // Effective class, service level and pool of a request. `team` is the result of team_by_token
  // (nullptr gives unknown_team), `class_header` is empty when the request names no class, `model`
  // is empty when the body names none, `path` is the path of the request URL.
  //
  // A path /services/{pool}/... selects that service pool, and the class must name the same pool:
  // the class decides whether the request may be executed twice, and a class of another pool could
  // allow retries of a request that must run once. Other paths select the pool of the model or,
  // without a model, the engine pool of the class. A class of a service pool is refused there.
  route_result resolve(const schema::Team* team, std::string_view class_header,
                       std::string_view model, std::string_view path) const;

  std::optional<std::uint32_t> tier_rank(std::string_view class_name) const;
  const schema::ServiceLevel* service_level(std::string_view class_name) const;
  std::optional<guaranteed_rate> guarantee(std::string_view team,
                                           std::string_view class_name) const;

  // Whether operators have taken the object out of service; false for names that are not in the
  // set. An upstream is also out of service when its failure domain is, a VM when `failure_domain`
  // (from the VM list) or the domain given in the set is.
  bool domain_out_of_service(std::string_view domain) const;
  bool vm_out_of_service(std::string_view vm, std::string_view failure_domain = {}) const;
  bool upstream_out_of_service(std::string_view upstream) const;

 private:
  catalog_index(schema::Catalog objects, std::uint64_t revision);

  void add_classes();
  void add_teams();
  void add_pools();

  struct class_entry {
    const schema::RequestClass* definition = nullptr;
    const schema::ServiceLevel* level = nullptr;
    std::uint32_t tier_rank = 0;
  };
  struct token_entry {
    std::string_view digest;
    const schema::Team* team = nullptr;
  };
  template <typename Value>
  using by_name = std::unordered_map<std::string_view, Value>;

  const class_entry* find_class_entry(std::string_view name) const;

  // The maps' keys are views of strings in m_objects, which therefore never changes or moves.
  const schema::Catalog m_objects;
  const std::uint64_t m_revision;
  by_name<class_entry> m_classes;
  by_name<const schema::Team*> m_teams;
  by_name<std::vector<token_entry>> m_tokens;  // by the leading digits of the digest
  by_name<const schema::Pool*> m_pools;
  by_name<const schema::Pool*> m_models;
  by_name<pool_member> m_upstreams;
  by_name<const schema::FailureDomain*> m_domains;
  by_name<const schema::Vm*> m_vms;
};

}  // namespace fuchsiaspring::catalog
