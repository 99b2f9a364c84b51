// Verification of operators' objects.
//
//   catalog::apply_defaults(objects);
//   for (const settings::finding& found : catalog::verify(objects)) {
//     std::cerr << settings::to_string(found) << '\n';
//   }
//
// All functions are thread-safe.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "catalog.pb.h"
#include "fuchsiaspring/settings/yaml_reader.h"

namespace fuchsiaspring::catalog {

// The configuration service stores values of up to 1 MB, taken as 10^6 and not 2^20 bytes.
inline constexpr std::size_t max_bundle_bytes = 1'000'000;

// Limit for the sum of all classes' floors, so that at least 70% of dispatches follow the tiers.
inline constexpr unsigned max_floor_sum_per_mille = 300;

// Replaces absent values (0) by the defaults listed in docs/objects.md. Repeating it changes
// nothing.
void apply_defaults(schema::Catalog& objects);

// All errors and warnings of the set, without file and line. `objects` has its defaults applied. A
// set without errors can be published.
std::vector<settings::finding> verify(const schema::Catalog& objects);

bool has_errors(const std::vector<settings::finding>& findings);

// All findings, each followed by a line break.
std::string join_findings(const std::vector<settings::finding>& findings);

// The errors, one per line.
std::string join_errors(const std::vector<settings::finding>& findings);

}  // namespace fuchsiaspring::catalog
