#include "fuchsiaspring/catalog/load.h"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <charconv>
#include <set>

#include "catalog/field_rules.h"
#include "catalog/verifier.h"

namespace fuchsiaspring::catalog {
namespace {

namespace fs = std::filesystem;
using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using settings::finding;
using settings::severity;

bool is_object_file(const fs::path& path) {
  const fs::path extension = path.extension();
  return extension == ".yaml" || extension == ".yml";
}

bool is_hidden(const fs::path& path) {
  return path.filename().string().starts_with(".");
}

std::vector<fs::path> list_directory(const fs::path& directory) {
  std::error_code failure;
  std::vector<fs::path> paths;
  for (fs::directory_iterator entry(directory, failure), end; !failure && entry != end;
       entry.increment(failure)) {
    if (!is_hidden(entry->path())) {
      paths.push_back(entry->path());
    }
  }
  std::sort(paths.begin(), paths.end());
  return paths;
}

// Objects in a subdirectory or in a file with a misspelled extension would be left out silently.
void warn_about_skipped_entries(const fs::path& directory, std::vector<finding>& findings) {
  for (const fs::path& path : list_directory(directory)) {
    if (fs::is_directory(path)) {
      findings.push_back({severity::warning, {path.string(), 0}, "", "subdirectory is not read"});
    } else if (!is_object_file(path) && path.extension() != ".md") {
      findings.push_back({severity::warning,
                          {path.string(), 0},
                          "",
                          "file is not read, its name does not end in .yaml or .yml"});
    }
  }
}

std::string get_name(const Message& message) {
  const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName("name");
  return field == nullptr ? "" : message.GetReflection()->GetString(message, field);
}

// The index in a list joined from several files does not help to find the object in its file.
std::string replace_indices_by_names(const Message& message, std::string_view key) {
  const std::size_t open = key.find('[');
  const std::size_t close = key.find(']');
  if (open == std::string_view::npos || close == std::string_view::npos) {
    return std::string(key);
  }
  int index = 0;
  std::from_chars(key.data() + open + 1, key.data() + close, index);
  const FieldDescriptor* field =
      message.GetDescriptor()->FindFieldByName(std::string(key.substr(0, open)));
  if (field == nullptr || field->cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE ||
      index >= message.GetReflection()->FieldSize(message, field)) {
    return std::string(key);
  }
  const Message& item = message.GetReflection()->GetRepeatedMessage(message, field, index);
  const std::string name = get_name(item);
  std::string text(key.substr(0, open + 1));
  text.append(name.empty() ? std::to_string(index) : name).append("]");
  const std::string_view rest = key.substr(close + 1);
  if (rest.starts_with(".")) {
    text.append(".").append(replace_indices_by_names(item, rest.substr(1)));
  }
  return text;
}

bool has_unreadable_file(const std::vector<finding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const finding& found) {
    return found.severity == severity::error && found.key.empty();
  });
}

// Adds the verifier's findings, except for keys that already have one.
void add_verifier_findings(const schema::Catalog& objects, const settings::yaml_reader& reader,
                           const fs::path& directory, std::vector<finding>& findings) {
  std::set<std::string> keys_with_findings;
  for (const finding& found : findings) {
    keys_with_findings.insert(found.key);
  }
  const auto describe_location = [&reader](const std::string& key) {
    const settings::location place = reader.locate(key);
    return place.file + ":" + std::to_string(place.line);
  };
  for (finding found : internal::verifier(objects, describe_location).run()) {
    if (!found.key.empty() && keys_with_findings.contains(found.key)) {
      continue;
    }
    found.location = reader.locate(found.key);
    if (found.location.file.empty()) {
      found.location.file = directory.string();
    }
    findings.push_back(std::move(found));
  }
}

}  // namespace

std::vector<fs::path> object_files(const fs::path& directory) {
  std::vector<fs::path> paths = list_directory(directory);
  std::erase_if(paths, [](const fs::path& path) {
    return !is_object_file(path) || !fs::is_regular_file(path);
  });
  return paths;
}

loaded_catalog load_directory(const fs::path& directory) {
  loaded_catalog loaded;
  loaded.files = object_files(directory);
  if (loaded.files.empty()) {
    loaded.findings.push_back({severity::error,
                               {directory.string(), 0},
                               "",
                               "no such directory, or no *.yaml or *.yml file in it"});
    return loaded;
  }
  settings::yaml_reader reader(loaded.objects, internal::check_value);
  for (const fs::path& file : loaded.files) {
    reader.read_file(file);
  }
  loaded.findings = reader.findings();
  apply_defaults(loaded.objects);
  if (has_unreadable_file(loaded.findings)) {
    loaded.findings.push_back({severity::warning,
                               {directory.string(), 0},
                               "",
                               "references are not checked until every file can be read"});
  } else {
    add_verifier_findings(loaded.objects, reader, directory, loaded.findings);
  }
  warn_about_skipped_entries(directory, loaded.findings);
  for (finding& found : loaded.findings) {
    found.key = replace_indices_by_names(loaded.objects, found.key);
  }
  std::stable_sort(
      loaded.findings.begin(), loaded.findings.end(),
      [](const finding& left, const finding& right) { return left.location < right.location; });
  return loaded;
}

}  // namespace fuchsiaspring::catalog
