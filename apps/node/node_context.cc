#include "apps/node/node_context.h"

#include <charconv>

namespace fuchsiaspring::node_app {

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
