#include "fuchsiaspring/settings/settings_page.h"

#include <google/protobuf/descriptor.h>

#include <string>

#include "settings.pb.h"
#include "settings/field_rules.h"

namespace fuchsiaspring::settings {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

const char* const introduction =
    "# Settings\n"
    "\n"
    "This page is generated: `fuchsiactl settings-doc > docs/settings.md`.\n"
    "\n"
    "Each program reads one YAML file, given by `--settings`. Keys that are not listed here, "
    "values of\n"
    "the wrong type and values outside the accepted range are refused, and all faults are reported "
    "at\n"
    "once with file, line, key and accepted range. An address is `a.b.c.d:port` or `[ipv6]:port`; "
    "host\n"
    "names are not accepted. On SIGHUP a program reads its file again: keys marked \"reload\" take "
    "effect\n"
    "at once, the others after a restart.\n";

std::string default_of(const FieldDescriptor& field) {
  const schema::Range& range = field.options().GetExtension(schema::range);
  if (range.required()) {
    return "required";
  }
  if (field.is_repeated()) {
    return "empty list";
  }
  if (field.cpp_type() == FieldDescriptor::CPPTYPE_UINT32) {
    std::string text = std::to_string(range.default_value());
    return range.unit().empty() ? text : text.append(" ").append(range.unit());
  }
  return range.default_text().empty() ? "empty" : "`" + range.default_text() + "`";
}

void add_rows(const Descriptor& type, const std::string& prefix, std::string& page) {
  for (int i = 0; i < type.field_count(); ++i) {
    const FieldDescriptor& field = *type.field(i);
    const std::string key = prefix + field.name();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      add_rows(*field.message_type(), key + ".", page);
      continue;
    }
    const schema::Range& range = field.options().GetExtension(schema::range);
    page.append("| `").append(key).append("` | ").append(internal::accepted_values(field));
    page.append(" | ").append(default_of(field)).append(" | ");
    page.append(range.reloadable() ? "reload" : "restart").append(" | ");
    page.append(range.help()).append(" |\n");
  }
}

void add_program(const Descriptor& type, const char* program, const char* file, const char* rules,
                 std::string& page) {
  page.append("\n## ").append(program).append("\n\nFile: `/etc/fuchsiaspring/").append(file);
  page.append("`.\n\n| key | accepted | default | takes effect | meaning |\n");
  page.append("| --- | --- | --- | --- | --- |\n");
  add_rows(type, "", page);
  page.append("\nAlso verified: ").append(rules).append("\n");
}

}  // namespace

std::string settings_page() {
  std::string page = introduction;
  add_program(*schema::GatewaySettings::descriptor(), "fuchsia-gateway", "gateway.yaml",
              "the program's own addresses differ; `tls_certificate_file` and `tls_key_file` are "
              "given together or not at all.",
              page);
  add_program(*schema::SchedulerSettings::descriptor(), "fuchsia-scheduler", "scheduler.yaml",
              "the program's own addresses differ.", page);
  add_program(*schema::AgentSettings::descriptor(), "fuchsia-agent", "agent.yaml",
              "the program's own addresses differ; `suspicion_timeout_ms` is at least twice "
              "`heartbeat_interval_ms`, so that one lost heartbeat raises no suspicion.",
              page);
  add_program(*schema::NodeSettings::descriptor(), "fuchsia-node", "node.yaml",
              "the program's own addresses differ; each entry of `domain_regions` has the form "
              "DOMAIN=REGION.",
              page);
  return page;
}

}  // namespace fuchsiaspring::settings
