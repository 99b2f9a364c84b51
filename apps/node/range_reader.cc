#include "apps/node/range_reader.h"

#include <algorithm>
#include <utility>

#include "apps/node/compression.h"
#include "apps/node/range_exchange.h"
#include "apps/node/snapshot_exchange.h"
#include "fuchsiaspring/fleet/read_plan.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

constexpr base::duration connect_timeout = milliseconds(300);
// One page takes 0.2 s of a link of 10 Mbit/s, and as long again if callers use it as well.
constexpr base::duration part_timeout = milliseconds(700);
// A node that failed is not asked for a range again within this time.
constexpr base::duration failure_pause = milliseconds(5000);

}  // namespace

range_reader::range_reader(node_context& context)
    : m_context(context),
      m_division(std::string(platform::replica_prefix)),
      m_part_timer(context.io) {}

void range_reader::cancel() {
  ++m_read;
  m_on_done = nullptr;
  m_part_timer.cancel();
  for (part& each : m_parts) {
    if (each.channel) {
      each.channel->cancel();
    }
  }
  m_parts.clear();
  m_own_parts.clear();
  m_operator_lister.reset();
  m_own_lister.reset();
}

std::vector<std::string> range_reader::member_addresses(const fleet::peer_info& self,
                                                        const std::vector<fleet::peer_info>& live,
                                                        std::size_t ranges) const {
  const base::time_point now = base::boot_clock::now();
  std::vector<fleet::peer_info> usable;
  for (const fleet::peer_info& each : live) {
    const auto failed = m_failed_addresses.find(each.address);
    if (failed == m_failed_addresses.end() || now - failed->second > failure_pause) {
      usable.push_back(each);
    }
  }
  std::vector<std::string> addresses;
  for (const std::string& vm :
       fleet::range_members(fleet::read_order(self, usable), self.vm, ranges)) {
    const auto peer = std::find_if(usable.begin(), usable.end(),
                                   [&](const fleet::peer_info& each) { return each.vm == vm; });
    addresses.push_back(peer == usable.end() ? std::string() : peer->address);
  }
  return addresses;
}

bool range_reader::can_divide(const fleet::peer_info& self,
                              const std::vector<fleet::peer_info>& live) const {
  if (m_context.snapshot.history.content().size() <= fleet::max_page_items) {
    return false;
  }
  const std::vector<std::string> members = member_addresses(self, live, 1);
  return !members.empty() && !members.front().empty();
}

void range_reader::read(const fleet::peer_info& self, const std::vector<fleet::peer_info>& live,
                        base::time_point deadline, handler on_done) {
  cancel();
  std::erase_if(m_idle_channels, [](const auto& item) { return !item.second->is_reusable(); });
  std::erase_if(m_failed_addresses, [now = base::boot_clock::now()](const auto& item) {
    return now - item.second > failure_pause;
  });
  const fleet::content_map& content = m_context.snapshot.history.content();
  m_division.update(content);
  m_on_done = std::move(on_done);
  m_deadline = deadline;
  m_version.reset();
  m_operator_content.reset();
  const std::vector<std::string> addresses =
      member_addresses(self, live, m_division.ranges().size());
  for (const fleet::key_range& range : m_division.ranges()) {
    m_parts.push_back({.range = range,
                       .known = fleet::slice(content, std::string(platform::replica_prefix), range),
                       .address = addresses[m_parts.size() % addresses.size()]});
  }
  m_operator_lister = std::make_unique<store_lister>(
      m_context, platform::operator_prefix, fleet::key_range{}, [this](base::result<listing> read) {
        if (!read) {
          fail(read.error());
          return;
        }
        if (!add_version(read.value().version)) {
          return;
        }
        m_operator_content = std::move(read.value().content);
        finish_if_complete();
      });
  m_operator_lister->start(deadline);
  m_part_timer.expires_after(part_timeout);
  m_part_timer.async_wait([this, number = m_read](const boost::system::error_code& cancelled) {
    if (!cancelled && number == m_read) {
      on_part_timeout();
    }
  });
  for (std::size_t i = 0; i < m_parts.size(); ++i) {
    if (m_parts[i].address.empty()) {
      m_own_parts.push_back(i);
    } else {
      request_part(i);
    }
  }
  read_next_own();
}

void range_reader::request_part(std::size_t index) {
  part& wanted = m_parts[index];
  auto idle = m_idle_channels.extract(wanted.address);
  if (!idle.empty() && idle.mapped()->is_reusable()) {
    wanted.channel = std::move(idle.mapped());
  } else {
    wanted.channel = relay::upstream_channel::create(m_context.io, parse_endpoint(wanted.address),
                                                     {.connect_timeout = connect_timeout});
  }
  const std::uint64_t known_hash = wanted.known.empty() ? 0 : fleet::content_hash(wanted.known);
  wanted.channel->send(
      encode_range_request({wanted.range, known_hash}), nullptr, nullptr,
      [this, index](const relay::channel_event& event) { on_event(index, event); });
}

void range_reader::on_event(std::size_t index, const relay::channel_event& event) {
  std::visit(
      relay::overloaded{
          [&](const relay::response_started& started) {
            m_parts[index].status = started.head.status;
          },
          [&](const relay::body_received& received) {
            if (m_parts[index].body.size() + received.bytes.size() > max_response_bytes) {
              on_part_failed(index, "too many bytes");
              return;
            }
            m_parts[index].body += received.bytes;
          },
          [&](const relay::response_ended&) { on_response(index); },
          [&](const relay::channel_failed& failed) { on_part_failed(index, failed.detail); }},
      event);
}

void range_reader::on_response(std::size_t index) {
  part& read = m_parts[index];
  m_context.metrics.count("fuchsia_config_read_bytes_total",
                          "Bytes of responses to reads of the configuration.",
                          {{"source", "range"}}, static_cast<double>(read.body.size()));
  if (read.status != 200) {
    on_part_failed(index, "status " + std::to_string(read.status));
    return;
  }
  const auto bytes = decompress(read.body, max_content_bytes);
  const auto snapshot = bytes ? decode_snapshot(*bytes)
                              : base::result<snapshot_change>(base::error{
                                    base::error_code::invalid_argument, "malformed range"});
  if (!snapshot) {
    on_part_failed(index, snapshot.error().message);
    return;
  }
  auto content = fleet::apply(read.known, fleet::content_hash(read.known), snapshot.value().change);
  const bool is_own_range =
      content && std::all_of(content->begin(), content->end(), [&](const auto& item) {
        return item.first.starts_with(platform::replica_prefix) && read.range.contains(item.first);
      });
  if (!is_own_range) {
    on_part_failed(index, "content does not fit the range");
    return;
  }
  m_idle_channels.insert_or_assign(read.address, std::move(read.channel));
  read.channel = nullptr;
  on_part_read(index, std::move(*content), snapshot.value().version);
}

void range_reader::on_part_failed(std::size_t index, const std::string& detail) {
  part& failed = m_parts[index];
  failed.channel->cancel();
  failed.channel = nullptr;
  m_failed_addresses[failed.address] = base::boot_clock::now();
  m_context.log.write(telemetry::level::info, "agent", "range_not_received",
                      {{"peer", failed.address}, {"detail", detail}});
  m_context.metrics.count("fuchsia_config_range_failures_total",
                          "Ranges that another node did not return in time.");
  failed.address.clear();
  m_own_parts.push_back(index);
  read_next_own();
}

void range_reader::on_part_timeout() {
  for (std::size_t i = 0; i < m_parts.size(); ++i) {
    if (m_parts[i].channel) {
      on_part_failed(i, "no response in time");
    }
  }
}

void range_reader::read_next_own() {
  if (m_own_lister || m_own_parts.empty()) {
    return;
  }
  const std::size_t index = m_own_parts.front();
  m_own_parts.pop_front();
  m_own_lister = std::make_unique<store_lister>(
      m_context, platform::replica_prefix, m_parts[index].range,
      [this, index](base::result<listing> read) {
        if (!read) {
          fail(read.error());
          return;
        }
        // Keeps the lister until the end of its handler.
        const std::unique_ptr<store_lister> done = std::move(m_own_lister);
        on_part_read(index, std::move(read.value().content), read.value().version);
        read_next_own();
      });
  m_own_lister->start(m_deadline);
}

void range_reader::on_part_read(std::size_t index, fleet::content_map content,
                                const node::store_version& version) {
  if (!add_version(version)) {
    return;
  }
  m_parts[index].content = std::move(content);
  finish_if_complete();
}

// Ranges of different eras are no parts of one state.
bool range_reader::add_version(const node::store_version& version) {
  if (m_version && m_version->era != version.era) {
    fail({base::error_code::unavailable, "ranges of one listing have different eras"});
    return false;
  }
  m_version = m_version ? std::min(*m_version, version) : version;
  return true;
}

void range_reader::finish_if_complete() {
  const bool is_complete =
      m_operator_content && std::all_of(m_parts.begin(), m_parts.end(),
                                        [](const part& each) { return each.content.has_value(); });
  if (!is_complete) {
    return;
  }
  std::vector<std::optional<fleet::content_map>> contents;
  for (part& each : m_parts) {
    contents.push_back(std::move(each.content));
  }
  listing whole{
      .content = *fleet::merge_ranges(std::move(*m_operator_content), std::move(contents)),
      .version = m_version.value_or(node::store_version{})};
  const handler on_done = std::exchange(m_on_done, nullptr);
  cancel();
  on_done(std::move(whole));
}

void range_reader::fail(const base::error& cause) {
  const handler on_done = std::exchange(m_on_done, nullptr);
  cancel();
  on_done(cause);
}

}  // namespace fuchsiaspring::node_app
