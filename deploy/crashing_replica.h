// Replicas of an engine service that end when they begin to answer a prompt with a harmful part.
//
//   replica_fleet fleet(io, store, ports, seed, "bad0c0de");
//   fleet.start(8);             // registers the replicas in the store
//   fleet.end_rack(4);          // as after the loss of a rack
//   fleet.record().crashes;     // times at which replicas ended because of the part
//
// The fleet must live until the io_context runs no more handlers. Not thread-safe.
#pragma once

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <memory>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "deploy/node_fixture.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::deploy_test {

using steady_clock = std::chrono::steady_clock;

// A request that has reached a replica.
struct replica_arrival {
  steady_clock::time_point at;
  std::string replica_id;
  std::string request_id;
  std::vector<std::string> prompt_parts;
  bool is_answer_begun = false;

  bool has_part(const std::string& part) const {
    return std::find(prompt_parts.begin(), prompt_parts.end(), part) != prompt_parts.end();
  }
};

// What happened at all replicas of a fleet, in order of time.
struct replica_record {
  std::vector<replica_arrival> arrivals;
  std::vector<steady_clock::time_point> crashes;  // ends because of the harmful part
};

// Ids of the parts in a Fuchsiaspring-Prompt-Prefix header.
inline std::vector<std::string> prompt_part_ids(const std::string& header) {
  std::vector<std::string> ids;
  std::istringstream entries(header);
  for (std::string entry; std::getline(entries, entry, ',');) {
    ids.push_back(entry.substr(0, entry.find(':')));
  }
  return ids;
}

// One process of an engine service. It answers several requests at once.
class crashing_replica {
 public:
  static constexpr int events_per_stream = 5;

  using end_handler = std::function<void(const crashing_replica&)>;

  struct identity {
    std::string id;
    std::uint16_t port = 0;
    std::string harmful_part;
  };

  crashing_replica(boost::asio::io_context& io, identity self, base::random_source& random,
                   replica_record& record, end_handler on_end)
      : m_self(std::move(self)),
        m_random(random),
        m_record(record),
        m_on_end(std::move(on_end)),
        m_acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), m_self.port)) {
    accept();
  }
  ~crashing_replica() = default;
  crashing_replica(const crashing_replica&) = delete;
  crashing_replica& operator=(const crashing_replica&) = delete;
  crashing_replica(crashing_replica&&) = delete;
  crashing_replica& operator=(crashing_replica&&) = delete;

  const std::string& id() const { return m_self.id; }
  std::uint16_t port() const { return m_self.port; }
  bool is_running() const { return m_acceptor.is_open(); }

  // Whether a stream has begun here that has not ended.
  bool is_answering() const {
    return std::any_of(m_connections.begin(), m_connections.end(),
                       [](const auto& each) { return each->is_answering; });
  }

  // Ends as a process does that is killed: connections break and new ones are refused.
  void end() {
    boost::system::error_code ignored;  // there is nothing to do about a failed close
    m_acceptor.close(ignored);
    for (const auto& each : m_connections) {
      close(*each);
    }
    m_connections.clear();
    m_on_end(*this);
  }

 private:
  struct connection {
    explicit connection(tcp::socket accepted)
        : socket(std::move(accepted)), pause(socket.get_executor()) {}
    tcp::socket socket;
    boost::asio::steady_timer pause;
    std::array<char, 4096> buffer{};
    std::string input;
    received_request request;
    std::size_t arrival = 0;  // index in the record
    int next_event = 1;
    bool is_answering = false;
  };
  using connection_ptr = std::shared_ptr<connection>;

  // Time until the first token; several requests of a replica wait or stream at once.
  static constexpr int min_first_event_ms = 20;
  static constexpr int first_event_spread_ms = 40;
  static constexpr milliseconds event_gap{50};

  void accept() {
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
      if (error) {
        return;
      }
      m_connections.push_back(std::make_shared<connection>(std::move(socket)));
      read(m_connections.back());
      accept();
    });
  }

  // Reads also during an answer, to stop it when the node closes the connection.
  void read(const connection_ptr& node) {
    node->socket.async_read_some(
        boost::asio::buffer(node->buffer),
        [this, node](const boost::system::error_code& error, std::size_t size) {
          if (error) {
            close(*node);
            std::erase(m_connections, node);
            return;
          }
          node->input.append(node->buffer.data(), size);
          handle_input(node);
          read(node);
        });
  }

  void handle_input(const connection_ptr& node) {
    const std::size_t end = node->input.find("\r\n\r\n");
    if (end == std::string::npos) {
      return;
    }
    node->request.head = node->input.substr(0, end + 2);
    node->input.erase(0, end + 4);
    if (!node->request.head.starts_with("POST ")) {
      write_all(node->socket, replica_response(node->request, "404 Not Found", ""));
      return;
    }
    const std::string prompt = node->request.header("Fuchsiaspring-Prompt-Prefix");
    node->arrival = m_record.arrivals.size();
    m_record.arrivals.push_back({.at = steady_clock::now(),
                                 .replica_id = m_self.id,
                                 .request_id = node->request.header("Fuchsiaspring-Attempt-Id"),
                                 .prompt_parts = prompt_part_ids(prompt)});
    const milliseconds first_event(min_first_event_ms +
                                   static_cast<int>(m_random.uniform_below(first_event_spread_ms)));
    after(node, first_event, [this, node] { begin_answer(node); });
  }

  void begin_answer(const connection_ptr& node) {
    replica_arrival& arrival = m_record.arrivals[node->arrival];
    arrival.is_answer_begun = true;
    if (arrival.has_part(m_self.harmful_part)) {
      write_all(node->socket, bytes_before_crash(node->request));
      m_record.crashes.push_back(steady_clock::now());
      end();
      return;
    }
    node->is_answering = true;
    node->next_event = std::atoi(node->request.header("Last-Event-Id").c_str()) + 1;
    write_all(node->socket, stream_response_head(node->request));
    send_events(node);
  }

  // Nothing, the head, or the head and a part of the first event.
  std::string bytes_before_crash(const received_request& request) {
    const std::string head = stream_response_head(request);
    const std::string first_event = chunk(sse_event(1));
    const std::array<std::string, 3> variants = {
        "", head, head + first_event.substr(0, first_event.size() / 2)};
    return variants[m_random.uniform_below(variants.size())];
  }

  void send_events(const connection_ptr& node) {
    if (node->next_event > events_per_stream) {
      write_all(node->socket, "0\r\n\r\n");
      node->is_answering = false;
      return;
    }
    write_all(node->socket, chunk(sse_event(node->next_event++)));
    after(node, event_gap, [this, node] { send_events(node); });
  }

  static void after(const connection_ptr& node, milliseconds delay,
                    const std::function<void()>& action) {
    node->pause.expires_after(delay);
    node->pause.async_wait([node, action](const boost::system::error_code& cancelled) {
      if (!cancelled && node->socket.is_open()) {
        action();
      }
    });
  }

  static void close(connection& node) {
    boost::system::error_code ignored;  // the node may have closed it already
    node.is_answering = false;
    node.pause.cancel();
    node.socket.close(ignored);
  }

  identity m_self;
  base::random_source& m_random;
  replica_record& m_record;
  end_handler m_on_end;
  tcp::acceptor m_acceptor;
  std::vector<connection_ptr> m_connections;
};

// A fixed number of replicas. About 1 s after the end of one its entry leaves the store, and
// another with a new id and port takes its place.
class replica_fleet {
 public:
  replica_fleet(boost::asio::io_context& io, store_stand_in& store, server_ports& ports,
                std::uint64_t seed, std::string harmful_part)
      : m_io(io),
        m_store(store),
        m_ports(ports),
        m_random(seed),
        m_harmful_part(std::move(harmful_part)) {}

  void start(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      start_replica();
    }
  }

  // Ends `count` replicas at the same moment.
  void end_rack(std::size_t count) {
    const std::vector<crashing_replica*> running = find(&crashing_replica::is_running);
    for (std::size_t i = 0; i < std::min(count, running.size()); ++i) {
      running[i]->end();
    }
  }

  // Ends a random one of the replicas that are in the middle of a stream; false if there is none.
  bool end_one_that_answers() {
    const std::vector<crashing_replica*> answering = find(&crashing_replica::is_answering);
    if (answering.empty()) {
      return false;
    }
    answering[m_random.uniform_below(answering.size())]->end();
    return true;
  }

  const replica_record& record() const { return m_record; }

 private:
  static constexpr int min_absence_ms = 900;
  static constexpr int absence_spread_ms = 200;

  std::vector<crashing_replica*> find(bool (crashing_replica::*has_property)() const) const {
    std::vector<crashing_replica*> found;
    for (const auto& each : m_replicas) {
      if ((*each.*has_property)()) {
        found.push_back(each.get());
      }
    }
    return found;
  }

  void start_replica() {
    m_replicas.push_back(std::make_unique<crashing_replica>(
        m_io,
        crashing_replica::identity{"e-" + std::to_string(m_replicas.size() + 1), m_ports.next(),
                                   m_harmful_part},
        m_random, m_record, [this](const crashing_replica& ended) { replace(ended); }));
    json entry = make_server_entry(m_replicas.back()->port());
    const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
    entry["born"] = std::chrono::duration_cast<milliseconds>(since_epoch).count();
    m_store.put("servers/" + m_replicas.back()->id(), entry);
  }

  void replace(const crashing_replica& ended) {
    after_absence([this, id = ended.id()] { m_store.remove("servers/" + id); });
    after_absence([this] { start_replica(); });
  }

  void after_absence(const std::function<void()>& action) {
    const milliseconds absence(min_absence_ms +
                               static_cast<int>(m_random.uniform_below(absence_spread_ms)));
    auto timer = std::make_shared<boost::asio::steady_timer>(m_io, absence);
    timer->async_wait([timer, action](const boost::system::error_code& cancelled) {
      if (!cancelled) {
        action();
      }
    });
  }

  boost::asio::io_context& m_io;
  store_stand_in& m_store;
  server_ports& m_ports;
  base::random_source m_random;
  std::string m_harmful_part;
  replica_record m_record;
  // Ended replicas stay here, because pending handlers refer to them.
  std::vector<std::unique_ptr<crashing_replica>> m_replicas;
};

}  // namespace fuchsiaspring::deploy_test
