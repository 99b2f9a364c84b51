#include "fuchsiaspring/settings/settings.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>

#include "fuchsiaspring/settings/address.h"
#include "fuchsiaspring/settings/yaml_reader.h"
#include "settings.pb.h"
#include "settings/field_rules.h"

namespace fuchsiaspring::settings {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

std::optional<std::string> check_value(const FieldDescriptor& field, const scalar_value& value) {
  const schema::Range& range = field.options().GetExtension(schema::range);
  if (const auto* number = std::get_if<std::int64_t>(&value)) {
    if (*number < range.min() || *number > range.max()) {
      return std::to_string(*number) +
             " is out of range, accepted: " + internal::accepted_values(field);
    }
    return std::nullopt;
  }
  if (const auto* number = std::get_if<double>(&value)) {
    if (*number < static_cast<double>(range.min()) || *number > static_cast<double>(range.max())) {
      return std::to_string(*number) +
             " is out of range, accepted: " + internal::accepted_values(field);
    }
    return std::nullopt;
  }
  const auto* text = std::get_if<std::string>(&value);
  if (text == nullptr) {
    return std::nullopt;
  }
  if (range.required() && text->empty()) {
    return "must not be empty, accepted: " + internal::accepted_values(field);
  }
  if (!internal::is_accepted_text(field, *text)) {
    return "\"" + *text + "\" is not accepted, accepted: " + internal::accepted_values(field);
  }
  return std::nullopt;
}

// Fills in the defaults of absent keys and reports absent required keys.
void apply_defaults_and_check_required(Message& message, const std::string& prefix,
                                       const yaml_reader& reader, const std::string& file,
                                       std::vector<finding>& findings) {
  const Reflection& reflection = *message.GetReflection();
  for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *message.GetDescriptor()->field(i);
    const std::string key = prefix + field.name();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      apply_defaults_and_check_required(*reflection.MutableMessage(&message, &field), key + ".",
                                        reader, file, findings);
      continue;
    }
    if (reader.has(key) || field.is_repeated()) {
      continue;
    }
    const schema::Range& range = field.options().GetExtension(schema::range);
    if (range.required()) {
      findings.push_back(
          {severity::error,
           {file, 0},
           key,
           "required key is missing, accepted: " + internal::accepted_values(field)});
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
      reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(range.default_value()));
    } else if (field.cpp_type() == FieldDescriptor::CPPTYPE_STRING) {
      reflection.SetString(&message, &field, range.default_text());
    }
  }
}

std::uint32_t get_uint32(const Message& message, const char* name) {
  return message.GetReflection()->GetUInt32(message,
                                            message.GetDescriptor()->FindFieldByName(name));
}

// Checks that the type and range of a single key do not cover.
void check_combinations(const Message& message, const yaml_reader& reader,
                        std::vector<finding>& findings) {
  const auto add_error = [&](const char* key, std::string text) {
    findings.push_back({severity::error, reader.locate(key), key, std::move(text)});
  };
  if (const auto* gateway = dynamic_cast<const schema::GatewaySettings*>(&message)) {
    if (gateway->tls_certificate_file().empty() != gateway->tls_key_file().empty()) {
      add_error(gateway->tls_key_file().empty() ? "tls_certificate_file" : "tls_key_file",
                "tls_certificate_file and tls_key_file are given together or not at all");
    }
  }
  if (const auto* node = dynamic_cast<const schema::NodeSettings*>(&message)) {
    for (const std::string& entry : node->domain_regions()) {
      if (entry.find('=') == std::string::npos) {
        add_error("domain_regions", "\"" + entry + "\" is not accepted, accepted: DOMAIN=REGION");
      }
    }
  }
  if (dynamic_cast<const schema::AgentSettings*>(&message) != nullptr) {
    const std::uint32_t interval = get_uint32(message, "heartbeat_interval_ms");
    const std::uint32_t timeout = get_uint32(message, "suspicion_timeout_ms");
    // A single lost heartbeat must not make a peer suspected.
    if (timeout < 2 * std::uint64_t{interval}) {
      add_error("suspicion_timeout_ms", std::to_string(timeout) +
                                            " ms is below twice heartbeat_interval_ms (" +
                                            std::to_string(interval) + " ms)");
    }
  }
}

// Two listeners on one address would otherwise fail only when the program starts.
void check_distinct_addresses(const Message& message, const yaml_reader& reader,
                              std::vector<finding>& findings) {
  std::map<std::string, std::string> seen;
  for (const char* key : {"listen_address", "operator_address", "metrics_address",
                          "mailbox_address", "peer_address"}) {
    const FieldDescriptor* field = message.GetDescriptor()->FindFieldByName(key);
    if (field == nullptr) {
      continue;
    }
    const std::string address = message.GetReflection()->GetString(message, field);
    if (address.empty()) {
      continue;
    }
    if (const auto [first, is_new] = seen.emplace(address, key); !is_new) {
      findings.push_back({severity::error, reader.locate(key), key,
                          address + " is already the value of " + first->second});
    }
  }
}

void collect_restart_changes(const Message& running, const Message& updated,
                             const std::string& prefix, std::vector<std::string>& keys) {
  const Reflection& reflection = *running.GetReflection();
  for (int i = 0; i < running.GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *running.GetDescriptor()->field(i);
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      collect_restart_changes(reflection.GetMessage(running, &field),
                              reflection.GetMessage(updated, &field), prefix + field.name() + ".",
                              keys);
      continue;
    }
    if (field.options().GetExtension(schema::range).reloadable()) {
      continue;
    }
    google::protobuf::util::MessageDifferencer differencer;
    if (!differencer.CompareWithFields(running, updated, {&field}, {&field})) {
      keys.push_back(prefix + field.name());
    }
  }
}

}  // namespace

base::result<void> internal::load_into(const std::filesystem::path& path, Message& target) {
  std::error_code ignored;
  if (!std::filesystem::exists(path, ignored)) {
    return base::error{base::error_code::not_found, path.string() + ": no such file"};
  }
  yaml_reader reader(target, check_value);
  reader.read_file(path);
  std::vector<finding> findings = reader.findings();
  // A fault without a key means that the file could not be read; the checks below would then report
  // every required key as missing.
  const bool is_readable = std::none_of(findings.begin(), findings.end(),
                                        [](const finding& found) { return found.key.empty(); });
  if (is_readable) {
    apply_defaults_and_check_required(target, "", reader, path.string(), findings);
    check_combinations(target, reader, findings);
    check_distinct_addresses(target, reader, findings);
  }
  if (findings.empty()) {
    return base::success();
  }
  std::stable_sort(findings.begin(), findings.end(), [](const finding& left, const finding& right) {
    return left.location.line < right.location.line;
  });
  std::string text;
  for (const finding& found : findings) {
    text += (text.empty() ? "" : "\n") + to_string(found);
  }
  return base::error{base::error_code::invalid_argument, std::move(text)};
}

std::vector<std::string> internal::not_reloadable_changes(const Message& running,
                                                          const Message& updated) {
  std::vector<std::string> keys;
  collect_restart_changes(running, updated, "", keys);
  return keys;
}

}  // namespace fuchsiaspring::settings
