#include "apps/node/node_context.h"

#include <algorithm>
#include <charconv>

namespace fuchsiaspring::node_app {
namespace {

// Memory that a connection may take in the process and the system, with part of a head.
constexpr std::size_t connections_per_mb = 30;
// Descriptors of the process itself and of connections that are refused with a response.
constexpr std::size_t other_descriptors = 80;
constexpr std::size_t max_peer_connections = 256;
constexpr std::size_t max_operator_connections = 64;

}  // namespace

// A quarter of the descriptors is left for connections to upstreams and to the store.
connection_limits connection_limits::of(const schema::NodeSettings& settings) {
  connection_limits limits{.callers = settings.max_connections(),
                           .peers = max_peer_connections,
                           .operators = max_operator_connections};
  if (const std::size_t memory_mb = settings.memory_limit_mb(); memory_mb > 0) {
    limits.callers = std::min(limits.callers, memory_mb * connections_per_mb);
  }
  if (const std::size_t descriptors = settings.file_descriptor_limit(); descriptors > 0) {
    const std::size_t share = std::max(descriptors / 8 * 5, 2 * other_descriptors);
    limits.callers = std::min(limits.callers, share - other_descriptors);
    limits.peers = std::min(limits.peers, std::max<std::size_t>(descriptors / 16, 8));
    limits.operators = std::min(limits.operators, std::max<std::size_t>(descriptors / 32, 4));
  }
  return limits;
}

retry::fleet_retry_budget& node_context::retry_budget(const std::string& service) {
  const auto found = retry_budgets.find(service);
  if (found != retry_budgets.end()) {
    return found->second;
  }
  retry::fleet_retry_budget budget(retry_budget_limits(settings.promises()));
  budget.set_nodes(known_nodes);
  return retry_budgets.emplace(service, std::move(budget)).first->second;
}

retry::fleet_budget_limits retry_budget_limits(const schema::PromiseSettings& promises) {
  return {.ratio = promises.retry_ratio(),
          .slack = promises.retry_slack(),
          .window = std::chrono::milliseconds(promises.retry_window_ms())};
}

boost::asio::ip::tcp::endpoint parse_endpoint(std::string_view address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(std::string(address.substr(0, colon)), error);
  std::uint16_t port = 0;
  std::from_chars(address.data() + colon + 1, address.data() + address.size(), port);
  return error ? boost::asio::ip::tcp::endpoint() : boost::asio::ip::tcp::endpoint(ip, port);
}

}  // namespace fuchsiaspring::node_app
