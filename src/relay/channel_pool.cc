#include "fuchsiaspring/relay/channel_pool.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;

// Some upstreams close idle connections after a few seconds without stating an idle timeout.
constexpr base::duration default_idle_timeout = std::chrono::seconds(3);
// The upstream's idle timer may expire this much earlier than this node's.
constexpr base::duration idle_margin = milliseconds(400);
constexpr base::duration max_recent_idle = milliseconds(700);
constexpr base::duration sweep_interval = milliseconds(500);

}  // namespace

channel_pool::channel_pool(boost::asio::io_context& io, channel_options options)
    : m_io(io), m_options(options), m_sweep_timer(io) {}

channel_pool::~channel_pool() {
  for (auto& [upstream, connections] : m_idle) {
    for (idle_connection& connection : connections) {
      connection.channel->cancel();
    }
  }
}

std::shared_ptr<upstream_channel> channel_pool::acquire(
    const std::string& upstream, const boost::asio::ip::tcp::endpoint& endpoint, reuse policy,
    std::string_view request_id) {
  std::shared_ptr<upstream_channel> channel;
  if (policy != reuse::none) {
    channel = take_idle(upstream, endpoint, policy, request_id);
  }
  if (channel == nullptr) {
    ++m_opened_connections;
    channel = upstream_channel::create(m_io, endpoint, m_options);
  }
  channel->record_request_id(request_id);
  return channel;
}

std::shared_ptr<upstream_channel> channel_pool::take_idle(
    const std::string& upstream, const boost::asio::ip::tcp::endpoint& endpoint, reuse policy,
    std::string_view request_id) {
  const base::time_point now = base::boot_clock::now();
  auto& connections = m_idle[upstream];
  for (auto next = connections.end(); next != connections.begin();) {
    --next;
    if (policy == reuse::recent && now - next->released_at > max_recent_idle) {
      return nullptr;
    }
    if (next->channel->has_carried(request_id)) {
      continue;
    }
    std::shared_ptr<upstream_channel> channel = next->channel;
    const bool is_usable =
        now < next->expires_at && next->endpoint == endpoint && channel->is_reusable();
    next = connections.erase(next);
    if (is_usable) {
      return channel;
    }
    channel->cancel();
  }
  return nullptr;
}

void channel_pool::release(const std::string& upstream,
                           const std::shared_ptr<upstream_channel>& channel) {
  if (!channel->is_reusable()) {
    channel->cancel();
    return;
  }
  const base::time_point now = base::boot_clock::now();
  const base::duration stated_timeout = channel->idle_timeout().value_or(default_idle_timeout);
  const base::duration usable_time =
      std::max<base::duration>(milliseconds(0), stated_timeout - idle_margin);
  auto& connections = m_idle[upstream];
  connections.push_back({channel, channel->endpoint(), now, now + usable_time});
  channel->watch_idle([this, upstream, idle_channel = channel.get()] {
    auto& idle_connections = m_idle[upstream];
    idle_connections.remove_if([idle_channel](const idle_connection& connection) {
      if (connection.channel.get() != idle_channel) {
        return false;
      }
      connection.channel->cancel();
      return true;
    });
  });
  schedule_sweep();
}

void channel_pool::close_idle(const std::string& upstream) {
  const auto found = m_idle.find(upstream);
  if (found == m_idle.end()) {
    return;
  }
  for (idle_connection& connection : found->second) {
    connection.channel->cancel();
  }
  m_idle.erase(found);
}

std::size_t channel_pool::idle_count() const {
  std::size_t count = 0;
  for (const auto& [upstream, connections] : m_idle) {
    count += connections.size();
  }
  return count;
}

void channel_pool::schedule_sweep() {
  if (std::exchange(m_is_sweep_scheduled, true)) {
    return;
  }
  m_sweep_timer.expires_after(sweep_interval);
  m_sweep_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) {
      return;
    }
    m_is_sweep_scheduled = false;
    sweep();
  });
}

void channel_pool::sweep() {
  const base::time_point now = base::boot_clock::now();
  for (auto& [upstream, connections] : m_idle) {
    connections.remove_if([now](const idle_connection& connection) {
      if (now < connection.expires_at) {
        return false;
      }
      connection.channel->cancel();
      return true;
    });
  }
  std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
  if (!m_idle.empty()) {
    schedule_sweep();
  }
}

}  // namespace fuchsiaspring::relay
