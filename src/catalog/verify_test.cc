#include "fuchsiaspring/catalog/verify.h"

#include <cppunit/extensions/HelperMacros.h>

#include <functional>
#include <limits>
#include <string>

#include "catalog/test_objects.h"

namespace fuchsiaspring::catalog {
namespace {

using schema::Catalog;

class verify_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(verify_test);
  CPPUNIT_TEST(valid_set_has_no_findings);
  CPPUNIT_TEST(dangling_references_are_found);
  CPPUNIT_TEST(duplicates_are_found);
  CPPUNIT_TEST(values_out_of_range_are_found);
  CPPUNIT_TEST(inconsistent_values_are_found);
  CPPUNIT_TEST(invalid_token_is_reported_without_its_value);
  CPPUNIT_TEST(bundle_over_size_limit_is_found);
  CPPUNIT_TEST(questionable_sets_get_warnings);
  CPPUNIT_TEST_SUITE_END();

  using change = std::function<void(Catalog&)>;

  static std::string verify_changed(const change& apply) {
    Catalog objects = test::small_set();
    apply(objects);
    apply_defaults(objects);
    return join_findings(verify(objects));
  }

  static schema::Upstream& upstream(Catalog& set, int pool) {
    return *set.mutable_pools(pool)->mutable_upstreams(0);
  }
  static schema::TeamGuarantee& guarantee(Catalog& set) {
    return *set.mutable_teams(0)->mutable_guarantees(0);
  }

  // The change must cause this finding and no other.
  static void expect(const std::string& finding, const change& apply) {
    const std::string text = verify_changed(apply);
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, std::size_t{0}, text.find(finding));
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, text.size(), text.find('\n') + 1);
  }

  void valid_set_has_no_findings() {
    CPPUNIT_ASSERT_EQUAL(std::string(), verify_changed([](Catalog&) {}));
  }

  void dangling_references_are_found() {
    expect("classes[0].service_level: no service level is named \"x\"",
           [](auto& set) { set.mutable_classes(0)->set_service_level("x"); });
    expect("classes[0].pool: no pool is named \"x\"",
           [](auto& set) { set.mutable_classes(0)->set_pool("x"); });
    expect("teams[0].classes[2]: no class is named \"x\"",
           [](auto& set) { set.mutable_teams(0)->add_classes("x"); });
    expect("teams[0].default_class: no class is named \"x\"",
           [](auto& set) { set.mutable_teams(0)->set_default_class("x"); });
    expect("teams[0].default_class: class is missing",
           [](auto& set) { set.mutable_teams(0)->clear_default_class(); });
    expect("teams[0].guarantees[0].request_class: no class is named \"x\"",
           [](auto& set) { guarantee(set).set_request_class("x"); });
    expect("pools[0].upstreams[0].failure_domain: no failure domain is named \"x\"",
           [](auto& set) { upstream(set, 0).set_failure_domain("x"); });
    expect("failure_domains[0].nearest[1]: no failure domain is named \"x\"",
           [](auto& set) { set.mutable_failure_domains(0)->add_nearest("x"); });
    expect("vms[0].failure_domain: no failure domain is named \"x\"",
           [](auto& set) { set.mutable_vms(0)->set_failure_domain("x"); });
  }

  void duplicates_are_found() {
    // Upstream names are unique over all pools: operators and grants refer to them without the
    // pool.
    expect(
        "pools[1].upstreams[0].name: a second upstream is named \"e1\", first at "
        "pools[0].upstreams[0].name",
        [](auto& set) { upstream(set, 1).set_name("e1"); });
    expect("pools[1].upstreams[0].address: 10.0.1.1:8000 is already the address of upstream",
           [](auto& set) { upstream(set, 1).set_address("10.0.1.1:8000"); });
    expect("tiers[1].rank: rank 0 belongs to tier \"urgent\"", [](auto& set) {
      set.mutable_tiers(1)->set_rank(0);
      set.mutable_classes(1)->set_preemptible(false);
    });
    expect("pools[2].models[0]: model \"suds-7b\" already belongs to pool \"suds-model\"",
           [](auto& set) {
             *set.add_pools() = set.pools(1);
             set.mutable_pools(2)->set_name("other");
             set.mutable_pools(2)->set_kind(schema::POOL_KIND_ENGINE);
             set.mutable_pools(2)->add_models("suds-7b");
             upstream(set, 2).set_name("e9");
             upstream(set, 2).set_address("10.0.1.9:8000");
           });
    expect("teams[0].classes[2]: class \"redeem\" is listed twice",
           [](auto& set) { set.mutable_teams(0)->add_classes("redeem"); });
    expect("teams[0].guarantees[1].request_class: a second guarantee for class \"counter\"",
           [](auto& set) { *set.mutable_teams(0)->add_guarantees() = set.teams(0).guarantees(0); });
  }

  void values_out_of_range_are_found() {
    expect("service_levels[0].first_token_ms: value is missing, accepted: 1 to 600000 ms",
           [](auto& set) { set.mutable_service_levels(0)->set_first_token_ms(0); });
    expect("service_levels[0].total_ms: 600001 is out of range",
           [](auto& set) { set.mutable_service_levels(0)->set_total_ms(600001); });
    expect("pools[0].upstreams[0].limit: value is missing",
           [](auto& set) { upstream(set, 0).set_limit(0); });
    expect("teams[0].guarantees[0].requests_per_second: nan is out of range", [](auto& set) {
      guarantee(set).set_requests_per_second(std::numeric_limits<double>::quiet_NaN());
    });
    expect("teams[0].guarantees[0].burst: 0.5 is out of range",
           [](auto& set) { guarantee(set).set_burst(0.5); });
    expect("pools[0].upstreams[0].address: \"engine:80\" is not accepted, accepted: ip:port",
           [](auto& set) { upstream(set, 0).set_address("engine:80"); });
    expect("vms[0].name: \"Vm 1\" is not a name",
           [](auto& set) { set.mutable_vms(0)->set_name("Vm 1"); });
    expect("vms[0].name: name is missing", [](auto& set) { set.mutable_vms(0)->clear_name(); });
    expect("pools[1].kind: kind is missing, accepted: engine, service",
           [](auto& set) { set.mutable_pools(1)->clear_kind(); });
  }

  void inconsistent_values_are_found() {
    expect("classes: the floors add up to 310 per mille, accepted: 300", [](auto& set) {
      set.mutable_classes(0)->set_floor_per_mille(150);
      set.mutable_classes(1)->set_floor_per_mille(150);
    });
    expect("pools[0].upstreams[1].cold_limit: 9 is above limit (8)",
           [](auto& set) { set.mutable_pools(0)->mutable_upstreams(1)->set_cold_limit(9); });
    expect("classes[2].retry_budget_per_mille: class \"redeem\" is not idempotent",
           [](auto& set) { set.mutable_classes(2)->set_retry_budget_per_mille(100); });
    expect("classes[1].preemptible: class \"restock\" is not idempotent",
           [](auto& set) { set.mutable_classes(1)->set_idempotent(false); });
    expect("teams[0].default_class: team \"stores\" may not use class \"restock\"",
           [](auto& set) { set.mutable_teams(0)->set_default_class("restock"); });
    expect("teams[0].guarantees[0].request_class: team \"stores\" may not use class \"restock\"",
           [](auto& set) { guarantee(set).set_request_class("restock"); });
    expect("service_levels[1].total_ms: 19999 ms is below first_token_ms (20000 ms)",
           [](auto& set) { set.mutable_service_levels(1)->set_total_ms(19999); });
    expect("pools[0].models: engine pool \"suds-model\" serves no model",
           [](auto& set) { set.mutable_pools(0)->clear_models(); });
    expect("pools[1].models: service pool \"card-api\" cannot serve models",
           [](auto& set) { set.mutable_pools(1)->add_models("m"); });
    expect("failure_domains[0].nearest[1]: a failure domain cannot be nearest to itself",
           [](auto& set) { set.mutable_failure_domains(0)->add_nearest("a"); });
  }

  // Guards against a token that is entered in place of its digest and then printed in logs.
  void invalid_token_is_reported_without_its_value() {
    const std::string text = verify_changed(
        [](auto& set) { set.mutable_teams(0)->set_token_sha256(0, "my-secret-token"); });
    CPPUNIT_ASSERT(text.find("teams[0].token_sha256[0]: not a SHA-256 digest") == 0);
    CPPUNIT_ASSERT(text.find("secret") == std::string::npos);
    expect("teams[1].token_sha256[1]: the token already belongs to team \"stores\"",
           [](auto& set) { set.mutable_teams(1)->add_token_sha256(set.teams(0).token_sha256(0)); });
    expect("teams[0].token_sha256[2]: this is the digest of an empty token",
           [](auto& set) { set.mutable_teams(0)->add_token_sha256(base::sha256_hex("")); });
  }

  // Guards against publishing a set that every node would then refuse.
  void bundle_over_size_limit_is_found() {
    const auto add_teams = [](Catalog& set, int count) {
      for (int i = 0; i < count; ++i) {
        schema::Team& team = *set.add_teams();
        team = set.teams(1);
        team.set_name("team-" + std::to_string(i));
        team.set_token_sha256(0, base::sha256_hex(team.name()));
      }
    };
    expect("warning: the bundle has ", [&](auto& set) { add_teams(set, 8500); });
    expect("the bundle has ", [&](auto& set) { add_teams(set, 11000); });
    CPPUNIT_ASSERT_EQUAL(std::string(), verify_changed([&](auto& set) { add_teams(set, 1900); }));
  }

  void questionable_sets_get_warnings() {
    expect("warning: failure_domains[2]: failure domain \"c\" has no upstream", [](auto& set) {
      *set.add_failure_domains() = set.failure_domains(0);
      set.mutable_failure_domains(2)->set_name("c");
    });
    expect("warning: tiers[2].name: tier \"middle\" is used by no class", [](auto& set) {
      set.add_tiers()->set_name("middle");
      set.mutable_tiers(2)->set_rank(1);
    });
    expect("warning: teams[1]: team \"planning\" has no token",
           [](auto& set) { set.mutable_teams(1)->clear_token_sha256(); });
    expect("warning: pools[1]: every upstream of pool \"card-api\" is out of service",
           [](auto& set) { upstream(set, 1).set_out_of_service(true); });
    expect("warning: pools[1]: every upstream of pool \"card-api\" is out of service",
           [](auto& set) { set.mutable_failure_domains(0)->set_out_of_service(true); });
    expect("warning: pools[1].name: pool \"card-api\" is used by no class",
           [](auto& set) { set.mutable_classes(2)->set_pool("suds-model"); });
    expect(
        "warning: classes[0].service_level: first_byte_timeout_ms of pool \"suds-model\" is 1000 "
        "ms, below",
        [](auto& set) { set.mutable_pools(0)->set_first_byte_timeout_ms(1000); });
    expect("warning: classes[0].preemptible: has no effect",
           [](auto& set) { set.mutable_classes(0)->set_preemptible(true); });
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(verify_test);

}  // namespace
}  // namespace fuchsiaspring::catalog
