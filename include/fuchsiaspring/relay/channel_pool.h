// Idle connections to upstreams, kept for later requests.
//
//   relay::channel_pool pool(io, options);
//   auto channel = pool.acquire("replica-7", endpoint, relay::reuse::any, request_id);
//   ...
//   pool.release("replica-7", channel);       // after response_ended
//
// An idle connection is closed before the idle timeout that the upstream states expires, and
// immediately when data or the end of the connection arrives. Not thread-safe; one event loop owns
// it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/relay/upstream_channel.h"

namespace fuchsiaspring::relay {

enum class reuse {
  any,     // any idle connection
  recent,  // only one released less than 700 ms ago; for requests that must not run twice
  none,    // always a new connection
};

class channel_pool {
 public:
  channel_pool(boost::asio::io_context& io, channel_options options);
  ~channel_pool();
  channel_pool(const channel_pool&) = delete;
  channel_pool& operator=(const channel_pool&) = delete;
  channel_pool(channel_pool&&) = delete;
  channel_pool& operator=(channel_pool&&) = delete;

  // Returns an idle connection, or a new one. A connection that has carried a request with this id
  // is not reused: the id does not tell a second response to that request from the response to its
  // repeat. Requests with an empty id are not told apart.
  std::shared_ptr<upstream_channel> acquire(const std::string& upstream,
                                            const boost::asio::ip::tcp::endpoint& endpoint,
                                            reuse policy, std::string_view request_id);

  // Keeps the channel if it is reusable, and closes it otherwise.
  void release(const std::string& upstream, const std::shared_ptr<upstream_channel>& channel);

  // Closes the idle connections to an upstream.
  void close_idle(const std::string& upstream);

  std::uint64_t opened_connections() const { return m_opened_connections; }
  std::size_t idle_count() const;

 private:
  struct idle_connection {
    std::shared_ptr<upstream_channel> channel;
    boost::asio::ip::tcp::endpoint endpoint;
    base::time_point released_at;
    base::time_point expires_at;
  };

  // The idle connection that acquire() returns, or nullptr. Closes those that it finds unusable.
  std::shared_ptr<upstream_channel> take_idle(const std::string& upstream,
                                              const boost::asio::ip::tcp::endpoint& endpoint,
                                              reuse policy, std::string_view request_id);
  void sweep();
  void schedule_sweep();

  boost::asio::io_context& m_io;
  channel_options m_options;
  boost::asio::steady_timer m_sweep_timer;
  bool m_is_sweep_scheduled = false;
  std::map<std::string, std::list<idle_connection>> m_idle;  // oldest first
  std::uint64_t m_opened_connections = 0;
};

}  // namespace fuchsiaspring::relay
