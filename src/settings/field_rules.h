// Accepted values of a settings key, derived from its type, its field options and its name.
#pragma once

#include <google/protobuf/descriptor.h>

#include <string>

namespace fuchsiaspring::settings::internal {

// Description of the accepted values, such as "1024 to 67108864 bytes" or "ip:port".
std::string accepted_values(const google::protobuf::FieldDescriptor& field);

// Whether a text value is accepted. Empty text is accepted for optional keys.
bool is_accepted_text(const google::protobuf::FieldDescriptor& field, const std::string& text);

}  // namespace fuchsiaspring::settings::internal
