#include "apps/node/range_exchange.h"

#include <algorithm>
#include <utility>

#include "apps/node/compression.h"
#include "apps/node/snapshot_exchange.h"
#include "peer.pb.h"

namespace fuchsiaspring::node_app {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_store_failed = 502;
constexpr unsigned status_busy = 503;
// Lists of one page each that a node reads at the same time: two readers may ask it for two each.
constexpr std::size_t max_jobs = 4;
// Contents kept, of up to 500 replicas each.
constexpr std::size_t max_known_ranges = 4;
// The requester reads the range itself after a shorter time.
constexpr base::duration max_list_time = std::chrono::milliseconds(1500);

}  // namespace

relay::request encode_range_request(const range_request& request) {
  schema::ConfigRangeRequest message;
  message.set_after(request.range.after);
  message.set_until(request.range.until);
  message.set_known_hash(request.known_hash);
  return {.method = "POST",
          .target = range_target,
          .headers = {{"Host", "peer"}},
          .body = message.SerializeAsString()};
}

std::optional<range_request> decode_range_request(const std::string& bytes) {
  schema::ConfigRangeRequest message;
  if (!message.ParseFromString(bytes)) {
    return std::nullopt;
  }
  return range_request{{message.after(), message.until()}, message.known_hash()};
}

void range_server::serve(relay::caller_connection& caller, const relay::request& message) {
  auto request = decode_range_request(message.body.text());
  if (!request) {
    caller.respond({{status_bad_request, {}}, ""});
    return;
  }
  if (m_jobs.size() >= max_jobs) {
    caller.respond({{status_busy, {}}, ""});
    return;
  }
  m_jobs.push_back({caller.shared_from_this(), std::move(*request), nullptr});
  const auto added = std::prev(m_jobs.end());
  caller.set_disconnect_handler([this, added] { m_jobs.erase(added); });
  added->lister = std::make_unique<store_lister>(
      m_context, platform::replica_prefix, added->request.range,
      [this, added](base::result<listing> result) { finish(added, std::move(result)); });
  added->lister->start(base::boot_clock::now() + max_list_time);
}

void range_server::finish(std::list<job>::iterator which, base::result<listing> result) {
  const job done = std::move(*which);
  m_jobs.erase(which);
  done.caller->set_disconnect_handler(nullptr);
  if (!result) {
    m_context.log.write(telemetry::level::info, "agent", "range_read_failed",
                        {{"detail", result.error().message}});
    done.caller->respond({{status_store_failed, {}}, ""});
    return;
  }
  listing& read = result.value();
  fleet::content_history& history = history_of(done.request.range);
  history.add(std::move(read.content));
  const std::string bytes =
      compress(encode_snapshot({history.delta_since(done.request.known_hash), read.version}));
  m_context.metrics.count("fuchsia_peer_sent_bytes_total",
                          "Bytes of the configuration that were sent to other nodes.",
                          {{"content", "range"}}, static_cast<double>(bytes.size()));
  done.caller->respond({{status_ok, {}}, bytes});
}

fleet::content_history& range_server::history_of(const fleet::key_range& range) {
  const auto found = std::find_if(m_ranges.begin(), m_ranges.end(),
                                  [&](const known_range& each) { return each.range == range; });
  if (found != m_ranges.end()) {
    m_ranges.splice(m_ranges.begin(), m_ranges, found);
  } else {
    m_ranges.push_front({range, {}});
  }
  if (m_ranges.size() > max_known_ranges) {
    m_ranges.pop_back();
  }
  return m_ranges.front().history;
}

}  // namespace fuchsiaspring::node_app
