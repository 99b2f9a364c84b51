#include "fuchsiaspring/catalog/out_of_service.h"

#include <unistd.h>
#include <yaml-cpp/yaml.h>

#include <algorithm>
#include <fstream>
#include <iterator>

#include "catalog.pb.h"
#include "fuchsiaspring/catalog/load.h"
#include "fuchsiaspring/settings/yaml_reader.h"

namespace fuchsiaspring::catalog {
namespace {

namespace fs = std::filesystem;

constexpr std::string_view flag_key = "out_of_service";
constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

std::string_view flag_text(bool out_of_service) {
  return out_of_service ? "true" : "false";
}

YAML::Node find_in_list(const YAML::Node& list, std::string_view name) {
  if (!list.IsDefined() || !list.IsSequence()) {
    return YAML::Node(YAML::NodeType::Undefined);
  }
  for (const YAML::Node& item : list) {
    const YAML::Node item_name =
        item.IsMap() ? item["name"] : YAML::Node(YAML::NodeType::Undefined);
    if (item_name.IsDefined() && item_name.IsScalar() && item_name.Scalar() == name) {
      return item;
    }
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

YAML::Node find_object(const YAML::Node& root, service_object_kind kind, std::string_view name) {
  const YAML::Node none(YAML::NodeType::Undefined);
  if (!root.IsMap()) {
    return none;
  }
  if (kind != service_object_kind::upstream) {
    return find_in_list(root[kind == service_object_kind::vm ? "vms" : "failure_domains"], name);
  }
  const YAML::Node pools = root["pools"];
  if (!pools.IsDefined() || !pools.IsSequence()) {
    return none;
  }
  for (const YAML::Node& pool : pools) {
    const YAML::Node found = pool.IsMap() ? find_in_list(pool["upstreams"], name) : none;
    if (found.IsDefined()) {
      return found;
    }
  }
  return none;
}

// Offset of a line and column as yaml-cpp counts them: in bytes, without the byte order mark.
std::size_t offset_of(const std::string& text, const YAML::Mark& mark) {
  std::size_t offset = text.starts_with(byte_order_mark) ? byte_order_mark.size() : 0;
  for (int line = 0; line < mark.line; ++line) {
    const std::size_t end = text.find('\n', offset);
    if (end == std::string::npos) {
      return text.size();
    }
    offset = end + 1;
  }
  return std::min(offset + static_cast<std::size_t>(std::max(mark.column, 0)), text.size());
}

// Offset of the first byte after a single-line scalar.
std::size_t end_of_scalar(const std::string& text, const YAML::Node& scalar) {
  const std::size_t start = offset_of(text, scalar.Mark());
  if (start < text.size() && (text[start] == '"' || text[start] == '\'')) {
    const std::size_t quote = text.find(text[start], start + 1);
    return quote == std::string::npos ? text.size() : quote + 1;
  }
  return std::min(start + scalar.Scalar().size(), text.size());
}

std::string insert_flag(const std::string& text, const YAML::Node& object, bool value) {
  std::string entry(flag_key);
  entry.append(": ").append(flag_text(value));
  std::string edited = text;
  if (object.Style() == YAML::EmitterStyle::Flow) {
    edited.insert(end_of_scalar(text, object["name"]), ", " + entry);
    return edited;
  }
  int column = 0;
  for (const auto& pair : object) {
    if (pair.first.IsScalar() && pair.first.Scalar() == "name") {
      column = pair.first.Mark().column;
    }
  }
  std::size_t line_end = text.find('\n', end_of_scalar(text, object["name"]));
  line_end = line_end == std::string::npos ? text.size() : line_end;
  const bool carriage_return = line_end > 0 && text[line_end - 1] == '\r';
  std::string line = carriage_return ? "\r\n" : "\n";
  line.append(static_cast<std::size_t>(std::max(column, 0)), ' ').append(entry);
  edited.insert(carriage_return ? line_end - 1 : line_end, line);
  return edited;
}

std::string replace_flag_value(const std::string& text, const YAML::Node& flag, bool value) {
  std::string edited = text;
  const std::size_t start = offset_of(text, flag.Mark());
  edited.replace(start, end_of_scalar(text, flag) - start, flag_text(value));
  return edited;
}

schema::Catalog read_objects(const std::string& text) {
  schema::Catalog objects;
  settings::yaml_reader reader(objects, {});
  reader.read_text(text, "");
  return objects;
}

template <typename List>
void set_flag_in_list(List& list, std::string_view name, bool value) {
  for (auto& item : list) {
    if (item.name() == name) {
      item.set_out_of_service(value);
      return;
    }
  }
}

// Whether the edit changed only the flag of this object.
bool is_exact_edit(const std::string& before, const std::string& after, service_object_kind kind,
                   std::string_view name, bool value) {
  schema::Catalog expected = read_objects(before);
  switch (kind) {
    case service_object_kind::domain:
      set_flag_in_list(*expected.mutable_failure_domains(), name, value);
      break;
    case service_object_kind::vm:
      set_flag_in_list(*expected.mutable_vms(), name, value);
      break;
    case service_object_kind::upstream:
      for (schema::Pool& pool : *expected.mutable_pools()) {
        set_flag_in_list(*pool.mutable_upstreams(), name, value);
      }
      break;
  }
  return read_objects(after).SerializeAsString() == expected.SerializeAsString();
}

base::error unavailable(const fs::path& path, const char* reason) {
  return {base::error_code::unavailable, path.string() + ": " + reason};
}

}  // namespace

std::optional<service_object_kind> parse_service_object_kind(std::string_view word) {
  if (word == "domain") {
    return service_object_kind::domain;
  }
  if (word == "vm") {
    return service_object_kind::vm;
  }
  return word == "upstream" ? std::optional(service_object_kind::upstream) : std::nullopt;
}

base::result<std::optional<std::string>> edit_out_of_service_flag(const std::string& text,
                                                                  service_object_kind kind,
                                                                  std::string_view name,
                                                                  bool out_of_service) {
  try {
    const YAML::Node object = find_object(YAML::Load(text), kind, name);
    if (!object.IsDefined()) {
      return std::optional<std::string>();
    }
    const YAML::Node flag = object[std::string(flag_key)];
    const bool has_value = flag.IsDefined() && flag.IsScalar();
    const bool unchanged = has_value ? flag.Scalar() == flag_text(out_of_service)
                                     : !flag.IsDefined() && !out_of_service;
    if (unchanged) {
      return std::optional(text);
    }
    std::string edited = has_value ? replace_flag_value(text, flag, out_of_service)
                                   : insert_flag(text, object, out_of_service);
    if ((flag.IsDefined() && !has_value) ||
        !is_exact_edit(text, edited, kind, name, out_of_service)) {
      return base::error{base::error_code::failed_precondition,
                         "the layout of \"" + std::string(name) +
                             "\" does not permit a safe edit, set out_of_service by hand"};
    }
    return std::optional(std::move(edited));
  } catch (const YAML::Exception& failure) {
    return base::error{base::error_code::invalid_argument,
                       "line " + std::to_string(failure.mark.line + 1) + ": " + failure.msg};
  }
}

base::result<std::optional<fs::path>> set_out_of_service(const fs::path& directory,
                                                         service_object_kind kind,
                                                         std::string_view name,
                                                         bool out_of_service) {
  for (const fs::path& path : object_files(directory)) {
    std::ifstream stream(path, std::ios::binary);
    if (!stream) {
      return unavailable(path, "the file cannot be read");
    }
    const std::string text{std::istreambuf_iterator<char>(stream), {}};
    auto edited = edit_out_of_service_flag(text, kind, name, out_of_service);
    if (!edited) {
      return base::error{edited.error().code, path.string() + ": " + edited.error().message};
    }
    if (!edited.value()) {
      continue;
    }
    if (*edited.value() == text) {
      return std::optional<fs::path>();
    }
    if (auto written = replace_file(path, *edited.value()); !written) {
      return written.error();
    }
    return std::optional(path);
  }
  return base::error{
      base::error_code::not_found,
      directory.string() + ": no object of this kind is named \"" + std::string(name) + "\""};
}

base::result<void> replace_file(const fs::path& link, std::string_view content) {
  // Resolves symbolic links first and accepts only regular files, because a rename onto a link or a
  // device, such as /dev/stdout, would replace it.
  std::error_code failure;
  const fs::path path = fs::weakly_canonical(link, failure);
  if (failure || (fs::exists(path, failure) && !fs::is_regular_file(path, failure))) {
    return unavailable(link, "not a regular file");
  }
  const fs::path temporary =
      path.parent_path() / ("." + path.filename().string() + "." + std::to_string(getpid()));
  {
    std::ofstream stream(temporary, std::ios::binary | std::ios::trunc);
    stream.write(content.data(), static_cast<std::streamsize>(content.size()));
    stream.close();
    if (!stream) {
      fs::remove(temporary, failure);
      return unavailable(path, "the file cannot be written");
    }
  }
  if (const fs::file_status status = fs::status(path, failure); fs::exists(status)) {
    fs::permissions(temporary, status.permissions(), failure);
  }
  fs::rename(temporary, path, failure);
  if (failure) {
    std::error_code ignored;
    fs::remove(temporary, ignored);
    return unavailable(path, "the file cannot be replaced");
  }
  return base::success();
}

}  // namespace fuchsiaspring::catalog
