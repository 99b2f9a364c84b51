#include "fuchsiaspring/catalog/objects_page.h"

#include <google/protobuf/descriptor.h>

#include <array>
#include <string_view>

#include "catalog.pb.h"
#include "catalog/field_rules.h"

namespace fuchsiaspring::catalog {
namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;

const char* const introduction =
    "# Objects\n"
    "\n"
    "This page is generated: `fuchsiactl objects-doc > docs/objects.md`.\n"
    "\n"
    "Operators write objects in YAML files of one directory. A file holds any of the lists named "
    "below,\n"
    "and lists of the same name in several files are joined. `fuchsiactl check DIR` verifies the "
    "whole\n"
    "set and lists every fault at once with file and line; `fuchsiactl render` writes the set as "
    "one\n"
    "bundle only if it has no errors. Every program verifies the bundle again and refuses one that "
    "has\n"
    "an error as a whole. Complete sets are in `examples/`.\n"
    "\n"
    "A name has 1 to 63 characters of `a-z`, `0-9`, `-`, `_` and `.` and starts with a letter or "
    "digit.\n"
    "Names are unique within their kind; upstream names are unique over all pools. A key that is "
    "left\n"
    "out has its default; `0` is accepted only where the range includes it.\n";

// Non-numeric fields. The rules of numeric fields are in field_rules.cc.
struct text_row {
  std::string_view message;
  std::string_view field;
  std::string_view accepted;
  std::string_view default_value;
  std::string_view help;
};

constexpr std::array text_rows{
    text_row{"RequestClass", "tier", "name of a tier", "required", "Priority of the class"},
    text_row{"RequestClass", "service_level", "name of a service level", "required",
             "Latency targets of the class"},
    text_row{"RequestClass", "pool", "name of a pool", "none",
             "Pool of requests that name no model; a service pool for classes used on "
             "`/services/{pool}`. Without it the model is needed"},
    text_row{"RequestClass", "idempotent", "true, false", "false",
             "`false`: executed at most once, never retried or preempted"},
    text_row{"RequestClass", "preemptible", "true, false", "false",
             "Running requests may be cancelled for a higher tier"},
    text_row{"TeamGuarantee", "request_class", "name of a class of the team", "required",
             "Class that the rate is guaranteed in; once per team"},
    text_row{"Team", "token_sha256", "list of 64 lower-case hexadecimal digits", "empty list",
             "SHA-256 digests of the team's bearer tokens"},
    text_row{"Team", "default_class", "name of a class of the team", "required",
             "Class of requests without `X-Request-Class`"},
    text_row{"Team", "classes", "list of names of classes", "required",
             "Classes that the team may use"},
    text_row{"Team", "guarantees", "list, see below", "empty list",
             "Rates that are served before the surplus of any team"},
    text_row{"Upstream", "address", "ip:port", "required",
             "Address of the engine or service; unique"},
    text_row{"Upstream", "failure_domain", "name of a failure domain", "required",
             "Failure domain of the upstream"},
    text_row{"Upstream", "tls", "true, false", "false", "Connect with TLS"},
    text_row{"Upstream", "checks_fencing", "true, false", "false",
             "The engine refuses commands with an old fencing number"},
    text_row{"Pool", "kind", "engine, service", "required",
             "`engine`: OpenAI-style model engines; `service`: plain HTTP services"},
    text_row{"Pool", "models", "list of model names", "required for engines",
             "Models of an engine pool; each model belongs to one pool. 1 to 128 printable ASCII "
             "characters without spaces and double quotes"},
    text_row{"Pool", "upstreams", "list, see below", "empty list", "Upstreams of the pool"},
    text_row{"FailureDomain", "region", "a name", "required", "Region of the failure domain"},
    text_row{"FailureDomain", "nearest", "list of names of failure domains", "empty list",
             "Other failure domains, nearest first, for work that spills over"},
    text_row{"Vm", "failure_domain", "name of a failure domain", "required",
             "Failure domain of the VM"},
};

struct section {
  const Descriptor* type;
  std::string_view title;
  std::string_view text;
  std::string_view verified;
};

std::array<section, 9> sections() {
  return {
      section{schema::Tier::descriptor(), "tiers", "Priority levels.",
              "no two tiers have the same rank. Warning: no class uses the tier."},
      section{schema::ServiceLevel::descriptor(), "service_levels", "Latency targets.",
              "`total_ms` is at least `first_token_ms`. Warning: no class uses the service level."},
      section{schema::RequestClass::descriptor(), "classes",
              "Request classes, named by the header `X-Request-Class`. On `/services/{pool}` a "
              "request needs a class that names the pool, since the class decides whether the "
              "request may be executed twice.",
              "tier, service level and pool exist; the floors of all classes add up to at most "
              "300 per mille; a class that is not idempotent has no retry budget and is not "
              "preemptible. Warnings: no team may use the class; a class of the highest tier is "
              "preemptible; the pool's `first_byte_timeout_ms` is below the target for the first "
              "token."},
      section{schema::Team::descriptor(), "teams", "Teams, found by their bearer token.",
              "the team may use at least one class, and the default class is one of them; classes "
              "exist and are listed once; a token belongs to one team and is not empty. Warning: "
              "the team has no token."},
      section{schema::TeamGuarantee::descriptor(), "teams[].guarantees",
              "Guaranteed rates of a team.",
              "the team may use the class, and there is one guarantee per class."},
      section{schema::Pool::descriptor(), "pools", "Pools of upstreams.",
              "an engine pool serves at least one model, a service pool none; a model belongs to "
              "one pool. Warnings: the pool has no upstream, or none in service; no class names a "
              "service pool."},
      section{schema::Upstream::descriptor(), "pools[].upstreams", "Upstreams of a pool.",
              "the failure domain exists; name and address are unique over all pools; `cold_limit` "
              "is at most `limit`."},
      section{schema::FailureDomain::descriptor(), "failure_domains", "Failure domains.",
              "the domains in `nearest` exist, are listed once and do not include the domain "
              "itself. Warnings: the domain has no upstream; every domain is out of service."},
      section{schema::Vm::descriptor(), "vms",
              "Entry VMs that operators name in order to take them out of service. A VM that is "
              "not listed is in service.",
              "the failure domain exists."},
  };
}

void add_row(std::string_view field, std::string_view accepted, std::string_view default_value,
             std::string_view help, std::string& page) {
  page.append("| `").append(field).append("` | ").append(accepted).append(" | ");
  page.append(default_value).append(" | ").append(help).append(" |\n");
}

void add_field(const FieldDescriptor& field, std::string& page) {
  if (const internal::number_rule* rule = internal::find_rule(field)) {
    std::string default_text(rule->default_text.empty() ? "required" : rule->default_text);
    if (rule->default_text.empty() && !rule->is_required()) {
      default_text = internal::format_number(rule->default_value);
      if (!rule->unit.empty()) {
        default_text.append(" ").append(rule->unit);
      }
    }
    add_row(field.name(), internal::accepted_range(*rule), default_text, rule->help, page);
    return;
  }
  for (const text_row& row : text_rows) {
    if (row.field == field.name() && row.message == field.containing_type()->name()) {
      add_row(row.field, row.accepted, row.default_value, row.help, page);
      return;
    }
  }
  if (field.name() == "name") {
    add_row("name", "a name", "required", "Name by which other objects refer to this one", page);
  } else if (field.name() == "out_of_service") {
    add_row("out_of_service", "true, false", "false",
            "No new work while set; changed by `fuchsiactl out-of-service` and `in-service`", page);
  } else {
    add_row(field.name(), "", "", "not described", page);
  }
}

}  // namespace

std::string objects_page() {
  const std::string header =
      "\n| key | accepted | default | meaning |\n| --- | --- | --- | --- |\n";
  std::string page = introduction;
  for (const section& part : sections()) {
    page.append("\n## ").append(part.title).append("\n\n").append(part.text).append("\n");
    page.append(header);
    for (int i = 0; i < part.type->field_count(); ++i) {
      add_field(*part.type->field(i), page);
    }
    page.append("\nVerified: ").append(part.verified).append("\n");
  }
  page.append("\n## Keys of the whole set\n").append(header);
  add_field(*schema::Catalog::descriptor()->FindFieldByName("membership_floor"), page);
  page.append(
      "\nVerified: tiers, service levels, classes, teams, pools and failure domains are not empty; "
      "the bundle has at most 1,000,000 bytes. Warnings: the bundle has more than 800,000 bytes; "
      "the "
      "directory holds files or subdirectories that are not read.\n");
  return page;
}

}  // namespace fuchsiaspring::catalog
