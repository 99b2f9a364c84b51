#include <cppunit/extensions/HelperMacros.h>
#include <microhttpd.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstring>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>
#include <string>
#include <vector>

#include "apps/fuchsiactl/commands.h"
#include "catalog.pb.h"
#include "fuchsiaspring/catalog/bundle.h"

namespace fuchsiaspring::ctl {
namespace {

namespace fs = std::filesystem;

const std::string valid_set =
    "tiers: [{name: urgent, rank: 0}]\n"
    "service_levels: [{name: fast, first_token_ms: 1300}]\n"
    "classes: [{name: counter, tier: urgent, service_level: fast}]\n"
    "teams: [{name: stores, default_class: counter, classes: [counter], token_sha256:\n"
    "  [fcde2b2edba56bf408601fb721fe9b5c338d10ee429ea04fae5511b68fbf8fb9]}]\n"
    "failure_domains:\n"
    "  - name: a  # ground floor\n"
    "    region: pnw\n"
    "pools: [{name: engines, kind: engine, models: [m], upstreams:\n"
    "  [{name: e1, address: '10.0.0.1:80', failure_domain: a, limit: 8}]}]\n";

// Simulates the operator address of a daemon.
MHD_Result serve_operator_request(void*, MHD_Connection* connection, const char* url, const char*,
                                  const char*, const char*, std::size_t*, void**) {
  unsigned status = MHD_HTTP_OK;
  std::string body = "{\"revision\":7,\"ready\":true}";
  if (std::strcmp(url, "/explain") == 0) {
    const char* id = MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, "id");
    status = std::strcmp(id, "a&b=c") == 0 ? MHD_HTTP_OK : MHD_HTTP_NOT_FOUND;
    body = "{\"id\":\"" + std::string(id) + "\"}";
  }
  MHD_Response* response =
      MHD_create_response_from_buffer(body.size(), body.data(), MHD_RESPMEM_MUST_COPY);
  const MHD_Result result = MHD_queue_response(connection, status, response);
  MHD_destroy_response(response);
  return result;
}

class fuchsiactl_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(fuchsiactl_test);
  CPPUNIT_TEST(usage_errors_have_their_own_code);
  CPPUNIT_TEST(rendered_bundle_is_shown);
  CPPUNIT_TEST(set_with_faults_is_not_rendered);
  CPPUNIT_TEST(damaged_bundle_is_not_shown);
  CPPUNIT_TEST(mark_is_set_and_removed);
  CPPUNIT_TEST(daemon_responses_are_printed);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    m_root = fs::temp_directory_path() / ("fuchsiactl_" + std::to_string(getpid()));
    m_set = m_root / "set";
    fs::create_directories(m_set);
    write(valid_set);
  }
  void tearDown() override { fs::remove_all(m_root); }

 private:
  void write(const std::string& text) { std::ofstream(m_set / "objects.yaml") << text; }

  static std::string read(const fs::path& path) {
    std::ifstream stream(path, std::ios::binary);
    return {std::istreambuf_iterator<char>(stream), {}};
  }

  void expect(int code, std::vector<std::string> words) {
    words.insert(words.begin(), "fuchsiactl");
    std::vector<char*> argv;
    for (std::string& word : words) {
      argv.push_back(word.data());
    }
    std::ostringstream out;
    std::ostringstream err;
    const int actual = run_command_line(static_cast<int>(argv.size()), argv.data(), out, err);
    m_out = out.str();
    m_err = err.str();
    CPPUNIT_ASSERT_EQUAL_MESSAGE(words.back() + ": " + m_err, code, actual);
  }

  void usage_errors_have_their_own_code() {
    expect(usage_error, {});
    expect(usage_error, {"destroy"});
    expect(usage_error, {"check"});
    expect(usage_error, {"check", m_set, "more"});
    expect(usage_error, {"check", "--unknown"});
    expect(usage_error, {"render", m_set, "--revision", "0", "--output", "-"});
    expect(usage_error, {"render", m_set, "--revision", "1x", "--output", "-"});
    expect(usage_error, {"render", m_set, "--revision", "1"});
    expect(usage_error, {"status", "user@host/path"});
    expect(usage_error, {"out-of-service", m_set, "rack", "a"});
    expect(success, {"--help"});
    CPPUNIT_ASSERT(m_out.find("Exit codes:") != std::string::npos);
    expect(success, {"--version"});
    CPPUNIT_ASSERT_EQUAL(std::string("fuchsiactl 0.1.0\n"), m_out);
  }

  void rendered_bundle_is_shown() {
    const std::string file = m_root / "bundle";
    expect(success, {"render", m_set, "--revision", "18446744073709551615", "--output", file});
    expect(success, {"show", file});
    CPPUNIT_ASSERT(m_out.find("revision: 18446744073709551615\n") == 0);
    CPPUNIT_ASSERT(m_out.find("1 team, 1 class, 1 pool, 1 upstream") != std::string::npos);
    expect(success, {"render", "-r", "18446744073709551615", "-o", "-", m_set});
    CPPUNIT_ASSERT_EQUAL(read(file), m_out);
  }

  // Guards against publishing a set with faults.
  void set_with_faults_is_not_rendered() {
    const std::string file = m_root / "bundle";
    write(valid_set + "vms: [{name: v1, failure_domain: gone}]\n");
    expect(set_refused, {"render", m_set, "--revision", "1", "--output", file});
    CPPUNIT_ASSERT(!fs::exists(file));
    CPPUNIT_ASSERT(m_err.find("objects.yaml:11: vms[v1].failure_domain: no failure domain is "
                              "named \"gone\"") != std::string::npos);
    expect(set_refused, {"render", m_set, "--revision", "1", "--output", "-"});
    CPPUNIT_ASSERT(m_out.empty());
    write(valid_set + "vms: [{name: v1, failure_domain: a}]\n");
    std::ofstream(m_set / "notes.txt") << "not read, which is a warning";
    expect(success, {"check", m_set});
    expect(set_refused, {"check", m_set, "--strict"});
    expect(set_refused, {"check", m_root / "none"});
    expect(file_error, {"render", m_set, "-r", "1", "-o", m_root / "none" / "bundle"});
    // A rename onto a pipe or device would replace it.
    CPPUNIT_ASSERT_EQUAL(0, mkfifo((m_root / "pipe").c_str(), S_IRUSR | S_IWUSR));
    expect(file_error, {"render", m_set, "-r", "1", "-o", m_root / "pipe"});
    CPPUNIT_ASSERT(fs::is_fifo(m_root / "pipe"));
  }

  void damaged_bundle_is_not_shown() {
    const std::string file = m_root / "bundle";
    expect(file_error, {"show", file});
    expect(success, {"render", m_set, "-r", "3", "-o", file});
    std::string bytes = read(file);
    bytes.back() = static_cast<char>(bytes.back() ^ 1);
    std::ofstream(file, std::ios::binary) << bytes;
    expect(set_refused, {"show", file});
    std::ofstream(file, std::ios::binary) << "text";
    expect(set_refused, {"show", file});
  }

  void mark_is_set_and_removed() {
    expect(success, {"out-of-service", m_set, "domain", "a"});
    const std::string marked = read(m_set / "objects.yaml");
    CPPUNIT_ASSERT(marked.find("  - name: a  # ground floor\n    out_of_service: true\n") !=
                   std::string::npos);
    CPPUNIT_ASSERT(m_err.find("every failure domain is out of service") != std::string::npos);
    expect(success, {"out-of-service", m_set, "domain", "a"});
    CPPUNIT_ASSERT(m_out.find("already is out of service") != std::string::npos);
    expect(success, {"in-service", m_set, "domain", "a"});
    CPPUNIT_ASSERT(read(m_set / "objects.yaml").find("out_of_service: false") != std::string::npos);
    expect(file_error, {"in-service", m_set, "vm", "v1"});
  }

  void daemon_responses_are_printed() {
    MHD_Daemon* daemon = MHD_start_daemon(MHD_USE_INTERNAL_POLLING_THREAD, 0, nullptr, nullptr,
                                          serve_operator_request, nullptr, MHD_OPTION_END);
    CPPUNIT_ASSERT(daemon != nullptr);
    const std::string address =
        "127.0.0.1:" + std::to_string(MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
    expect(success, {"status", address});
    CPPUNIT_ASSERT_EQUAL(std::string("{\n  \"ready\": true,\n  \"revision\": 7\n}\n"), m_out);
    // Guards against an id whose reserved URL characters are not percent-encoded.
    expect(success, {"explain", address, "a&b=c"});
    expect(daemon_error, {"explain", address, "other"});
    CPPUNIT_ASSERT(m_err.find("status 404") != std::string::npos);
    MHD_stop_daemon(daemon);
    expect(daemon_error, {"status", address, "--timeout", "1"});
  }

  fs::path m_root;
  fs::path m_set;
  std::string m_out;
  std::string m_err;
};

CPPUNIT_TEST_SUITE_REGISTRATION(fuchsiactl_test);

}  // namespace
}  // namespace fuchsiaspring::ctl
