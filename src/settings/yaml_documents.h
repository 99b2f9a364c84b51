// Detects more than one YAML document in a text.
#pragma once

#include <yaml-cpp/yaml.h>

#include <optional>
#include <string>

namespace fuchsiaspring::settings::internal {

// Start of the second document in `text`, or nothing when there is at most one. Throws
// YAML::Exception for text that is not YAML.
//
// YAML::LoadAll is not used: yaml-cpp 0.7 reads a comma outside brackets, as in "- a\n, b", as an
// endless sequence of documents and allocates memory until the process is killed.
std::optional<YAML::Mark> second_document(const std::string& text);

}  // namespace fuchsiaspring::settings::internal
