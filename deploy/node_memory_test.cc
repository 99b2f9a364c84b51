// End-to-end test of fuchsia-node with callers outside the limits that would fill its memory.
#include <algorithm>
#include <array>
#include <cstddef>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "deploy/node_fixture.h"

namespace fuchsiaspring::deploy_test {
namespace {

// The smallest VM, and fewer descriptors than the crowd has connections.
constexpr std::size_t memory_limit_mb = 88;
constexpr std::size_t descriptor_limit = 400;
// Enough for the whole crowd, so that only memory is short.
constexpr std::size_t ample_descriptor_limit = 1024;
constexpr std::size_t max_body_bytes = 4'194'304;
constexpr std::size_t chunk_bytes = 65'536;
// The replica of these tests recognizes the end of a body by it.
const std::string body_end = "\r\n\r\n";

// Bytes that a caller writes `count` times.
struct repeated_bytes {
  std::shared_ptr<const std::string> bytes;
  std::size_t count = 1;
};

repeated_bytes repeat(std::string bytes, std::size_t count = 1) {
  return {std::make_shared<const std::string>(std::move(bytes)), count};
}

// Writes without blocking, stays open, and discards what it receives.
class crowd_caller {
 public:
  crowd_caller(boost::asio::io_context& io, const tcp::endpoint& remote,
               std::vector<repeated_bytes> output)
      : m_state(std::make_shared<state>(io)) {
    m_state->output = std::move(output);
    m_state->socket.async_connect(remote, [peer = m_state](const boost::system::error_code& error) {
      if (!error) {
        write(peer);
        read(peer);
      }
    });
  }
  ~crowd_caller() {
    boost::system::error_code ignored;
    m_state->socket.close(ignored);
  }
  crowd_caller(const crowd_caller&) = delete;
  crowd_caller& operator=(const crowd_caller&) = delete;
  crowd_caller(crowd_caller&&) = delete;
  crowd_caller& operator=(crowd_caller&&) = delete;

 private:
  struct state {
    explicit state(boost::asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    std::vector<repeated_bytes> output;
    std::size_t position = 0;
    std::array<char, 1024> input{};
  };

  static void write(const std::shared_ptr<state>& peer) {
    if (peer->position == peer->output.size()) {
      return;
    }
    repeated_bytes& next = peer->output[peer->position];
    boost::asio::async_write(peer->socket, boost::asio::buffer(*next.bytes),
                             [peer, &next](const boost::system::error_code& error, std::size_t) {
                               if (error) {
                                 return;
                               }
                               if (--next.count == 0) {
                                 ++peer->position;
                               }
                               write(peer);
                             });
  }

  static void read(const std::shared_ptr<state>& peer) {
    peer->socket.async_read_some(boost::asio::buffer(peer->input),
                                 [peer](const boost::system::error_code& error, std::size_t) {
                                   if (!error) {
                                     read(peer);
                                   }
                                 });
  }

  std::shared_ptr<state> m_state;
};

std::string head_with(const std::string& framing) {
  return "POST /once/1 HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: crowd\r\n"
         "Authorization: Bearer key-1\r\n" +
         framing + "\r\n";
}

class node_memory_test : public node_fixture {
  CPPUNIT_TEST_SUITE(node_memory_test);
  CPPUNIT_TEST(crowd_outside_the_limits_does_not_fill_memory_or_descriptors);
  CPPUNIT_TEST(crowd_whose_connections_are_all_accepted_does_not_fill_memory);
  CPPUNIT_TEST(body_of_the_greatest_size_is_served_in_calm);
  CPPUNIT_TEST_SUITE_END();

  node_process& start_limited_node(std::size_t descriptors = descriptor_limit) {
    add_replica("i-1", [this](tcp::socket& s, const received_request& r) {
      if (r.head.starts_with("POST") && r.header("Content-Length") != "0") {
        m_heads[r.connection] = r;
      } else if (const auto found = m_heads.find(r.connection); found != m_heads.end()) {
        m_body_sizes.push_back(r.head.size() + 2);
        const received_request head = found->second;
        m_heads.erase(found);
        write_all(s, replica_response(head, "200 OK", "sound"));
      } else {
        write_all(s, replica_response(r, "200 OK", "sound"));
      }
    });
    json config = make_config(1);
    for (json& route : config["routes"]) {
      route["timeout-ms"] = 20'000;
    }
    m_store->put("op/config", config);
    node_process& node = start_node();
    node.signal(SIGKILL);
    CPPUNIT_ASSERT(node.wait_for_end(seconds(5)));
    node.write_settings(node.settings() + "memory_limit_mb: " + std::to_string(memory_limit_mb) +
                        "\nfile_descriptor_limit: " + std::to_string(descriptors) + "\n");
    node.restart();
    CPPUNIT_ASSERT_MESSAGE(node.log(), run_until(*m_io, [&] {
                             return node.log().find("replicas=1") != std::string::npos;
                           }));
    return node;
  }

  void add_callers(const node_process& node, std::size_t count,
                   const std::vector<repeated_bytes>& output) {
    const tcp::endpoint remote(boost::asio::ip::address_v4::loopback(), node.ports().caller_port);
    for (std::size_t i = 0; i < count; ++i) {
      m_crowd.push_back(std::make_unique<crowd_caller>(*m_io, remote, output));
    }
  }

  void add_crowd(const node_process& node) {
    const std::string chunked = head_with("Transfer-Encoding: chunked\r\n");
    const repeated_bytes large_chunk = repeat(chunk(std::string(chunk_bytes, 'x')), 63);
    std::string small_chunks;
    for (int i = 0; i < 1000; ++i) {
      small_chunks += chunk("x");
    }
    add_callers(node, 36, {repeat(chunked), large_chunk});
    add_callers(node, 20, {repeat(chunked), repeat(small_chunks, 250)});
    add_callers(node, 4, {repeat(chunked), large_chunk, repeat(chunk(body_end) + "0\r\n\r\n")});
    add_callers(
        node, 20,
        {repeat(head_with("Content-Length: 4194304\r\n")),
         repeat(std::string(chunk_bytes, 'x'), 63), repeat(std::string(chunk_bytes - 1, 'x'))});
    add_callers(node, 5,
                {repeat(head_with("Content-Length: 67108864\r\n")),
                 repeat(std::string(chunk_bytes, 'x'), 128)});
    add_callers(node, 5, {repeat(chunked), repeat(chunk(std::string(chunk_bytes, 'x')), 128)});
    add_callers(
        node, 300,
        {repeat("POST /once/1 HTTP/1.1\r\nHost: h.example\r\nX-More: " + std::string(8192, 'x'))});
    add_callers(node, 100, {});
  }

  // Memory is checked by its peak, descriptors by samples.
  void sample_descriptors(const node_process& node) {
    m_peak_descriptors = std::max(m_peak_descriptors, node.open_descriptors());
  }

  void expect_within_limits(node_process& node) {
    sample_descriptors(node);
    const std::string seen = std::to_string(node.peak_memory_kib()) + " KiB, " +
                             std::to_string(m_peak_descriptors) + " descriptors";
    CPPUNIT_ASSERT_MESSAGE("the process has ended", !node.wait_for_end(milliseconds(0)));
    CPPUNIT_ASSERT_MESSAGE(seen, node.peak_memory_kib() < memory_limit_mb * 1024);
    CPPUNIT_ASSERT_MESSAGE(seen, m_peak_descriptors < m_descriptor_limit);
  }

  // Guards against the end of the process by the platform, and against a crowd that keeps it from
  // ever answering others.
  void crowd_outside_the_limits_does_not_fill_memory_or_descriptors() {
    expect_service_beside_crowd(descriptor_limit);
  }

  // With few descriptors, later connections take the place of those that send bodies.
  void crowd_whose_connections_are_all_accepted_does_not_fill_memory() {
    expect_service_beside_crowd(ample_descriptor_limit);
  }

  void expect_service_beside_crowd(std::size_t descriptors) {
    node_process& node = start_limited_node(descriptors);
    m_descriptor_limit = descriptors;
    add_crowd(node);
    for (int i = 0; i < 60; ++i) {
      wait(milliseconds(50));
      sample_descriptors(node);
    }
    expect_within_limits(node);
    bool is_answered = false;
    for (int i = 0; i < 60 && !is_answered; ++i) {
      is_answered =
          send_and_receive(node, request_bytes("/once/1"), "sound").starts_with("HTTP/1.1 200");
      wait(milliseconds(250));
      sample_descriptors(node);
    }
    expect_within_limits(node);
    CPPUNIT_ASSERT_MESSAGE(node.log().substr(0, 8192), is_answered);
    m_crowd.clear();
  }

  // Guards against a budget that is smaller than what the limits allow.
  void body_of_the_greatest_size_is_served_in_calm() {
    node_process& node = start_limited_node();
    const std::string response =
        send_and_receive(node,
                         head_with("Content-Length: 4194304\r\n") +
                             std::string(max_body_bytes - body_end.size(), 'x') + body_end,
                         "sound");
    expect_status(response, "200");
    CPPUNIT_ASSERT_EQUAL(std::size_t{1}, m_body_sizes.size());
    CPPUNIT_ASSERT_EQUAL(max_body_bytes, m_body_sizes.front());
    expect_within_limits(node);
  }

 public:
  void tearDown() override {
    m_crowd.clear();
    m_heads.clear();
    m_body_sizes.clear();
    m_peak_descriptors = 0;
    node_fixture::tearDown();
  }

 private:
  std::vector<std::unique_ptr<crowd_caller>> m_crowd;
  std::map<int, received_request> m_heads;  // by connection, while their bodies arrive
  std::vector<std::size_t> m_body_sizes;
  std::size_t m_peak_descriptors = 0;
  std::size_t m_descriptor_limit = descriptor_limit;
};

CPPUNIT_TEST_SUITE_REGISTRATION(node_memory_test);

}  // namespace
}  // namespace fuchsiaspring::deploy_test
