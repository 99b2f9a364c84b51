#include "apps/node/replica_prober.h"

#include <utility>

#include "apps/node/connect_check.h"

namespace fuchsiaspring::node_app {
namespace {

using std::chrono::milliseconds;

// Several times the round trip between failure domains.
constexpr base::duration connect_timeout = milliseconds(300);
constexpr base::duration result_lifetime = milliseconds(900);

// Whether the replica's machine, or the path to it, does not respond. A refusal shows that it does:
// a process that ended would have closed the connection of the response as well, and one that is
// about to end may have closed its port only. Other errors, such as a lack of descriptors, say
// nothing about the replica.
bool is_unreachable(const boost::system::error_code& result) {
  namespace error = boost::asio::error;
  return result == error::timed_out || result == error::host_unreachable ||
         result == error::network_unreachable;
}

}  // namespace

void replica_prober::probe(const placement::choice& chosen, failure_handler on_failure) {
  const base::time_point now = base::boot_clock::now();
  std::erase_if(m_replicas, [now](const auto& item) {
    return !item.second.is_pending && now - item.second.reached_at > result_lifetime;
  });
  replica_state& state = m_replicas[chosen.replica_id];
  if (!state.is_pending && state.reached_at != base::time_point{}) {
    return;
  }
  state.waiting.push_back(std::move(on_failure));
  if (std::exchange(state.is_pending, true)) {
    return;
  }
  check_connect(m_context.io, parse_endpoint(chosen.address), connect_timeout,
                [this, id = chosen.replica_id](const boost::system::error_code& result) {
                  on_result(id, result);
                });
}

void replica_prober::on_result(const std::string& replica_id,
                               const boost::system::error_code& result) {
  replica_state& state = m_replicas[replica_id];
  const std::vector<failure_handler> waiting = std::exchange(state.waiting, {});
  const bool is_failure = is_unreachable(result);
  m_context.metrics.count("fuchsia_replica_probes_total",
                          "Connection attempts to replicas that fell silent, by their result.",
                          {{"result", is_failure ? "unreachable" : "reachable"}});
  m_context.log.write(telemetry::level::info, "gateway", "silent_replica_probed",
                      {{"replica", replica_id},
                       {"unreachable", is_failure},
                       {"requests", waiting.size()},
                       {"detail", result.message()}});
  if (!is_failure) {
    state.is_pending = false;
    state.reached_at = base::boot_clock::now();
    return;
  }
  m_replicas.erase(replica_id);
  for (const failure_handler& each : waiting) {
    each(result);
  }
}

}  // namespace fuchsiaspring::node_app
