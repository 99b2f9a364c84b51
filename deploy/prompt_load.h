// Callers that send streaming requests with shared prompt parts to the nodes in turn, and do not
// retry.
//
//   prompt_load load(io, seed, "bad0c0de");
//   load.add_node(node.ports().caller_port);
//   load.set_rates({.sound_per_s = 60, .harmful_per_s = 6});
//   run_until(io, [&] { load.advance(); return is_over(); });
//   load.requests();
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "deploy/crashing_replica.h"
#include "fuchsiaspring/base/random.h"
#include "relay/test_peers.h"

namespace fuchsiaspring::deploy_test {

// A request of a caller and what it got.
struct sent_prompt {
  std::string request_id;
  std::size_t node = 0;
  bool is_harmful = false;
  steady_clock::time_point sent;
  std::unique_ptr<raw_caller> caller;  // null after the end of the exchange
  bool is_closed = false;              // by the node, else the caller has given up
  std::string answer;

  // 0: no status line was received.
  int status() const {
    constexpr std::size_t status_begin = 9;  // behind "HTTP/1.1 "
    return answer.starts_with("HTTP/1.1 ") ? std::atoi(answer.c_str() + status_begin) : 0;
  }
  bool has_event() const { return answer.find(sse_event(1)) != std::string::npos; }
  // Whether the stream came with its last event and its last chunk.
  bool is_complete() const {
    return status() == 200 && answer.ends_with("\r\n0\r\n\r\n") &&
           answer.find(sse_event(crashing_replica::events_per_stream)) != std::string::npos;
  }
  bool mentions(const std::string& text) const { return answer.find(text) != std::string::npos; }
};

class prompt_load {
 public:
  struct rates {
    double sound_per_s = 0;
    double harmful_per_s = 0;
  };

  prompt_load(boost::asio::io_context& io, std::uint64_t seed, std::string harmful_part)
      : m_io(io), m_random(seed), m_harmful_part(std::move(harmful_part)) {}

  void add_node(std::uint16_t caller_port) { m_nodes.push_back({caller_port, true}); }

  // Nodes out of rotation get no requests.
  void set_in_rotation(std::size_t node, bool is_in_rotation) {
    m_nodes[node].is_in_rotation = is_in_rotation;
  }

  void set_rates(const rates& next) {
    set_rate(m_sound, next.sound_per_s);
    set_rate(m_harmful, next.harmful_per_s);
  }

  // Sends this many harmful requests at once.
  void send_harmful_burst(int count) {
    for (int i = 0; i < count; ++i) {
      m_harmful.last_node = next_node(m_harmful.last_node);
      send(m_harmful.last_node, true);
    }
  }

  // Sends the requests that are due and takes the answers that have arrived.
  void advance() {
    const auto now = steady_clock::now();
    send_due(m_sound, now);
    send_due(m_harmful, now);
    std::erase_if(m_open, [&](std::size_t number) { return take_answer(m_requests[number], now); });
  }

  bool is_idle() const { return m_open.empty(); }
  const std::vector<sent_prompt>& requests() const { return m_requests; }

 private:
  struct node_entry {
    std::uint16_t caller_port = 0;
    bool is_in_rotation = true;
  };

  // Requests of one kind, at random intervals.
  struct request_flow {
    bool is_harmful = false;
    double per_s = 0;
    steady_clock::time_point next;
    std::size_t last_node = 0;
  };

  static constexpr std::uint64_t second_parts = 6;
  // Exceeds the timeout of the route, 1.5 s, after which the node must have answered.
  static constexpr seconds answer_timeout{4};

  void set_rate(request_flow& flow, double per_s) {
    flow.per_s = per_s;
    flow.next = steady_clock::now() + random_interval(per_s);
  }

  steady_clock::duration random_interval(double per_s) {
    const std::chrono::duration<double> interval(per_s > 0 ? m_random.exponential(1 / per_s) : 0);
    return std::chrono::duration_cast<steady_clock::duration>(interval);
  }

  void send_due(request_flow& flow, steady_clock::time_point now) {
    while (flow.per_s > 0 && flow.next <= now) {
      flow.next += random_interval(flow.per_s);
      flow.last_node = next_node(flow.last_node);
      send(flow.last_node, flow.is_harmful);
    }
  }

  // At least one node must be in rotation.
  std::size_t next_node(std::size_t last) const {
    std::size_t next = (last + 1) % m_nodes.size();
    while (!m_nodes[next].is_in_rotation) {
      next = (next + 1) % m_nodes.size();
    }
    return next;
  }

  void send(std::size_t node, bool is_harmful) {
    sent_prompt request;
    request.request_id = random_hex();
    request.node = node;
    request.is_harmful = is_harmful;
    request.sent = steady_clock::now();
    request.caller = std::make_unique<raw_caller>(
        m_io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_nodes[node].caller_port));
    request.caller->write(request_text(request));
    m_open.push_back(m_requests.size());
    m_requests.push_back(std::move(request));
  }

  std::string random_hex() {
    std::ostringstream text;
    text << std::hex << m_random.next();
    return text.str();
  }

  std::string request_text(const sent_prompt& request) {
    const std::string second_part =
        "91bd3f0" + std::to_string(m_random.uniform_below(second_parts));
    const std::string harmful_part = request.is_harmful ? m_harmful_part + ":50," : "";
    return "POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\n"
           "Authorization: Bearer key-1\r\nFuchsiaspring-Attempt-Id: " +
           request.request_id + "\r\nFuchsiaspring-Model: m\r\nFuchsiaspring-Token-Counts: " +
           (request.is_harmful ? "1510" : "1460") +
           ",5\r\nFuchsiaspring-Prompt-Prefix: 5c1e07a2:800," + second_part + ":410," +
           harmful_part + random_hex() + ":250\r\nContent-Length: 0\r\n\r\n";
  }

  // Whether the exchange has ended.
  static bool take_answer(sent_prompt& request, steady_clock::time_point now) {
    if (!request.caller->is_closed() && now - request.sent < answer_timeout) {
      return false;
    }
    request.is_closed = request.caller->is_closed();
    request.answer = request.caller->received();
    request.caller.reset();
    return true;
  }

  boost::asio::io_context& m_io;
  base::random_source m_random;
  std::string m_harmful_part;
  std::vector<node_entry> m_nodes;
  request_flow m_sound;
  request_flow m_harmful{.is_harmful = true};
  std::vector<sent_prompt> m_requests;
  std::vector<std::size_t> m_open;  // indices of requests whose exchange has not ended
};

}  // namespace fuchsiaspring::deploy_test
