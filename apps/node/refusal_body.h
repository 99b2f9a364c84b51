// The error object in the node's own answers.
#pragma once

#include <string>
#include <string_view>

namespace fuchsiaspring::node_app {

// JSON with `reason`, the label of the counter, and whether the request may have been executed.
std::string refusal_body(unsigned status, std::string_view reason, bool is_executed_unknown);

}  // namespace fuchsiaspring::node_app
