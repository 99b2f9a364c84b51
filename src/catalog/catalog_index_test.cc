#include "fuchsiaspring/catalog/catalog_index.h"

#include <cppunit/extensions/HelperMacros.h>

#include <string>

#include "catalog/test_objects.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/verify.h"

namespace fuchsiaspring::catalog {
namespace {

class catalog_index_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(catalog_index_test);
  CPPUNIT_TEST(bundle_is_reproducible_and_keeps_its_content);
  CPPUNIT_TEST(altered_bundle_is_refused);
  CPPUNIT_TEST(set_with_faults_is_refused_as_a_whole);
  CPPUNIT_TEST(team_is_found_by_any_of_its_tokens);
  CPPUNIT_TEST(route_follows_class_and_model);
  CPPUNIT_TEST(refusal_has_the_specific_reason);
  CPPUNIT_TEST(class_of_another_pool_is_not_applied_to_a_service);
  CPPUNIT_TEST(out_of_service_domain_includes_its_members);
  CPPUNIT_TEST(defaults_apply_to_absent_values);
  CPPUNIT_TEST_SUITE_END();

  static catalog_index::pointer make_index(const schema::Catalog& objects) {
    auto index = catalog_index::from_catalog(objects, 1);
    CPPUNIT_ASSERT_MESSAGE(index ? "" : index.error().message, index.has_value());
    return index.value();
  }

  void bundle_is_reproducible_and_keeps_its_content() {
    const schema::Bundle bundle = make_bundle(test::small_set(), 7);
    CPPUNIT_ASSERT_EQUAL(bundle.SerializeAsString(),
                         make_bundle(test::small_set(), 7).SerializeAsString());
    const auto index = catalog_index::from_bundle(bundle);
    CPPUNIT_ASSERT_MESSAGE(index ? "" : index.error().message, index.has_value());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{7}, index.value()->revision());
    CPPUNIT_ASSERT_EQUAL(3, index.value()->objects().classes_size());
  }

  // Guards against accepting a set that was corrupted or republished under another revision.
  void altered_bundle_is_refused() {
    const auto expect_refused = [](const auto& apply) {
      schema::Bundle bundle = make_bundle(test::small_set(), 7);
      apply(bundle);
      CPPUNIT_ASSERT(!parse_bundle(bundle));
    };
    expect_refused([](schema::Bundle& bundle) { bundle.set_revision(8); });
    expect_refused([](schema::Bundle& bundle) { bundle.mutable_catalog()->back() ^= 1; });
    expect_refused([](schema::Bundle& bundle) { bundle.clear_digest(); });
    CPPUNIT_ASSERT(!parse_bundle(make_bundle(test::small_set(), 0)));
    schema::Catalog large = test::small_set();
    large.mutable_pools(0)->add_models(std::string(max_bundle_bytes, 'm'));
    const auto refused = parse_bundle(make_bundle(large, 7));
    CPPUNIT_ASSERT(refused.error().message.find("larger than 1000000 bytes") != std::string::npos);
  }

  void set_with_faults_is_refused_as_a_whole() {
    schema::Catalog objects = test::small_set();
    objects.mutable_classes(0)->set_tier("gone");
    objects.mutable_teams(1)->clear_classes();
    const auto refused = parse_bundle(make_bundle(objects, 7));
    CPPUNIT_ASSERT(refused.error().message.find("classes[0].tier: no tier is named \"gone\"") !=
                   std::string::npos);
    CPPUNIT_ASSERT(refused.error().message.find("teams[1]: team \"planning\" may use no class") !=
                   std::string::npos);
    CPPUNIT_ASSERT(!catalog_index::from_catalog(objects, 7));
    CPPUNIT_ASSERT(!catalog_index::from_catalog({}, 7));
  }

  void team_is_found_by_any_of_its_tokens() {
    const auto index = make_index(test::small_set());
    CPPUNIT_ASSERT_EQUAL(std::string("stores"), index->team_by_token("stores-token")->name());
    CPPUNIT_ASSERT_EQUAL(std::string("stores"), index->team_by_token("stores-next-token")->name());
    CPPUNIT_ASSERT_EQUAL(std::string("planning"), index->team_by_token("planning-token")->name());
    CPPUNIT_ASSERT(index->team_by_token("") == nullptr);
    CPPUNIT_ASSERT(index->team_by_token("stores-token ") == nullptr);
    // The digest itself must not be accepted as a token: it is readable in the published set.
    CPPUNIT_ASSERT(index->team_by_token(base::sha256_hex("stores-token")) == nullptr);
  }

  void route_follows_class_and_model() {
    const auto index = make_index(test::small_set());
    const schema::Team* stores = index->find_team("stores");
    const auto by_default = index->resolve(stores, "", "", "/v1/chat/completions");
    CPPUNIT_ASSERT_EQUAL(std::string("counter"), by_default.value().request_class->name());
    CPPUNIT_ASSERT_EQUAL(std::string("suds-model"), by_default.value().pool->name());
    CPPUNIT_ASSERT_EQUAL(0U, by_default.value().tier_rank);
    const auto by_model =
        index->resolve(index->find_team("planning"), "", "org/Suds:70b", "/v1/completions");
    CPPUNIT_ASSERT_EQUAL(std::string("suds-model"), by_model.value().pool->name());
    CPPUNIT_ASSERT_EQUAL(std::string("slow"), by_model.value().service_level->name());
    CPPUNIT_ASSERT_EQUAL(2U, by_model.value().tier_rank);
    for (const char* path :
         {"/services/card-api/redeem", "/services/card-api", "/services/card-api?x=1"}) {
      const auto service = index->resolve(stores, "redeem", "", path);
      CPPUNIT_ASSERT_MESSAGE(path, service.has_value());
      CPPUNIT_ASSERT_EQUAL(std::string("card-api"), service.value().pool->name());
    }
  }

  void refusal_has_the_specific_reason() {
    const auto index = make_index(test::small_set());
    const schema::Team* stores = index->find_team("stores");
    const schema::Team* planning = index->find_team("planning");
    const std::string chat = "/v1/chat/completions";
    const auto reason = [&](const schema::Team* team, const char* name, const char* model,
                            const std::string& path) {
      return std::string(to_string(index->resolve(team, name, model, path).error()));
    };
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_team"), reason(nullptr, "", "", chat));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_class"), reason(stores, "Counter", "", chat));
    CPPUNIT_ASSERT_EQUAL(std::string("class_not_allowed"), reason(stores, "restock", "", chat));
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_model"), reason(stores, "", "gpt", chat));
    // Class `restock` has no pool of its own, so the model is needed.
    CPPUNIT_ASSERT_EQUAL(std::string("unknown_model"), reason(planning, "", "", chat));
    for (const char* path : {"/services/", "/services/none/x", "/services/suds-model/x"}) {
      CPPUNIT_ASSERT_EQUAL(std::string("unknown_pool"), reason(stores, "redeem", "", path));
    }
  }

  // Guards against a request that must run once, sent with an idempotent class and then retried.
  void class_of_another_pool_is_not_applied_to_a_service() {
    const auto index = make_index(test::small_set());
    const schema::Team* stores = index->find_team("stores");
    for (const char* name : {"", "counter"}) {
      const auto refused = index->resolve(stores, name, "", "/services/card-api/redeem");
      CPPUNIT_ASSERT(refused.error() == refusal_reason::class_not_allowed);
    }
    for (const char* model : {"", "suds-7b"}) {
      const auto refused = index->resolve(stores, "redeem", model, "/v1/chat/completions");
      CPPUNIT_ASSERT(refused.error() == refusal_reason::class_not_allowed);
    }
  }

  void out_of_service_domain_includes_its_members() {
    schema::Catalog objects = test::small_set();
    objects.mutable_failure_domains(1)->set_out_of_service(true);
    const auto domain = make_index(objects);
    CPPUNIT_ASSERT(domain->domain_out_of_service("b") && !domain->domain_out_of_service("a"));
    CPPUNIT_ASSERT(domain->upstream_out_of_service("e2") && !domain->upstream_out_of_service("e1"));
    CPPUNIT_ASSERT(domain->vm_out_of_service("vm1"));
    CPPUNIT_ASSERT(domain->vm_out_of_service("not-listed", "b"));
    CPPUNIT_ASSERT(!domain->vm_out_of_service("not-listed", "a"));
    objects = test::small_set();
    objects.mutable_vms(0)->set_out_of_service(true);
    objects.mutable_pools(0)->mutable_upstreams(0)->set_out_of_service(true);
    const auto single = make_index(objects);
    CPPUNIT_ASSERT(single->vm_out_of_service("vm1", "a"));
    CPPUNIT_ASSERT(single->upstream_out_of_service("e1") && !single->upstream_out_of_service("c1"));
  }

  void defaults_apply_to_absent_values() {
    const auto index = make_index(test::small_set());
    CPPUNIT_ASSERT_EQUAL(600000U, index->service_level("counter")->total_ms());
    CPPUNIT_ASSERT_EQUAL(1000U, index->find_pool("card-api")->connect_timeout_ms());
    CPPUNIT_ASSERT_EQUAL(1U, index->find_upstream("e1")->upstream->cold_limit());
    CPPUNIT_ASSERT_EQUAL(1U, index->find_team("stores")->weight());
    CPPUNIT_ASSERT(index->guarantee("stores", "counter") == (guaranteed_rate{5.0, 5.0}));
    CPPUNIT_ASSERT(!index->guarantee("stores", "redeem"));
    // Every class keeps a floor (I2).
    CPPUNIT_ASSERT_EQUAL(10U, index->find_class("restock")->floor_per_mille());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(catalog_index_test);

}  // namespace
}  // namespace fuchsiaspring::catalog
