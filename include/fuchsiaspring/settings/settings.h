// Settings of a program, read from a YAML file into a message of settings.proto.
//
//   auto loaded = settings::load_settings<schema::GatewaySettings>("gateway.yaml");
//   if (!loaded) {
//     logger->error(loaded.error().message);   // one line per fault
//     return 1;
//   }
//
// Ranges, units and defaults are declared in the field options of settings.proto. All functions are
// thread-safe.
#pragma once

#include <google/protobuf/message.h>

#include <concepts>
#include <filesystem>
#include <string>
#include <vector>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::settings {

namespace internal {

// Reads `path` into the empty message `target`.
base::result<void> load_into(const std::filesystem::path& path, google::protobuf::Message& target);

// `running` and `updated` have the same type.
std::vector<std::string> not_reloadable_changes(const google::protobuf::Message& running,
                                                const google::protobuf::Message& updated);

}  // namespace internal

// Reads a settings file and fills in defaults. All faults of the file are reported together: the
// error's message has one line "FILE:LINE: KEY: what is wrong and what is accepted" per fault.
// Errors: invalid_argument; not_found when there is no such file.
template <std::derived_from<google::protobuf::Message> Message>
base::result<Message> load_settings(const std::filesystem::path& path) {
  Message settings;
  if (auto loaded = internal::load_into(path, settings); !loaded) {
    return loaded.error();
  }
  return settings;
}

// Keys whose values differ between the two messages and that take effect only after a restart, such
// as `listen_address` or `log.format`, in the order of the schema.
template <std::derived_from<google::protobuf::Message> Message>
std::vector<std::string> not_reloadable_changes(const Message& running, const Message& updated) {
  return internal::not_reloadable_changes(running, updated);
}

}  // namespace fuchsiaspring::settings
