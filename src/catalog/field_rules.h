// Ranges, defaults and units of the numeric fields of operators' objects.
#pragma once

#include <google/protobuf/descriptor.h>

#include <optional>
#include <string>
#include <string_view>

#include "fuchsiaspring/settings/yaml_reader.h"

namespace fuchsiaspring::catalog::internal {

struct number_rule {
  std::string_view message;  // such as "Pool"
  std::string_view field;
  double min = 0;
  double max = 0;
  double default_value = 0;  // used when the field is absent; below `min` when it is required
  std::string_view unit;
  std::string_view help;               // column of docs/objects.md
  std::string_view default_text = {};  // replaces default_value in docs/objects.md

  bool is_required() const { return default_value < min; }
};

// Returns nullptr for fields without a numeric rule.
const number_rule* find_rule(const google::protobuf::FieldDescriptor& field);

// "1 to 600000 ms".
std::string accepted_range(const number_rule& rule);

// A number without trailing zeros.
std::string format_number(double value);

// Describes how a value violates the rule of its field; nothing if it does not. Used by
// yaml_reader.
std::optional<std::string> check_value(const google::protobuf::FieldDescriptor& field,
                                       const settings::scalar_value& value);

}  // namespace fuchsiaspring::catalog::internal
