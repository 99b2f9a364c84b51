#include "fuchsiaspring/catalog/verify.h"

#include <google/protobuf/descriptor.h>

#include <algorithm>

#include "catalog/field_rules.h"
#include "catalog/verifier.h"

namespace fuchsiaspring::catalog {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

void set_default(Message& message, const FieldDescriptor& field) {
  const internal::number_rule* rule = internal::find_rule(field);
  if (rule == nullptr || rule->is_required()) {
    return;
  }
  const Reflection& reflection = *message.GetReflection();
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32 &&
      reflection.GetUInt32(message, &field) == 0) {
    reflection.SetUInt32(&message, &field, static_cast<std::uint32_t>(rule->default_value));
  }
}

void set_defaults(Message& message) {
  const Reflection& reflection = *message.GetReflection();
  for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *message.GetDescriptor()->field(i);
    if (field.cpp_type() != FieldDescriptor::CPPTYPE_MESSAGE) {
      set_default(message, field);
      continue;
    }
    for (int item = 0; item < reflection.FieldSize(message, &field); ++item) {
      set_defaults(*reflection.MutableRepeatedMessage(&message, &field, item));
    }
  }
}

}  // namespace

void apply_defaults(schema::Catalog& objects) {
  set_defaults(objects);
  for (schema::Team& team : *objects.mutable_teams()) {
    for (schema::TeamGuarantee& guarantee : *team.mutable_guarantees()) {
      if (guarantee.burst() == 0) {
        guarantee.set_burst(std::max(1.0, guarantee.requests_per_second()));
      }
    }
  }
}

std::vector<settings::finding> verify(const schema::Catalog& objects) {
  return internal::verifier(objects).run();
}

bool has_errors(const std::vector<settings::finding>& findings) {
  return std::any_of(findings.begin(), findings.end(), [](const settings::finding& found) {
    return found.severity == settings::severity::error;
  });
}

std::string join_findings(const std::vector<settings::finding>& findings) {
  std::string text;
  for (const settings::finding& found : findings) {
    text.append(settings::to_string(found)).append("\n");
  }
  return text;
}

std::string join_errors(const std::vector<settings::finding>& findings) {
  std::string text;
  for (const settings::finding& found : findings) {
    if (found.severity == settings::severity::error) {
      text += (text.empty() ? "" : "\n") + settings::to_string(found);
    }
  }
  return text;
}

}  // namespace fuchsiaspring::catalog
