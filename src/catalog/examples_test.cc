// Checks the sets in examples/ against the deployment sizes in section 1.2 of the design page, and
// docs/objects.md against the schema.
#include <cppunit/extensions/HelperMacros.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/catalog_index.h"
#include "fuchsiaspring/catalog/load.h"
#include "fuchsiaspring/catalog/objects_page.h"

namespace fuchsiaspring::catalog {
namespace {

class examples_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(examples_test);
  CPPUNIT_TEST(cascade_suds_has_the_size_of_the_deployment);
  CPPUNIT_TEST(lonestar_haulpass_has_the_size_of_the_deployment);
  CPPUNIT_TEST(objects_page_is_complete_and_up_to_date);
  CPPUNIT_TEST_SUITE_END();

  // Loads a set, which must have no finding, and checks the properties that both sets share.
  static catalog_index::pointer load(const std::string& name, int domains, int vms) {
    const std::filesystem::path directory =
        std::filesystem::path(FUCHSIASPRING_SOURCE_DIR) / "examples" / name;
    const loaded_catalog loaded = load_directory(directory);
    CPPUNIT_ASSERT_EQUAL(std::string(), join_findings(loaded.findings));
    CPPUNIT_ASSERT(loaded.files.size() >= 3);
    CPPUNIT_ASSERT_EQUAL(3, loaded.objects.tiers_size());
    CPPUNIT_ASSERT_EQUAL(10, loaded.objects.teams_size());
    CPPUNIT_ASSERT_EQUAL(domains, loaded.objects.failure_domains_size());
    CPPUNIT_ASSERT_EQUAL(vms, loaded.objects.vms_size());
    const auto index = catalog_index::from_bundle(make_bundle(loaded.objects, 1)).value();
    check_tokens(directory, *index);
    return index;
  }

  // Guards against an example token in a comment that does not match the digest on its line.
  static void check_tokens(const std::filesystem::path& directory, const catalog_index& index) {
    std::ifstream stream(directory / "teams.yaml");
    int tokens = 0;
    for (std::string line; std::getline(stream, line);) {
      const std::size_t comment = line.find("  # example-");
      if (comment == std::string::npos) {
        continue;
      }
      const std::string token = line.substr(comment + std::string("  # ").size());
      CPPUNIT_ASSERT_MESSAGE(token, index.team_by_token(token) != nullptr);
      ++tokens;
    }
    CPPUNIT_ASSERT_EQUAL(10, tokens);
  }

  static route resolve(const catalog_index& index, const std::string& team,
                       const std::string& class_name, const std::string& path) {
    const auto found = index.resolve(index.find_team(team), class_name, "", path);
    CPPUNIT_ASSERT_MESSAGE(class_name, found.has_value());
    return found.value();
  }

  // Long requests of one team share a pool with short ones of another: the short ones have
  // priority, and the long ones keep a floor.
  static void expect_short_requests_have_priority(const catalog_index& index,
                                                  const std::string& short_team,
                                                  const std::string& long_team) {
    const route short_route = resolve(index, short_team, "", "/v1/chat/completions");
    const route long_route = resolve(index, long_team, "", "/v1/chat/completions");
    CPPUNIT_ASSERT(short_route.pool == long_route.pool &&
                   short_route.tier_rank < long_route.tier_rank);
    CPPUNIT_ASSERT(long_route.request_class->floor_per_mille() > 0);
  }

  void cascade_suds_has_the_size_of_the_deployment() {
    const auto index = load("cascade-suds", 4, 8);
    CPPUNIT_ASSERT_EQUAL(10, index->find_pool("suds-model")->upstreams_size());
    const std::string cards = "/services/card-api/x";
    CPPUNIT_ASSERT(
        !resolve(*index, "airport", "card-redemption", cards).request_class->idempotent());
    CPPUNIT_ASSERT(resolve(*index, "airport", "balance-lookup", cards).request_class->idempotent());
    expect_short_requests_have_priority(*index, "airport", "restock");
  }

  void lonestar_haulpass_has_the_size_of_the_deployment() {
    const auto index = load("lonestar-haulpass", 3, 6);
    CPPUNIT_ASSERT_EQUAL(12, index->find_pool("drafter-pool")->upstreams_size());
    CPPUNIT_ASSERT_EQUAL(3, index->find_pool("filing-api")->upstreams_size());
    const std::string filings = "/services/filing-api/x";
    CPPUNIT_ASSERT(!resolve(*index, "filings", "filing", filings).request_class->idempotent());
    CPPUNIT_ASSERT(resolve(*index, "audit", "", filings).request_class->idempotent());
    expect_short_requests_have_priority(*index, "oversize", "renewals");
  }

  // Guards against a schema change without `fuchsiactl objects-doc > docs/objects.md`.
  void objects_page_is_complete_and_up_to_date() {
    std::ifstream stream(std::filesystem::path(FUCHSIASPRING_SOURCE_DIR) / "docs/objects.md");
    const std::string page(std::istreambuf_iterator<char>(stream), {});
    CPPUNIT_ASSERT_EQUAL(objects_page(), page);
    CPPUNIT_ASSERT(page.find("not described") == std::string::npos);
    const auto& objects = *schema::Catalog::descriptor();
    for (int i = 0; i < objects.field_count(); ++i) {
      const std::string& name = objects.field(i)->name();
      CPPUNIT_ASSERT_MESSAGE(name, page.find("\n## " + name + "\n") != std::string::npos ||
                                       page.find("| `" + name + "` |") != std::string::npos);
    }
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(examples_test);

}  // namespace
}  // namespace fuchsiaspring::catalog
