#include "settings/field_rules.h"

#include <algorithm>
#include <string_view>
#include <vector>

#include "fuchsiaspring/settings/address.h"
#include "settings.pb.h"

namespace fuchsiaspring::settings::internal {
namespace {

using google::protobuf::FieldDescriptor;

enum class text_format { any, address, url, choice };

// The schema has no option for the format of text, so it is derived from the name of the key.
text_format format_of(const FieldDescriptor& field) {
  if (field.name().ends_with("_address") || field.name() == "local_mailboxes" ||
      field.name() == "seeds") {
    return text_format::address;
  }
  if (field.name().ends_with("_url")) {
    return text_format::url;
  }
  const bool is_choice =
      field.containing_type()->name() == "LogSettings" || field.name() == "placement";
  return is_choice ? text_format::choice : text_format::any;
}

std::vector<std::string_view> choices_of(const FieldDescriptor& field) {
  if (field.name() == "level") {
    return {"trace", "debug", "info", "warn", "error"};
  }
  if (field.name() == "placement") {
    return {"prefix", "round_robin"};
  }
  return {"text", "json"};
}

bool is_url(std::string_view text) {
  for (const std::string_view scheme : {"http://", "https://"}) {
    if (text.starts_with(scheme)) {
      return text.size() > scheme.size() && text[scheme.size()] != '/' &&
             text.find_first_of(" \t\"") == std::string_view::npos;
    }
  }
  return false;
}

}  // namespace

std::string accepted_values(const FieldDescriptor& field) {
  const schema::Range& range = field.options().GetExtension(schema::range);
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    return std::to_string(range.min()) + " to " + std::to_string(range.max()) +
           (range.unit().empty() ? "" : " " + range.unit());
  }
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_DOUBLE) {
    return "number from " + std::to_string(range.min()) + " to " + std::to_string(range.max());
  }
  switch (format_of(field)) {
    case text_format::address:
      return field.is_repeated() ? "list of ip:port" : "ip:port";
    case text_format::url:
      return "http:// or https:// URL";
    case text_format::choice: {
      std::string list;
      for (const std::string_view value : choices_of(field)) {
        list += (list.empty() ? "" : ", ") + std::string(value);
      }
      return list;
    }
    case text_format::any:
      break;
  }
  return "text";
}

bool is_accepted_text(const FieldDescriptor& field, const std::string& text) {
  const bool optional = !field.options().GetExtension(schema::range).required();
  switch (format_of(field)) {
    case text_format::address:
      return (text.empty() && optional && !field.is_repeated()) || is_ip_port(text);
    case text_format::url:
      return (text.empty() && optional) || is_url(text);
    case text_format::choice: {
      const auto choices = choices_of(field);
      return std::find(choices.begin(), choices.end(), text) != choices.end();
    }
    case text_format::any:
      break;
  }
  return true;
}

}  // namespace fuchsiaspring::settings::internal
