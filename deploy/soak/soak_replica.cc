#include "deploy/soak/soak_replica.h"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <cstdint>
#include <cstdlib>
#include <utility>

namespace fuchsiaspring::soak {
namespace {

using std::chrono::milliseconds;

// Sound responses that pause once, in part for longer than a node waits before it looks for another
// replica.
constexpr double short_pause_share = 0.1;
constexpr std::uint64_t max_short_pause_ms = 700;
constexpr double long_pause_share = 0.02;
constexpr double long_stream_pause_share = 0.06;

// Responses that are written a second time on the same connection.
constexpr double copy_share = 0.03;
constexpr std::uint64_t max_copy_delay_ms = 300;

constexpr double mean_work_ms = 15;

const std::string not_executed = "Fuchsiaspring-Not-Executed: 1\r\n";

bool is_closed_by_peer(tcp::socket& socket) {
  char byte = 0;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void reset(tcp::socket& socket) {
  boost::system::error_code ignored;  // the node may have closed it already
  socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

void close(tcp::socket& socket) {
  boost::system::error_code ignored;  // the node may have closed it already
  socket.close(ignored);
}

}  // namespace

soak_replica::soak_replica(boost::asio::io_context& io, const boost::asio::ip::address_v4& address,
                           std::string id, base::random_source& random, invariant_checker& checker)
    : m_io(io),
      m_id(std::move(id)),
      m_random(random),
      m_checker(checker),
      m_acceptor(io, tcp::endpoint(address, 0)) {
  accept();
}

void soak_replica::pause_responses(milliseconds length) {
  m_paused_until = std::max(m_paused_until, clock::now() + length);
}

void soak_replica::end() {
  m_is_running = false;
  for (const std::weak_ptr<connection>& each : m_connections) {
    if (const connection_ptr open = each.lock()) {
      m_checker.on_run_disturbed(std::string(open->request["Fuchsiaspring-Attempt-Id"]), m_id);
      reset(open->socket);
    }
  }
  m_connections.clear();
}

void soak_replica::start_again(const std::string& id) {
  m_id = id;
  ++m_start_number;
  m_is_leaving = false;
  m_is_running = true;
  m_paused_until = {};
}

void soak_replica::accept() {
  m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
    if (error) {
      return;
    }
    if (m_is_running) {
      std::erase_if(m_connections, [](const auto& each) { return each.expired(); });
      const auto client = std::make_shared<connection>(std::move(socket));
      m_connections.push_back(client);
      read(client);
    } else {
      reset(socket);
    }
    accept();
  });
}

void soak_replica::read(const connection_ptr& client) {
  client->request = {};
  boost::beast::http::async_read(
      client->socket, client->buffer, client->request,
      [this, client](const boost::system::error_code& error, std::size_t) {
        if (!error) {
          handle_request(client);
        }
      });
}

void soak_replica::handle_request(const connection_ptr& client) {
  const behavior chosen = choose_behavior(client->request);
  report_request(*client, chosen);
  run_after(milliseconds(static_cast<int>(m_random.exponential(mean_work_ms))),
            [this, client, chosen] { finish(client, chosen); });
}

void soak_replica::report_request(const connection& client, behavior chosen) {
  if (chosen == behavior::misdirected) {
    return;
  }
  const std::string id(client.request["Fuchsiaspring-Attempt-Id"]);
  m_checker.on_arrival(id, incarnation(), clock::now());
  if (chosen == behavior::reject || chosen == behavior::turn_away) {
    return;
  }
  const run_end end = client.has_unnamed_copy       ? run_end::incomplete
                      : chosen == behavior::respond ? run_end::success
                      : chosen == behavior::fail    ? run_end::failure
                                                    : run_end::incomplete;
  m_checker.on_run(id, {.replica = m_id,
                        .incarnation = incarnation(),
                        .team = std::string(client.request["Fuchsiaspring-Tenant"]),
                        .has_key = client.request.count("Authorization") > 0,
                        .end = end,
                        .at = clock::now()});
}

// Another replica had this address before.
bool soak_replica::is_misdirected(const message& request) const {
  const auto expected = request.find("Fuchsiaspring-Expected-Instance");
  return expected != request.end() && expected->value() != m_id;
}

soak_replica::behavior soak_replica::choose_behavior(const message& request) {
  if (is_misdirected(request)) {
    return behavior::misdirected;
  }
  if (m_turn_away_rate > 0 && m_random.uniform() < m_turn_away_rate) {
    return behavior::turn_away;
  }
  if (m_random.uniform() >= m_fault_rate) {
    return behavior::respond;
  }
  constexpr std::uint64_t faults = 5;
  return static_cast<behavior>(1 + m_random.uniform_below(faults));
}

void soak_replica::finish(const connection_ptr& client, behavior chosen) {
  client->has_unnamed_copy = false;
  if (chosen == behavior::hang) {
    read(client);  // the connection stays open until the node closes it
    return;
  }
  if (chosen == behavior::close_early) {
    close(client->socket);
    return;
  }
  replica_response response = make_response(*client, chosen);
  if (m_is_leaving) {
    response.headers += "Server-Leaving: 1\r\n";
  }
  if (m_is_leaving && chosen == behavior::respond) {
    m_checker.on_leaving_stated(response.id, incarnation());
  }
  client->parts = split_into_parts(response, m_random);
  if (chosen == behavior::respond) {
    add_random_pause(client->parts, response.head().size());
  }
  if (chosen == behavior::truncate) {
    client->parts = truncate(client->parts, m_random.uniform_below(response.bytes().size()));
    client->closes_after_response = true;
  }
  client->last_response = response;
  client->bytes_before_first_event_end =
      response.body.empty()
          ? 0
          : client->copy.size() + response.head().size() + response.body.front().size();
  if (!client->copy.empty()) {
    client->parts.insert(client->parts.begin(), {.bytes = std::exchange(client->copy, {})});
  }
  client->is_writing = true;
  client->next_part = 0;
  client->pause_left = longest_pause;
  write_next_part(client);
}

replica_response soak_replica::make_response(connection& client, behavior chosen) {
  const std::string id(client.request["Fuchsiaspring-Attempt-Id"]);
  if (chosen == behavior::misdirected) {
    return {.status = "421 Misdirected Request", .id = id, .headers = not_executed};
  }
  if (chosen == behavior::reject) {
    return {.status = "503 Full", .id = id, .headers = not_executed};
  }
  if (chosen == behavior::turn_away) {
    return turn_away(client, id);
  }
  if (chosen == behavior::fail) {
    return {.status = "500 Failed", .id = id};
  }
  const bool is_stream = client.request.target().find("/stream/") == 0;
  const std::string last_event(client.request["Last-Event-Id"]);
  return make_success(is_stream, id, last_event.empty() ? 0 : std::atoi(last_event.c_str()));
}

replica_response soak_replica::turn_away(connection& client, const std::string& id) {
  constexpr milliseconds shortest_wait{500};
  constexpr std::uint64_t wait_spread_ms = 2500;
  const milliseconds wait = shortest_wait + milliseconds(m_random.uniform_below(wait_spread_ms));
  client.refusal =
      observed_refusal{.replica = m_id, .incarnation = incarnation(), .retry_after = wait};
  const double wait_s = std::chrono::duration<double>(wait).count();
  return {.status = "503 Full",
          .id = id,
          .headers = not_executed + "Retry-After: " + std::to_string(wait_s) + "\r\n"};
}

void soak_replica::add_random_pause(std::vector<response_part>& parts, std::size_t head_size) {
  const double choice = m_random.uniform();
  const double long_share = parts.size() > 1 ? long_stream_pause_share : long_pause_share;
  if (choice < long_share) {
    add_pause(parts, head_size, random_pause(m_random), m_random);
  } else if (choice < long_share + short_pause_share) {
    add_pause(parts, head_size, milliseconds(m_random.uniform_below(max_short_pause_ms)), m_random);
  }
}

void soak_replica::write_next_part(const connection_ptr& client) {
  if (client->next_part == client->parts.size()) {
    end_response(client);
    return;
  }
  const milliseconds pause = client->parts[client->next_part].pause_before;
  client->pause_left = std::max(client->pause_left - pause, milliseconds(0));
  run_after(pause, [this, client] { write_unless_paused(client); });
}

void soak_replica::write_unless_paused(const connection_ptr& client) {
  const auto rest = std::chrono::ceil<milliseconds>(m_paused_until - clock::now());
  const milliseconds pause = std::min(rest, client->pause_left);
  if (pause.count() > 0) {
    client->pause_left -= pause;
    run_after(pause, [this, client] { write_unless_paused(client); });
    return;
  }
  const response_part& part = client->parts[client->next_part++];
  boost::asio::async_write(
      client->socket, boost::asio::buffer(part.bytes),
      [this, client](const boost::system::error_code& error, std::size_t size) {
        if (!error) {
          report_begin(*client, size);
          write_next_part(client);
        }
      });
}

// A node that has closed the connection before the first event has gone on elsewhere.
void soak_replica::report_begin(connection& client, std::size_t written) {
  if (client.bytes_before_first_event_end == 0) {
    return;
  }
  client.bytes_before_first_event_end -= std::min(written, client.bytes_before_first_event_end);
  if (client.bytes_before_first_event_end == 0 && !is_closed_by_peer(client.socket)) {
    m_checker.on_stream_begun(client.last_response.id, m_id);
  }
}

void soak_replica::end_response(const connection_ptr& client) {
  if (client->closes_after_response) {
    close(client->socket);
    return;
  }
  client->is_writing = false;
  // A node that has given the attempt up and closed the connection does not get the refusal.
  if (client->refusal && !is_closed_by_peer(client->socket)) {
    client->refusal->at = clock::now();
    m_checker.on_turned_away(client->last_response.id, *client->refusal);
  }
  client->refusal.reset();
  if (m_random.uniform() < copy_share) {
    repeat_last_response(client);
  }
  read(client);
}

// Writes the response again after a while or right before the next one, in part without the id of
// its request. A node cannot tell such a copy from the response that it waits for, and may give up
// the connection.
void soak_replica::repeat_last_response(const connection_ptr& client) {
  constexpr double even_chance = 0.5;
  replica_response copy = client->last_response;
  if (m_random.uniform() < even_chance) {
    copy.id.clear();
  }
  if (m_random.uniform() < even_chance) {
    client->copy = copy.bytes();
    client->has_unnamed_copy = copy.id.empty();
    return;
  }
  run_after(milliseconds(m_random.uniform_below(max_copy_delay_ms)),
            [this, client, copy] { write_copy(client, copy); });
}

void soak_replica::write_copy(const connection_ptr& client, const replica_response& copy) {
  if (client->is_writing) {
    return;  // a copy inside another response would break that one
  }
  if (copy.id.empty()) {
    client->has_unnamed_copy = true;
    m_checker.on_run_disturbed(std::string(client->request["Fuchsiaspring-Attempt-Id"]), m_id);
  }
  boost::system::error_code ignored;  // the node may have closed the connection
  boost::asio::write(client->socket, boost::asio::buffer(copy.bytes()), ignored);
}

void soak_replica::run_after(milliseconds delay, std::function<void()> action) {
  auto timer = std::make_shared<boost::asio::steady_timer>(m_io, delay);
  timer->async_wait(
      [timer, action = std::move(action)](const boost::system::error_code&) { action(); });
}

}  // namespace fuchsiaspring::soak
