// Reads YAML files into a protobuf message and collects all faults with their locations.
//
//   schema::Catalog catalog;
//   settings::yaml_reader reader(catalog, check_value);
//   reader.read_file("teams.yaml");
//   reader.read_file("pools.yaml");      // lists of several files are joined
//   for (const settings::finding& found : reader.findings()) {
//     std::cerr << settings::to_string(found) << '\n';
//   }
//
// Keys are field names. Enum values are written without the prefix of their type, in lower case
// (`engine` for POOL_KIND_ENGINE). Not thread-safe.
#pragma once

#include <google/protobuf/message.h>

#include <compare>
#include <cstdint>
#include <filesystem>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace fuchsiaspring::settings {

// Location of a key. `line` counts from 1; 0 means the file as a whole.
struct location {
  std::string file;
  int line = 0;

  friend auto operator<=>(const location&, const location&) = default;
};

enum class severity { error, warning };

// One fault. `key` is the path of the value, such as `teams[2].classes[0]` or `log.level`.
struct finding {
  settings::severity severity = settings::severity::error;
  settings::location location;
  std::string key;
  std::string message;

  friend auto operator<=>(const finding&, const finding&) = default;
};

// "FILE:LINE: KEY: MESSAGE"; warnings have "warning: " before the key. Unknown parts are left out.
std::string to_string(const finding& found);

// A scalar value: integers as int64, enum and text values as string.
using scalar_value = std::variant<std::int64_t, double, bool, std::string>;

// Describes the fault of a value given for `field`; returns nothing if the value is accepted.
using value_check = std::function<std::optional<std::string>(
    const google::protobuf::FieldDescriptor&, const scalar_value&)>;

class yaml_reader {
 public:
  // `target` must outlive the reader. `check` is called for each value that has the right type.
  yaml_reader(google::protobuf::Message& target, value_check check);

  // Adds the content of a file or of `text` to the target. Faults are added to findings(), with
  // `name` as the file of a text.
  void read_file(const std::filesystem::path& path);
  void read_text(const std::string& text, const std::string& name);

  const std::vector<finding>& findings() const { return m_findings; }

  // Whether a file contains exactly this key.
  bool has(const std::string& key) const { return m_locations.contains(key); }

  // Location of `key`, or of the innermost enclosing key that a file contains.
  location locate(std::string_view key) const;

 private:
  struct implementation;

  google::protobuf::Message& m_target;
  value_check m_check;
  std::vector<finding> m_findings;
  std::map<std::string, location, std::less<>> m_locations;
};

// YAML spelling of an enum value, such as `engine` for POOL_KIND_ENGINE.
std::string enum_yaml_name(const google::protobuf::EnumValueDescriptor& value);

}  // namespace fuchsiaspring::settings
