#include "fuchsiaspring/catalog/load.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <string>

#include "fuchsiaspring/catalog/bundle.h"

namespace fuchsiaspring::catalog {
namespace {

namespace fs = std::filesystem;

const std::string classes_file =
    "tiers: [{name: urgent, rank: 0}]\n"
    "service_levels: [{name: fast, first_token_ms: 1300}]\n"
    "classes:\n"
    "  - name: counter\n"
    "    tier: urgent\n"
    "    service_level: fast\n"
    "    idempotent: true\n"
    "teams:\n"
    "  - name: stores\n"
    "    token_sha256: [fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9]\n"
    "    default_class: counter\n"
    "    classes: [counter]\n"
    "    guarantees: [{request_class: counter, requests_per_second: 2.5}]\n";
const std::string pools_file =
    "failure_domains: [{name: a, region: pnw}]\n"
    "pools:\n"
    "  - name: engines\n"
    "    kind: engine\n"
    "    models: [m1]\n"
    "    upstreams:\n"
    "      - {name: e1, address: '10.0.0.1:80', failure_domain: a, limit: 8, tls: true}\n";

class load_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(load_test);
  CPPUNIT_TEST(files_are_joined_into_one_set);
  CPPUNIT_TEST(faults_of_all_files_are_reported_with_location);
  CPPUNIT_TEST(unreadable_file_suppresses_reference_errors);
  CPPUNIT_TEST(skipped_files_are_reported);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_directory = fs::temp_directory_path() / ("load_test_" + std::to_string(getpid()));
    fs::create_directories(m_directory);
  }
  void tearDown() override { fs::remove_all(m_directory); }

 private:
  void write(const std::string& name, const std::string& text) {
    std::ofstream(m_directory / name) << text;
  }

  std::string load() { return join_findings(load_directory(m_directory).findings); }

  void expect(const std::string& text, const std::string& finding) {
    const std::string full_finding = m_directory.string() + "/" + finding;
    CPPUNIT_ASSERT_MESSAGE(finding + " not in:\n" + text,
                           text.find(full_finding) != std::string::npos);
  }

  static void expect_count(std::ptrdiff_t findings, const std::string& text) {
    CPPUNIT_ASSERT_EQUAL_MESSAGE(text, findings, std::count(text.begin(), text.end(), '\n'));
  }

  void files_are_joined_into_one_set() {
    write("10-classes.yaml", classes_file);
    write("20-pools.yml", pools_file);
    write("30-floor.yaml",
          "membership_floor: 4\n"
          "teams: [{name: clerks, weight: 3, default_class: counter, classes: [counter],\n"
          "  token_sha256: [2c26b46b68ffc68ff99b453c1d30413413422d706483bfa0f98a5e886266e7ae]}]\n");
    const loaded_catalog loaded = load_directory(m_directory);
    CPPUNIT_ASSERT_EQUAL(std::string(), load());
    CPPUNIT_ASSERT_EQUAL(2, loaded.objects.teams_size());
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{4}, loaded.objects.membership_floor());
    CPPUNIT_ASSERT_EQUAL(2.5, loaded.objects.teams(0).guarantees(0).burst());
    CPPUNIT_ASSERT(loaded.objects.pools(0).kind() == schema::POOL_KIND_ENGINE);
    CPPUNIT_ASSERT(loaded.objects.pools(0).upstreams(0).tls());
    CPPUNIT_ASSERT(parse_bundle(make_bundle(loaded.objects, 1)));
  }

  // Guards against a check that stops at the first fault and has to be repeated for each one.
  void faults_of_all_files_are_reported_with_location() {
    std::string pools = pools_file;
    pools.replace(pools.find("engine\n"), 6, "engnie");
    pools.replace(pools.find("limit: 8"), 8, "limit: 8, cold_limit: 9");
    write("1.yaml", classes_file + "    wieght: 2\n");
    write("2.yaml", pools);
    write("3.yaml",
          "classes:\n"
          "  - name: counter\n"
          "    tier: gone\n"
          "    service_level: fast\n"
          "    max_queue: 0\n"
          "    preemptible: yes\n"
          "vms: {name: vm1}\n"
          "membership_floor: 1\n"
          "membership_floor: 2\n");
    const std::string text = load();
    expect(text, "1.yaml:14: teams[stores].wieght: unknown key");
    expect(text,
           "2.yaml:4: pools[engines].kind: expected one of engine, service, found \"engnie\"");
    expect(text, "2.yaml:7: pools[engines].upstreams[e1].cold_limit: 9 is above limit (8)");
    expect(text, "3.yaml:2: classes[counter].name: a second class is named \"counter\", first at " +
                     m_directory.string() + "/1.yaml:4");
    expect(text, "3.yaml:3: classes[counter].tier: no tier is named \"gone\"");
    expect(text, "3.yaml:5: classes[counter].max_queue: 0 is out of range, accepted: 1 to 100000");
    expect(text, "3.yaml:6: classes[counter].preemptible: expected true or false, found \"yes\"");
    expect(text, "3.yaml:7: vms: expected a list, found a mapping");
    expect(text, "3.yaml:9: membership_floor: given a second time, first on line 8");
    expect_count(9, text);
  }

  // Guards against a YAML error that is lost among errors about objects of the unreadable file.
  void unreadable_file_suppresses_reference_errors() {
    write("1.yaml", classes_file);
    write("2.yaml", "pools: [\n");
    const std::string text = load();
    expect(text, "2.yaml:");
    expect_count(2, text);
    CPPUNIT_ASSERT(has_errors(load_directory(m_directory).findings));
    CPPUNIT_ASSERT(has_errors(load_directory(m_directory / "none").findings));
  }

  // Guards against objects that are silently left out because of a misspelled file name.
  void skipped_files_are_reported() {
    write("1.yaml", classes_file);
    write("2.yaml", pools_file);
    write("3.yaml.bak", "x");
    write(".hidden", "x");
    write("README.md", "x");
    fs::create_directory(m_directory / "teams");
    const std::string text = load();
    expect(text, "3.yaml.bak: warning: file is not read");
    expect(text, "teams: warning: subdirectory is not read");
    expect_count(2, text);
  }

  fs::path m_directory;
};

CPPUNIT_TEST_SUITE_REGISTRATION(load_test);

}  // namespace
}  // namespace fuchsiaspring::catalog
