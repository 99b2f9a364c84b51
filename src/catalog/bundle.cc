#include "fuchsiaspring/catalog/bundle.h"

#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <string>

#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/catalog/verify.h"

namespace fuchsiaspring::catalog {
namespace {

std::string serialize(const schema::Catalog& objects) {
  std::string bytes;
  google::protobuf::io::StringOutputStream stream(&bytes);
  google::protobuf::io::CodedOutputStream coded(&stream);
  coded.SetSerializationDeterministic(true);
  objects.SerializeToCodedStream(&coded);
  coded.Trim();
  return bytes;
}

// The digest covers the revision, as 8 bytes in big-endian order, so that a bundle cannot be
// published again under a higher revision by changing that field alone.
std::string digest_of(std::uint64_t revision, const std::string& catalog) {
  constexpr int revision_bits = 64;
  constexpr int byte_bits = 8;
  std::string digest_input;
  digest_input.reserve(revision_bits / byte_bits + catalog.size());
  for (int shift = revision_bits - byte_bits; shift >= 0; shift -= byte_bits) {
    digest_input.push_back(static_cast<char>(revision >> shift & 0xffU));
  }
  digest_input += catalog;
  return base::sha256_hex(digest_input);
}

base::error invalid_bundle(std::string message) {
  return {base::error_code::invalid_argument, std::move(message)};
}

}  // namespace

schema::Bundle make_bundle(const schema::Catalog& objects, std::uint64_t revision) {
  schema::Bundle bundle;
  bundle.set_revision(revision);
  bundle.set_catalog(serialize(objects));
  bundle.set_digest(digest_of(revision, bundle.catalog()));
  return bundle;
}

base::result<schema::Catalog> parse_bundle(const schema::Bundle& bundle) {
  if (bundle.revision() == 0) {
    return invalid_bundle("bundle has revision 0, accepted: 1 or higher");
  }
  if (const std::size_t size = bundle.ByteSizeLong(); size > max_bundle_bytes) {
    return invalid_bundle("bundle of " + std::to_string(size) + " bytes is larger than " +
                          std::to_string(max_bundle_bytes) + " bytes");
  }
  if (!base::constant_time_equal(bundle.digest(), digest_of(bundle.revision(), bundle.catalog()))) {
    return invalid_bundle("bundle digest does not match its revision and content");
  }
  schema::Catalog objects;
  if (!objects.ParseFromString(bundle.catalog())) {
    return invalid_bundle("bundle content does not parse as a Catalog message");
  }
  apply_defaults(objects);
  const auto findings = verify(objects);
  if (has_errors(findings)) {
    return invalid_bundle(join_errors(findings));
  }
  return objects;
}

}  // namespace fuchsiaspring::catalog
