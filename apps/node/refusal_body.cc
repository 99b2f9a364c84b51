#include "apps/node/refusal_body.h"

#include <nlohmann/json.hpp>

namespace fuchsiaspring::node_app {

std::string refusal_body(unsigned status, std::string_view reason, bool is_executed_unknown) {
  const nlohmann::json body = {{"error",
                                {{"message", "The request was not answered."},
                                 {"type", "router_error"},
                                 {"code", status},
                                 {"reason", reason},
                                 {"executed", is_executed_unknown ? "unknown" : "no"}}}};
  return body.dump();
}

}  // namespace fuchsiaspring::node_app
