// Sets the out_of_service flags of objects in a directory of YAML files.
//
//   auto changed = catalog::set_out_of_service("/srv/objects",
//                                              catalog::service_object_kind::domain, "pnw-b",
//                                              true);
//
// Only the flag is changed; comments, order and layout of the file stay. Two processes must not
// edit the same file at the same time: the later write discards the earlier one.
#pragma once

#include <filesystem>
#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::catalog {

// Kinds of objects that can be taken out of service.
enum class service_object_kind { domain, vm, upstream };

// From "domain", "vm" or "upstream".
std::optional<service_object_kind> parse_service_object_kind(std::string_view word);

// Sets the flag of the object with this name in the text of one file. Returns nothing when the
// text does not hold the object. Returns the text unchanged when the flag already has the value.
// Errors: invalid_argument when the text is not YAML; failed_precondition when the layout of the
// object does not permit a safe edit, for example a value behind an alias.
base::result<std::optional<std::string>> edit_out_of_service_flag(const std::string& text,
                                                                  service_object_kind kind,
                                                                  std::string_view name,
                                                                  bool out_of_service);

// Sets the flag in the file of `directory` that holds the object and returns the path of that file,
// or nothing when the flag already has the value. The file is replaced by a rename, so a reader
// never sees a partial file.
// Errors: as edit_out_of_service_flag; not_found when no file holds the object; unavailable when
// the file cannot be read or written.
base::result<std::optional<std::filesystem::path>> set_out_of_service(
    const std::filesystem::path& directory, service_object_kind kind, std::string_view name,
    bool out_of_service);

// Replaces `path` by a file with this content, by a rename within the same directory. The mode of
// an existing file is kept. A symbolic link stays in place and its target is replaced. Errors:
// unavailable, also for a path that exists and is not a regular file.
base::result<void> replace_file(const std::filesystem::path& path, std::string_view content);

}  // namespace fuchsiaspring::catalog
