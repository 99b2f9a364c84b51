#include "apps/node/refusal_body.h"

#include <nlohmann/json.hpp>

namespace fuchsiaspring::node_app {

std::string refusal_body(unsigned status, std::string_view reason, bool may_have_run) {
  const nlohmann::json body = {{"error",
                                {{"message", "The request was not answered."},
                                 {"type", "router_error"},
                                 {"code", status},
                                 {"reason", reason},
                                 {"executed", may_have_run ? "unknown" : "no"}}}};
  return body.dump();
}

}  // namespace fuchsiaspring::node_app
