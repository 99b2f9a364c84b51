// Agent processes of a small fleet on loopback, with a configuration service and gateways simulated
// by the test. Each agent runs in its own process, since nng 1.5.2 fails when threads of one
// process open and close several mailboxes.
#include <cppunit/extensions/HelperMacros.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "catalog/test_objects.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/transport/messenger.h"

namespace fuchsiaspring::agent {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int vm_count = 4;
const std::vector<std::string> keys{"a shared key of the test fleet"};

std::string address(int base_port, int vm) {
  return "127.0.0.1:" + std::to_string(base_port + vm);
}

// Simulated configuration service: returns the published values without holding a watch.
class config_service {
 public:
  config_service()
      : m_server({.listen_address = "127.0.0.1:21599"},
                 [this](http::http_request& request) { return serve(request); }) {
    CPPUNIT_ASSERT(!m_server.start().has_error());
  }

  void publish(std::uint64_t revision, std::uint64_t list_version) {
    schema::Catalog objects = catalog::test::small_set();
    objects.set_membership_floor(1);
    schema::VmList list;
    list.set_version(list_version);
    for (int vm = 0; vm < vm_count; ++vm) {
      auto& entry = *list.add_vms();
      entry.set_name("vm" + std::to_string(vm));
      entry.set_failure_domain(vm % 2 == 0 ? "a" : "b");
      entry.set_agent_address(address(21500, vm));
      entry.set_state(schema::VM_STATE_LIVE);
    }
    const std::lock_guard lock(m_mutex);
    m_bundle = catalog::make_bundle(objects, revision).SerializeAsString();
    m_list = list.SerializeAsString();
  }
  void set_down(bool down) { m_down = down; }

 private:
  http::http_response serve(const http::http_request& request) {
    std::this_thread::sleep_for(milliseconds(20));
    const std::lock_guard lock(m_mutex);
    return m_down
               ? http::http_response::text(503, "")
               : http::http_response::text(200, request.path == "/v1/bundle" ? m_bundle : m_list);
  }

  std::mutex m_mutex;
  std::string m_bundle;
  std::string m_list;
  std::atomic<bool> m_down{false};
  http::http_server m_server;
};

// An agent process and the mailbox of its simulated gateway.
class test_vm {
 public:
  test_vm(int number, std::string folder) : m_number(number), m_folder(std::move(folder)) {
    m_gateway = open_mailbox("/gateway", 21540);
    start();
  }
  test_vm(const test_vm&) = delete;
  test_vm& operator=(const test_vm&) = delete;
  test_vm(test_vm&&) = delete;
  test_vm& operator=(test_vm&&) = delete;
  ~test_vm() { stop(); }

  void start() {
    const std::string vm = std::to_string(m_number);
    const std::string settings_path = m_folder + "/agent" + vm + ".yaml";
    std::ofstream(settings_path) << "vm: vm" << vm
                                 << "\nfailure_domain: " << (m_number % 2 == 0 ? "a" : "b")
                                 << "\noperator_address: " << address(21560, m_number)
                                 << "\nmailbox_address: " << address(21500, m_number)
                                 << "\nconfig_service_url: http://127.0.0.1:21599\nkey_file: "
                                 << m_folder << "/key\nlocal_mailboxes: [\""
                                 << address(21540, m_number) << R"("]
key_retention_ms: 2000
clock_error_ms: 0
claim_timeout_ms: 400
heartbeat_interval_ms: 50
suspicion_timeout_ms: 500
isolation_limit_ms: 60000
watch_timeout_ms: 1000
readers_per_domain: 1
log: { level: warn }
)";
    std::string program = FUCHSIA_AGENT_PROGRAM;
    std::string option = "--settings=" + settings_path;
    const std::array<char*, 3> arguments{program.data(), option.data(), nullptr};
    CPPUNIT_ASSERT_EQUAL(
        0, posix_spawn(&m_pid, program.c_str(), nullptr, nullptr, arguments.data(), environ));
  }

  // Kills the agent, so that it sends no leaving heartbeat.
  void stop() {
    if (m_pid > 0) {
      kill(m_pid, SIGKILL);
      waitpid(m_pid, nullptr, 0);
      m_pid = 0;
    }
  }

  // Whether the gateway receives `revision` within `limit`. A lower revision than before fails the
  // test.
  bool wait_for_revision(std::uint64_t revision, base::duration limit) {
    const auto deadline = base::boot_clock::now() + limit;
    while (base::boot_clock::now() < deadline) {
      const auto envelope = m_gateway->receive(milliseconds(20));
      if (!envelope || !envelope->config_update().has_bundle()) {
        continue;
      }
      const std::uint64_t received = envelope->config_update().bundle().revision();
      CPPUNIT_ASSERT(received >= m_revision);
      m_revision = received;
      if (received == revision) {
        return true;
      }
    }
    return false;
  }

  schema::ClaimResult claim(const std::string& key, const std::string& attempt,
                            std::uint64_t key_time_ms) {
    schema::Envelope envelope;
    schema::ClaimKey& request = *envelope.mutable_claim_key();
    request.set_request_id(attempt);
    request.set_attempt_id(attempt);
    request.set_scope("stores/card-api");
    request.set_key_digest(key);
    request.set_key_time_ms(key_time_ms);
    m_gateway->send(address(21500, m_number), std::move(envelope));
    const auto deadline = base::boot_clock::now() + seconds(2);
    while (base::boot_clock::now() < deadline) {
      const auto reply = m_gateway->receive(milliseconds(20));
      if (reply && reply->claim_result().attempt_id() == attempt) {
        return reply->claim_result();
      }
    }
    return {};
  }

  void finish(const std::string& key, const std::string& attempt, schema::KeyState state) {
    schema::Envelope envelope;
    schema::FinishKey& request = *envelope.mutable_finish_key();
    request.set_scope("stores/card-api");
    request.set_key_digest(key);
    request.set_attempt_id(attempt);
    request.set_state(state);
    request.set_http_status(200);
    m_gateway->send(address(21500, m_number), std::move(envelope));
  }

 private:
  std::unique_ptr<transport::messenger> open_mailbox(const std::string& part, int port) const {
    auto opened = transport::messenger::open({.name = "vm" + std::to_string(m_number) + part,
                                              .listen_address = address(port, m_number),
                                              .keys = keys});
    CPPUNIT_ASSERT(!opened.has_error());
    return std::move(opened).value();
  }

  const int m_number;
  std::uint64_t m_revision = 0;
  const std::string m_folder;
  std::unique_ptr<transport::messenger> m_gateway;
  pid_t m_pid = 0;
};

class agent_test : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(agent_test);
  CPPUNIT_TEST(configuration_reaches_all_vms_and_never_regresses);
  CPPUNIT_TEST(keys_are_granted_once);
  CPPUNIT_TEST_SUITE_END();

 public:
  void setUp() override {
    std::string pattern = "/tmp/fuchsia-agent-test-XXXXXX";
    m_folder = mkdtemp(pattern.data());
    std::ofstream(m_folder + "/key") << keys.front() << "\n";
    m_service = std::make_unique<config_service>();
    m_service->publish(5, 1);
    for (int i = 0; i < vm_count; ++i) {
      m_vms.push_back(std::make_unique<test_vm>(i, m_folder));
    }
  }
  void tearDown() override {
    m_vms.clear();
    m_service.reset();
    std::filesystem::remove_all(m_folder);
  }

 private:
  void wait_for_revision_on_all_vms(std::uint64_t revision) {
    for (auto& vm : m_vms) {
      CPPUNIT_ASSERT(vm->wait_for_revision(revision, seconds(5)));
    }
  }

  // Guards I10: an agent that restarts while the service returns an older revision must not send
  // that revision to its gateway, and an agent must start while the service is down.
  void configuration_reaches_all_vms_and_never_regresses() {
    wait_for_revision_on_all_vms(5);
    m_service->publish(6, 1);
    wait_for_revision_on_all_vms(6);
    m_service->publish(4, 1);
    m_vms[1]->stop();
    m_vms[1]->start();
    CPPUNIT_ASSERT(m_vms[1]->wait_for_revision(6, seconds(5)));
    m_service->set_down(true);
    m_vms[2]->stop();
    m_vms[2]->start();
    CPPUNIT_ASSERT(m_vms[2]->wait_for_revision(6, seconds(5)));
    for (auto& vm : m_vms) {
      CPPUNIT_ASSERT(!vm->wait_for_revision(4, milliseconds(100)));
    }
  }

  schema::ClaimResult claim_when_active(int vm, const std::string& key) {
    const auto deadline = base::boot_clock::now() + seconds(15);
    int attempt = 0;
    while (base::boot_clock::now() < deadline) {
      const std::string name = key + "-first-" + std::to_string(++attempt);
      const auto result = m_vms[static_cast<std::size_t>(vm)]->claim(key, name, 0);
      if (result.granted()) {
        return result;
      }
      CPPUNIT_ASSERT_EQUAL(std::string("key_unconfirmed"), result.reason());
    }
    return {};
  }

  // Guards I7: a key is granted once, also when another agent claims it, a recorder restarts or the
  // claim is repeated.
  void keys_are_granted_once() {
    wait_for_revision_on_all_vms(5);
    // Each agent refuses claims until records under unknown older list versions have expired.
    for (int vm = 0; vm < vm_count; ++vm) {
      CPPUNIT_ASSERT(claim_when_active(vm, "warm-up" + std::to_string(vm)).granted());
    }
    const schema::ClaimResult first = claim_when_active(0, "k1");
    CPPUNIT_ASSERT(first.granted());
    CPPUNIT_ASSERT_EQUAL(1000U, first.valid_ms());
    CPPUNIT_ASSERT(m_vms[0]->claim("k1", first.attempt_id(), 0).granted());
    CPPUNIT_ASSERT_EQUAL(std::string("duplicate_key"), m_vms[1]->claim("k1", "b", 0).reason());
    m_vms[0]->finish("k1", first.attempt_id(), schema::KEY_STATE_FINISHED);
    std::this_thread::sleep_for(milliseconds(50));
    const auto duplicate = m_vms[2]->claim("k1", "c", 0);
    CPPUNIT_ASSERT_EQUAL(schema::KEY_STATE_FINISHED, duplicate.duplicate_state());
    CPPUNIT_ASSERT_EQUAL(200U, duplicate.first_status());

    // A request that was never dispatched releases its key.
    CPPUNIT_ASSERT(m_vms[0]->claim("k2", "d", 0).granted());
    m_vms[0]->finish("k2", "d", schema::KEY_STATE_UNSPECIFIED);
    std::this_thread::sleep_for(milliseconds(50));
    CPPUNIT_ASSERT(m_vms[1]->claim("k2", "e", 0).granted());

    CPPUNIT_ASSERT(m_vms[3]->claim("k3", "f", base::wall_clock_ms()).granted());
    m_vms[3]->stop();
    m_vms[3]->start();
    for (int vm : {0, 1, 2, 3}) {
      const auto result = m_vms[static_cast<std::size_t>(vm)]->claim("k3", "g" + std::to_string(vm),
                                                                     base::wall_clock_ms() - 500);
      CPPUNIT_ASSERT(!result.granted());
    }
    CPPUNIT_ASSERT_EQUAL(std::string("key_expired"),
                         m_vms[1]->claim("k4", "h", base::wall_clock_ms() - 3000).reason());
  }

  std::string m_folder;
  std::unique_ptr<config_service> m_service;
  std::vector<std::unique_ptr<test_vm>> m_vms;
};

CPPUNIT_TEST_SUITE_REGISTRATION(agent_test);

}  // namespace
}  // namespace fuchsiaspring::agent
