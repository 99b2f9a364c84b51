#include "apps/node/crash_detector.h"

#include <algorithm>
#include <utility>

#include "apps/node/connect_check.h"

namespace fuchsiaspring::node_app {
namespace {

using boost::system::error_code;
using std::chrono::milliseconds;

// The connections of a replica that ends break within this time of each other.
constexpr base::duration collection_time = milliseconds(30);
// A machine that does not respond within this time is cut off or has lost power, which no prompt
// causes.
constexpr base::duration connect_timeout = milliseconds(300);

}  // namespace

struct crash_detector::check {
  check(boost::asio::io_context& io, boost::asio::ip::tcp::endpoint replica_endpoint)
      : endpoint(std::move(replica_endpoint)), timer(io) {}

  boost::asio::ip::tcp::endpoint endpoint;
  quarantine::crash_report report;
  boost::asio::steady_timer timer;
};

crash_detector::crash_detector(node_context& context, crash_handler on_crash)
    : m_context(context), m_on_crash(std::move(on_crash)) {}

crash_detector::~crash_detector() = default;

void crash_detector::on_attempt_broken(const placement::choice& chosen,
                                       const std::vector<quarantine::suspect>& suspects) {
  if (suspects.empty()) {
    return;
  }
  const auto found = m_checks.find(chosen.replica_id);
  const bool is_new = found == m_checks.end();
  const std::shared_ptr<check> pending =
      is_new ? std::make_shared<check>(m_context.io, parse_endpoint(chosen.address))
             : found->second;
  check& current = *pending;
  for (const quarantine::suspect& each : suspects) {
    std::vector<quarantine::suspect>& all = current.report.suspects;
    if (std::find(all.begin(), all.end(), each) == all.end()) {
      all.push_back(each);
    }
  }
  if (!is_new) {
    return;
  }
  current.report.at = base::boot_clock::now();
  current.report.replica = quarantine::hash_replica_start(
      chosen.replica_id, m_context.scheduler.placer().started_at_ms(chosen.replica_id));
  current.timer.expires_after(collection_time);
  current.timer.async_wait([this, pending, id = chosen.replica_id](const error_code& cancelled) {
    if (!cancelled) {
      connect(id, pending);
    }
  });
  m_checks.emplace(chosen.replica_id, pending);
}

void crash_detector::connect(const std::string& replica_id, const std::shared_ptr<check>& pending) {
  check_connect(m_context.io, pending->endpoint, connect_timeout,
                [this, pending, replica_id](const error_code& result) {
                  on_result(replica_id, pending, result);
                });
}

void crash_detector::on_result(const std::string& replica_id, const std::shared_ptr<check>& pending,
                               const error_code& result) {
  m_checks.erase(replica_id);
  const bool has_ended = result == boost::asio::error::connection_refused;
  m_context.log.write(telemetry::level::info, "gateway",
                      has_ended ? "replica_ended" : "replica_end_not_confirmed",
                      {{"replica", replica_id},
                       {"suspects", pending->report.suspects.size()},
                       {"detail", result.message()}});
  if (has_ended) {
    m_context.metrics.count("fuchsia_replica_ends_total",
                            "Replicas that ended while they answered requests of this node.", {});
    m_on_crash(pending->report);
  }
}

}  // namespace fuchsiaspring::node_app
