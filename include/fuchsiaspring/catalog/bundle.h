// Serialized set of all operators' objects, published as one unit with its revision and digest.
//
//   schema::Bundle bundle = catalog::make_bundle(objects, 17);
//   base::result<schema::Catalog> received = catalog::parse_bundle(bundle);
//
// All functions are thread-safe.
#pragma once

#include <cstdint>

#include "catalog.pb.h"
#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::catalog {

// Serializes `objects` and adds the digest. The same objects and revision give the same bytes. The
// set is not verified here; parse_bundle() rejects one that has faults.
schema::Bundle make_bundle(const schema::Catalog& objects, std::uint64_t revision);

// Checks size, digest and the whole set and returns the objects with their defaults applied.
// Errors: invalid_argument for revision 0, a size over 1 MB, a digest that does not match, bytes
// that do not parse as a Catalog, or a set with faults (one line per fault).
base::result<schema::Catalog> parse_bundle(const schema::Bundle& bundle);

}  // namespace fuchsiaspring::catalog
