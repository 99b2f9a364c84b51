// Loads operators' objects from a directory of YAML files.
//
//   catalog::loaded_catalog loaded = catalog::load_directory("/srv/objects");
//   for (const settings::finding& found : loaded.findings) {
//     std::cerr << settings::to_string(found) << '\n';
//   }
//   if (!catalog::has_errors(loaded.findings)) {
//     publish(catalog::make_bundle(loaded.objects, revision));
//   }
//
// All functions are thread-safe.
#pragma once

#include <filesystem>
#include <vector>

#include "catalog.pb.h"
#include "fuchsiaspring/catalog/verify.h"
#include "fuchsiaspring/settings/yaml_reader.h"

namespace fuchsiaspring::catalog {

struct loaded_catalog {
  schema::Catalog objects;                   // with defaults applied
  std::vector<settings::finding> findings;   // ordered by file and line
  std::vector<std::filesystem::path> files;  // in the order read
};

// Files of `directory` that hold objects (*.yaml and *.yml, without hidden files and
// subdirectories), ordered by name.
std::vector<std::filesystem::path> object_files(const std::filesystem::path& directory);

// Reads the files and verifies the set as a whole. A file holds any of the lists of message
// Catalog; lists of the same name in several files are joined. All faults are reported together
// with file, line and key; objects are shown by name, as in `teams[stores].default_class`. When a
// file cannot be read as YAML, references are not checked, since each object of that file would be
// reported as missing.
loaded_catalog load_directory(const std::filesystem::path& directory);

}  // namespace fuchsiaspring::catalog
