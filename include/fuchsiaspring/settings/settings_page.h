// The reference page of all settings (docs/settings.md), generated from the schema.
#pragma once

#include <string>

namespace fuchsiaspring::settings {

// Markdown. `fuchsiactl settings-doc` prints it. Thread-safe.
std::string settings_page();

}  // namespace fuchsiaspring::settings
