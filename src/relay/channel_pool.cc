#include "fuchsiaspring/relay/channel_pool.h"

#include <algorithm>
#include <utility>

namespace fuchsiaspring::relay {
namespace {

using std::chrono::milliseconds;

// Upstreams that state no idle timeout have been seen to close after a few seconds.
constexpr base::duration default_idle = std::chrono::seconds(3);
// The upstream may close this much before its stated timeout by this node's clock.
constexpr base::duration idle_margin = milliseconds(400);
constexpr base::duration recent_idle = milliseconds(700);
constexpr base::duration sweep_interval = milliseconds(500);

}  // namespace

channel_pool::channel_pool(boost::asio::io_context& io, channel_options options)
    : m_io(io), m_options(options), m_sweep_timer(io) {}

channel_pool::~channel_pool() {
  for (auto& [upstream, list] : m_idle) {
    for (kept& each : list) {
      each.channel->cancel();
    }
  }
}

std::shared_ptr<upstream_channel> channel_pool::acquire(
    const std::string& upstream, const boost::asio::ip::tcp::endpoint& endpoint, reuse allowed) {
  const base::time_point now = base::boot_clock::now();
  auto& list = m_idle[upstream];
  while (allowed != reuse::none && !list.empty()) {
    kept& newest = list.back();
    if (allowed == reuse::recent && now - newest.since > recent_idle) {
      break;
    }
    std::shared_ptr<upstream_channel> channel = newest.channel;
    const bool is_usable =
        now < newest.until && newest.endpoint == endpoint && channel->is_reusable();
    list.pop_back();
    if (is_usable) {
      return channel;
    }
    channel->cancel();
  }
  ++m_opened;
  return upstream_channel::create(m_io, endpoint, m_options);
}

void channel_pool::release(const std::string& upstream,
                           const std::shared_ptr<upstream_channel>& channel) {
  if (!channel->is_reusable()) {
    channel->cancel();
    return;
  }
  const base::time_point now = base::boot_clock::now();
  const base::duration stated = channel->idle_timeout().value_or(default_idle);
  const base::duration idle = std::max<base::duration>(milliseconds(0), stated - idle_margin);
  auto& list = m_idle[upstream];
  list.push_back({channel, channel->endpoint(), now, now + idle});
  channel->watch_idle([this, upstream, raw = channel.get()] {
    auto& kept_list = m_idle[upstream];
    kept_list.remove_if([raw](const kept& each) {
      if (each.channel.get() != raw) {
        return false;
      }
      each.channel->cancel();
      return true;
    });
  });
  schedule_sweep();
}

void channel_pool::forget(const std::string& upstream) {
  const auto found = m_idle.find(upstream);
  if (found == m_idle.end()) {
    return;
  }
  for (kept& each : found->second) {
    each.channel->cancel();
  }
  m_idle.erase(found);
}

std::size_t channel_pool::idle() const {
  std::size_t count = 0;
  for (const auto& [upstream, list] : m_idle) {
    count += list.size();
  }
  return count;
}

void channel_pool::schedule_sweep() {
  if (std::exchange(m_is_sweep_scheduled, true)) {
    return;
  }
  m_sweep_timer.expires_after(sweep_interval);
  m_sweep_timer.async_wait([this](const boost::system::error_code& cancelled) {
    if (cancelled) {
      return;
    }
    m_is_sweep_scheduled = false;
    sweep();
  });
}

void channel_pool::sweep() {
  const base::time_point now = base::boot_clock::now();
  for (auto& [upstream, list] : m_idle) {
    list.remove_if([now](const kept& each) {
      if (now < each.until) {
        return false;
      }
      each.channel->cancel();
      return true;
    });
  }
  std::erase_if(m_idle, [](const auto& item) { return item.second.empty(); });
  if (!m_idle.empty()) {
    schedule_sweep();
  }
}

}  // namespace fuchsiaspring::relay
