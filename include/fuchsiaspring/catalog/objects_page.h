// The reference page of operators' objects (docs/objects.md).
#pragma once

#include <string>

namespace fuchsiaspring::catalog {

// Markdown with every object and field. `fuchsiactl objects-doc` prints it. Thread-safe.
std::string objects_page();

}  // namespace fuchsiaspring::catalog
