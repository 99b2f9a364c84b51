// Error object in responses that the node generates itself.
#pragma once

#include <string>
#include <string_view>

namespace fuchsiaspring::node_app {

// Returns JSON with `reason`, the label of the counter, and whether the request may have run.
std::string refusal_body(unsigned status, std::string_view reason, bool may_have_run);

}  // namespace fuchsiaspring::node_app
