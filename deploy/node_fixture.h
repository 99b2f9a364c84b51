// A caller, a store, replicas and node processes on loopback sockets, for end-to-end tests.
#pragma once

#include <cppunit/extensions/HelperMacros.h>

#include <boost/asio/steady_timer.hpp>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <optional>
#include <sstream>
#include <string>
#include <vector>

#include "deploy/node_process.h"
#include "deploy/server_ports.h"
#include "deploy/store_stand_in.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::deploy_test {

using nlohmann::json;
using relay::testing::raw_caller;
using relay::testing::raw_upstream;
using relay::testing::received_request;
using relay::testing::run_until;
using relay::testing::tcp;
using relay::testing::write_all;
using relay::testing::write_endlessly;
using std::chrono::milliseconds;
using std::chrono::seconds;

inline std::string replica_response(const received_request& request, const std::string& status,
                                    const std::string& body,
                                    const std::string& extra_headers = "") {
  return "HTTP/1.1 " + status +
         "\r\nFuchsiaspring-Attempt-Id: " + request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\n" + extra_headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::string stream_response_head(const received_request& request) {
  return "HTTP/1.1 200 OK\r\nFuchsiaspring-Attempt-Id: " +
         request.header("Fuchsiaspring-Attempt-Id") +
         "\r\nFuchsiaspring-Response-Signature: s\r\nContent-Type: text/event-stream\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(const std::string& bytes) {
  std::ostringstream size;
  size << std::hex << bytes.size();
  return size.str() + "\r\n" + bytes + "\r\n";
}

inline std::string sse_event(int id) {
  return "id: " + std::to_string(id) + "\ndata: x\n\n";
}

inline json make_route(const std::string& name, const std::string& kind,
                       const std::string& service) {
  return {
      {"name", name},    {"hostname", "h.example"},  {"prefix", "/" + name + "/"},
      {"kind", kind},    {"timeout-ms", 1500},       {"target-latency-ms", 200},
      {"priority", 1},   {"service", service},       {"max-attempts", 2},
      {"public", false}, {"session-affinity", true}, {"stream-resumption", kind == "streaming"}};
}

inline json make_config(int version) {
  return {{"version", version},
          {"routes",
           {make_route("safe", "safe", "app"), make_route("once", "unsafe", "app"),
            make_route("stream", "streaming", "app")}},
          {"services", {{{"name", "app"}, {"health-check-path", "/health"}}}},
          {"tenants", {{{"name", "team-1"}, {"api-keys", {"key-1"}}}}}};
}

// Larger than 64 KiB, the limit above which nodes refuse a configuration to peers that can reach
// the configuration service.
inline json make_large_config(int version) {
  json config = make_config(version);
  for (int i = 0; i < 1500; ++i) {
    config["routes"].push_back(make_route("more-" + std::to_string(i), "safe", "app"));
  }
  return config;
}

inline json make_server_entry(std::uint16_t port) {
  return {{"service", "app"}, {"address", "127.0.0.1:" + std::to_string(port)},
          {"zone", "a"},      {"slots", 6},
          {"state", "ready"}, {"cold-remaining-ms", 0},
          {"born", 1}};
}

inline std::string request_bytes(const std::string& path, const std::string& key = "key-1",
                                 const std::string& id = "abc") {
  return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nFuchsiaspring-Attempt-Id: " + id +
         "\r\nAuthorization: Bearer " + key +
         "\r\nFuchsiaspring-Tenant: forged\r\nContent-Length: 0\r\n\r\n";
}

class node_fixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    m_io = std::make_unique<boost::asio::io_context>();
    m_ports = std::make_unique<server_ports>(*m_io, base::system_seed());
    m_store = std::make_unique<store_stand_in>(*m_io);
    m_replica_requests.clear();
    m_responses.clear();
  }

  void tearDown() override {
    m_caller.reset();
    m_nodes.clear();
    m_replicas.clear();
    m_store.reset();
    m_ports.reset();
    m_io.reset();
  }

 protected:
  using request_handler = std::function<void(tcp::socket&, const received_request&)>;

  void add_replica(const std::string& id, request_handler handler) {
    m_replicas.push_back(std::make_unique<raw_upstream>(
        *m_io, [this, handler](tcp::socket& socket, const received_request& request) {
          m_replica_requests.push_back(request);
          handler(socket, request);
        }));
    m_store->put("servers/" + id, make_server_entry(m_replicas.back()->endpoint().port()));
  }

  node_process& start_node(unsigned revocation_ms = 5000, std::uint16_t store_port = 0) {
    const std::size_t number = m_nodes.size() + 1;
    const std::uint16_t peers =
        m_nodes.empty() ? m_ports->next() : m_nodes.front()->ports().peer_port;
    m_nodes.push_back(std::make_unique<node_process>(
        "vm-" + std::to_string(number),
        node_process::node_ports{m_ports->next(), m_ports->next(), m_ports->next(), peers,
                                 store_port == 0 ? m_store->port() : store_port,
                                 "127.0.0." + std::to_string(number)},
        revocation_ms));
    return *m_nodes.back();
  }

  // Starts a node with make_config(1) and waits until it has adopted all replicas.
  node_process& start_ready_node(unsigned revocation_ms = 5000) {
    return start_ready_node_with(make_config(1), revocation_ms);
  }

  node_process& start_ready_node_with(const json& config, unsigned revocation_ms = 5000) {
    m_store->put("op/config", config);
    node_process& node = start_node(revocation_ms);
    CPPUNIT_ASSERT(run_until(*m_io, [&] {
      return node.log().find("replicas=" + std::to_string(m_replicas.size())) != std::string::npos;
    }));
    return node;
  }

  raw_caller& send(const node_process& node, const std::string& bytes) {
    m_caller = std::make_unique<raw_caller>(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().caller_port));
    m_caller->write(bytes);
    return *m_caller;
  }

  std::unique_ptr<raw_caller> make_caller(const node_process& node) {
    return std::make_unique<raw_caller>(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().caller_port));
  }

  void wait(milliseconds time) {
    run_until(
        *m_io, [] { return false; }, time);
  }

  // Returns the bytes received until they end with `end`, the connection closes or 5 s have passed.
  std::string send_and_receive(const node_process& node, const std::string& bytes,
                               const std::string& end) {
    raw_caller& caller = send(node, bytes);
    run_until(*m_io, [&] { return caller.received().ends_with(end) || caller.is_closed(); });
    return caller.received();
  }

  static void expect_status(const std::string& response, const std::string& status) {
    CPPUNIT_ASSERT_EQUAL("HTTP/1.1 " + status, response.substr(0, 12));
  }

  std::string readyz_response(const node_process& node) {
    raw_caller caller(
        *m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), node.ports().readiness_port));
    caller.write("GET /readyz HTTP/1.1\r\n\r\n");
    run_until(*m_io, [&] { return caller.received().ends_with("\n"); });
    return caller.received();
  }

  std::unique_ptr<boost::asio::io_context> m_io;
  std::unique_ptr<server_ports> m_ports;
  std::unique_ptr<store_stand_in> m_store;
  std::vector<std::unique_ptr<raw_upstream>> m_replicas;
  std::vector<std::unique_ptr<node_process>> m_nodes;
  std::unique_ptr<raw_caller> m_caller;
  std::vector<received_request> m_replica_requests;
  std::vector<std::string> m_responses;
};

}  // namespace fuchsiaspring::deploy_test
