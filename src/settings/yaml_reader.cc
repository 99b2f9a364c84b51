#include "fuchsiaspring/settings/yaml_reader.h"

#include <google/protobuf/descriptor.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <iterator>
#include <limits>
#include <numeric>
#include <sstream>

#include "settings.pb.h"
#include "settings/yaml_documents.h"

namespace fuchsiaspring::settings {
namespace {

using google::protobuf::EnumDescriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr int unspecified_enum_number = 0;

template <typename Number>
std::optional<Number> parse_number(const std::string& text) {
  Number value{};
  const char* end = text.data() + text.size();
  const auto [parsed, failure] = std::from_chars(text.data(), end, value);
  if (failure != std::errc{} || parsed != end) {
    return std::nullopt;
  }
  return value;
}

// The number without its fraction, so that a limit is never wider than stated. Nothing beyond the
// range in which a double holds whole numbers exactly.
std::optional<std::int64_t> parse_without_fraction(const std::string& text) {
  constexpr double end_of_exact_numbers = 9007199254740992.0;  // 2^53
  const auto value = parse_number<double>(text);
  if (!value || !(std::abs(*value) < end_of_exact_numbers)) {
    return std::nullopt;
  }
  return static_cast<std::int64_t>(std::floor(*value));
}

// yaml-cpp gives a quoted scalar the tag "!".
bool is_unquoted(const YAML::Node& node) {
  return node.Tag() == "?" || node.Tag().empty();
}

std::string enum_words(const EnumDescriptor& type) {
  std::string words;
  for (int i = 0; i < type.value_count(); ++i) {
    if (type.value(i)->number() == unspecified_enum_number) {
      continue;
    }
    words += (words.empty() ? "" : ", ") + enum_yaml_name(*type.value(i));
  }
  return words;
}

std::string type_name(const FieldDescriptor& field) {
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      return "true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
    case FieldDescriptor::CPPTYPE_FLOAT:
      return "a number";
    case FieldDescriptor::CPPTYPE_STRING:
      return "text";
    case FieldDescriptor::CPPTYPE_ENUM:
      return "one of " + enum_words(*field.enum_type());
    case FieldDescriptor::CPPTYPE_MESSAGE:
      return "a mapping";
    default:
      return "a whole number";
  }
}

// Converts `node` to the type of `field`; nothing if its text does not have that type.
std::optional<scalar_value> parse_scalar(const FieldDescriptor& field, const YAML::Node& node) {
  if (!node.IsScalar()) {
    return std::nullopt;
  }
  const std::string& text = node.Scalar();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
    return scalar_value(text);
  }
  if (!is_unquoted(node)) {
    return std::nullopt;
  }
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      if (text != "true" && text != "false") {
        return std::nullopt;
      }
      return scalar_value(text == "true");
    case FieldDescriptor::CPPTYPE_DOUBLE: {
      const auto value = parse_number<double>(text);
      return value && std::isfinite(*value) ? std::optional<scalar_value>(*value) : std::nullopt;
    }
    case FieldDescriptor::CPPTYPE_ENUM: {
      const EnumDescriptor& type = *field.enum_type();
      for (int i = 0; i < type.value_count(); ++i) {
        if (type.value(i)->number() != unspecified_enum_number &&
            enum_yaml_name(*type.value(i)) == text) {
          return scalar_value(text);
        }
      }
      return std::nullopt;
    }
    default: {
      auto value = parse_number<std::int64_t>(text);
      if (!value && field.options().GetExtension(schema::range).drops_fraction()) {
        value = parse_without_fraction(text);
      }
      return value ? std::optional<scalar_value>(*value) : std::nullopt;
    }
  }
}

const google::protobuf::EnumValueDescriptor* find_enum_value(const EnumDescriptor& type,
                                                             const std::string& word) {
  for (int i = 0; i < type.value_count(); ++i) {
    if (enum_yaml_name(*type.value(i)) == word) {
      return type.value(i);
    }
  }
  return nullptr;
}

// Whether an integer is in the range of the field's type.
bool fits_in_field(const FieldDescriptor& field, std::int64_t value) {
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT64) {
    return value >= 0;
  }
  return value >= 0 && value <= std::int64_t{std::numeric_limits<std::uint32_t>::max()};
}

// Sets the field, or appends to a repeated one. The schema has no signed integer fields.
void set_or_add(Message& message, const FieldDescriptor& field, const scalar_value& value) {
  const Reflection& reflection = *message.GetReflection();
  const bool repeated = field.is_repeated();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_BOOL:
      reflection.SetBool(&message, &field, std::get<bool>(value));
      break;
    case FieldDescriptor::CPPTYPE_DOUBLE:
      reflection.SetDouble(&message, &field, std::get<double>(value));
      break;
    case FieldDescriptor::CPPTYPE_UINT32:
      reflection.SetUInt32(&message, &field,
                           static_cast<std::uint32_t>(std::get<std::int64_t>(value)));
      break;
    case FieldDescriptor::CPPTYPE_UINT64:
      reflection.SetUInt64(&message, &field,
                           static_cast<std::uint64_t>(std::get<std::int64_t>(value)));
      break;
    case FieldDescriptor::CPPTYPE_ENUM:
      reflection.SetEnum(&message, &field,
                         find_enum_value(*field.enum_type(), std::get<std::string>(value)));
      break;
    case FieldDescriptor::CPPTYPE_STRING:
      if (repeated) {
        reflection.AddString(&message, &field, std::get<std::string>(value));
      } else {
        reflection.SetString(&message, &field, std::get<std::string>(value));
      }
      break;
    default:
      break;
  }
}

std::string describe_node(const YAML::Node& node) {
  switch (node.Type()) {
    case YAML::NodeType::Scalar:
      return (is_unquoted(node) ? "" : "text ") + ("\"" + node.Scalar() + "\"");
    case YAML::NodeType::Sequence:
      return "a list";
    case YAML::NodeType::Map:
      return "a mapping";
    default:
      return "no value";
  }
}

// Number of letters to insert, delete or replace to get from one word to the other.
std::size_t edit_distance(std::string_view left, std::string_view right) {
  std::vector<std::size_t> row(right.size() + 1);
  std::iota(row.begin(), row.end(), std::size_t{0});
  for (std::size_t i = 0; i < left.size(); ++i) {
    std::size_t diagonal = row[0];
    row[0] = i + 1;
    for (std::size_t j = 0; j < right.size(); ++j) {
      const std::size_t replaced = diagonal + (left[i] == right[j] ? 0 : 1);
      diagonal = row[j + 1];
      row[j + 1] = std::min({replaced, row[j] + 1, row[j + 1] + 1});
    }
  }
  return row.back();
}

// Message for an unknown key, with the most similar known key as a suggestion.
std::string unknown_key_message(const google::protobuf::Descriptor& type, const std::string& name) {
  constexpr std::size_t max_distance = 3;
  std::size_t smallest = std::min(max_distance, name.size() / 2) + 1;
  std::string closest;
  for (int i = 0; i < type.field_count(); ++i) {
    const std::string& known = type.field(i)->name();
    // Skips the quadratic comparison when the lengths alone differ by more than the limit.
    if (name.size() > known.size() + max_distance) {
      continue;
    }
    if (const std::size_t distance = edit_distance(name, known); distance < smallest) {
      smallest = distance;
      closest = known;
    }
  }
  return closest.empty() ? "unknown key" : "unknown key, did you mean \"" + closest + "\"?";
}

// Control characters, such as line breaks, would corrupt log lines and headers.
bool has_control_characters(const std::string& text) {
  return std::any_of(text.begin(), text.end(),
                     [](unsigned char letter) { return std::iscntrl(letter) != 0; });
}

}  // namespace

// Reads one file recursively and adds to the reader's findings and locations.
struct yaml_reader::implementation {
  yaml_reader& reader;
  const std::string& file;

  location location_of(const YAML::Mark& mark) const { return {file, std::max(mark.line, 0) + 1}; }

  void add_error(const YAML::Mark& mark, const std::string& key, std::string message) const {
    reader.m_findings.push_back({severity::error, location_of(mark), key, std::move(message)});
  }

  void read_scalar(Message& message, const FieldDescriptor& field, const YAML::Node& node,
                   const std::string& key) const {
    const auto value = parse_scalar(field, node);
    if (!value) {
      add_error(node.Mark(), key,
                "expected " + type_name(field) + ", found " + describe_node(node));
      return;
    }
    const auto* text = std::get_if<std::string>(&*value);
    if (text != nullptr && has_control_characters(*text)) {
      add_error(node.Mark(), key, "the text contains control characters");
      return;
    }
    if (reader.m_check) {
      if (auto fault_text = reader.m_check(field, *value)) {
        add_error(node.Mark(), key, std::move(*fault_text));
        return;
      }
    }
    const auto* number = std::get_if<std::int64_t>(&*value);
    if (number != nullptr && !fits_in_field(field, *number)) {
      add_error(node.Mark(), key, "the number " + node.Scalar() + " is out of range");
      return;
    }
    set_or_add(message, field, *value);
  }

  void read_list(Message& message, const FieldDescriptor& field, const YAML::Node& list,
                 const std::string& key) const {
    if (!list.IsSequence()) {
      add_error(list.Mark(), key, "expected a list, found " + describe_node(list));
      return;
    }
    const Reflection& reflection = *message.GetReflection();
    for (const YAML::Node& item : list) {
      const int index = reflection.FieldSize(message, &field);
      const std::string item_key = key + "[" + std::to_string(index) + "]";
      reader.m_locations[item_key] = location_of(item.Mark());
      if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        read_mapping(*reflection.AddMessage(&message, &field), item, item_key);
      } else {
        read_scalar(message, field, item, item_key);
      }
    }
  }

  void read_field(Message& message, const FieldDescriptor& field, const YAML::Node& node,
                  const std::string& key) const {
    if (field.is_repeated()) {
      read_list(message, field, node, key);
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      read_mapping(*message.GetReflection()->MutableMessage(&message, &field), node, key);
    } else {
      read_scalar(message, field, node, key);
    }
  }

  void read_mapping(Message& message, const YAML::Node& mapping, const std::string& key) const {
    if (!mapping.IsMap()) {
      add_error(mapping.Mark(), key, "expected a mapping, found " + describe_node(mapping));
      return;
    }
    std::map<std::string, location> seen;
    for (const auto& entry : mapping) {
      const std::string name = entry.first.IsScalar() ? entry.first.Scalar() : "?";
      std::string path = key.empty() ? "" : key + ".";
      path += name;
      const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(name);
      if (field == nullptr) {
        add_error(entry.first.Mark(), path, unknown_key_message(*message.GetDescriptor(), name));
        continue;
      }
      const location key_location = location_of(entry.first.Mark());
      if (const auto [earlier, first] = seen.emplace(name, key_location); !first) {
        add_error(entry.first.Mark(), path,
                  "given a second time, first on line " + std::to_string(earlier->second.line));
        continue;
      }
      const auto [known, is_new] = reader.m_locations.emplace(path, key_location);
      if (!is_new && !field->is_repeated()) {
        add_error(entry.first.Mark(), path,
                  "given a second time, first in " + known->second.file + ":" +
                      std::to_string(known->second.line));
        continue;
      }
      read_field(message, *field, entry.second, path);
    }
  }
};

yaml_reader::yaml_reader(Message& target, value_check check)
    : m_target(target), m_check(std::move(check)) {}

void yaml_reader::read_file(const std::filesystem::path& path) {
  std::ifstream stream(path, std::ios::binary);
  std::error_code ignored;
  if (!stream || std::filesystem::is_directory(path, ignored)) {
    m_findings.push_back({severity::error, {path.string(), 0}, "", "the file cannot be read"});
    return;
  }
  read_text({std::istreambuf_iterator<char>(stream), {}}, path.string());
}

void yaml_reader::read_text(const std::string& text, const std::string& name) {
  const implementation file_reader{*this, name};
  try {
    if (const auto second = internal::second_document(text)) {
      file_reader.add_error(
          *second, "",
          "a second YAML document or a misplaced character begins here, accepted: one "
          "document per file");
    }
    if (const YAML::Node document = YAML::Load(text); !document.IsNull()) {
      file_reader.read_mapping(m_target, document, "");
    }
  } catch (const YAML::Exception& failure) {
    file_reader.add_error(failure.mark, "", "not valid YAML: " + failure.msg);
  }
}

location yaml_reader::locate(std::string_view key) const {
  while (!key.empty()) {
    if (const auto found = m_locations.find(key); found != m_locations.end()) {
      return found->second;
    }
    const std::size_t separator = key.find_last_of(".[");
    key = separator == std::string_view::npos ? std::string_view{} : key.substr(0, separator);
  }
  return {};
}

std::string enum_yaml_name(const google::protobuf::EnumValueDescriptor& value) {
  // For POOL_KIND_ENGINE of PoolKind: the prefix is the type name, one underscore before each inner
  // capital letter and one at the end.
  std::size_t prefix = 1;
  const std::string& type = value.type()->name();
  for (std::size_t i = 0; i < type.size(); ++i) {
    prefix += 1 + (i > 0 && std::isupper(static_cast<unsigned char>(type[i])) != 0 ? 1U : 0U);
  }
  std::string word = value.name().substr(std::min(prefix, value.name().size()));
  std::transform(word.begin(), word.end(), word.begin(),
                 [](unsigned char letter) { return static_cast<char>(std::tolower(letter)); });
  return word;
}

std::string to_string(const finding& found) {
  std::ostringstream text;
  if (!found.location.file.empty()) {
    text << found.location.file << ':';
    if (found.location.line > 0) {
      text << found.location.line << ':';
    }
    text << ' ';
  }
  if (found.severity == severity::warning) {
    text << "warning: ";
  }
  if (!found.key.empty()) {
    text << found.key << ": ";
  }
  text << found.message;
  return text.str();
}

}  // namespace fuchsiaspring::settings
