#include "catalog/verifier.h"

#include <google/protobuf/descriptor.h>

#include <algorithm>
#include <set>

#include "catalog/field_rules.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/verify.h"

namespace fuchsiaspring::catalog::internal {
namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;
using google::protobuf::Reflection;

constexpr std::size_t max_name_length = 63;
constexpr std::string_view name_characters = "abcdefghijklmnopqrstuvwxyz0123456789-_.";

// Names appear in URLs, headers, labels of metrics and log lines.
bool is_valid_name(std::string_view name) {
  return !name.empty() && name.size() <= max_name_length &&
         name.find_first_not_of(name_characters) == std::string_view::npos &&
         name.find_first_of("-_.") != 0;
}

double get_number(const Message& message, const FieldDescriptor& field) {
  const Reflection& reflection = *message.GetReflection();
  switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_UINT32:
      return reflection.GetUInt32(message, &field);
    case FieldDescriptor::CPPTYPE_UINT64:
      return static_cast<double>(reflection.GetUInt64(message, &field));
    default:
      return reflection.GetDouble(message, &field);
  }
}

}  // namespace

std::string in_quotes(const std::string& text) {
  return "\"" + text + "\"";
}

std::vector<settings::finding> verifier::run() {
  collect_all_names();
  check_ranges(m_objects, "");
  check_required_lists();
  check_tiers();
  check_service_levels();
  check_classes();
  check_teams();
  check_pools();
  check_domains();
  check_vms();
  check_unused();
  check_size();
  return std::move(m_findings);
}

void verifier::error(const std::string& key, std::string message) {
  m_findings.push_back({settings::severity::error, {}, key, std::move(message)});
}

void verifier::warning(const std::string& key, std::string message) {
  m_findings.push_back({settings::severity::warning, {}, key, std::move(message)});
}

void verifier::check_ranges(const Message& message, const std::string& key) {
  const Reflection& reflection = *message.GetReflection();
  for (int i = 0; i < message.GetDescriptor()->field_count(); ++i) {
    const FieldDescriptor& field = *message.GetDescriptor()->field(i);
    const std::string path = key.empty() ? field.name() : key + "." + field.name();
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
      for (int item = 0; item < reflection.FieldSize(message, &field); ++item) {
        check_ranges(reflection.GetRepeatedMessage(message, &field, item),
                     path + "[" + std::to_string(item) + "]");
      }
      continue;
    }
    const number_rule* rule = find_rule(field);
    if (rule == nullptr) {
      continue;
    }
    const double value = get_number(message, field);
    // The negated form also rejects NaN, which a bundle can contain although YAML files cannot.
    if (!(value >= rule->min && value <= rule->max)) {
      error(path, (value == 0 ? "value is missing" : format_number(value) + " is out of range") +
                      ", accepted: " + accepted_range(*rule));
    }
  }
}

void verifier::check_name(const std::string& name, const std::string& key) {
  if (name.empty()) {
    error(key, "name is missing");
  } else if (!is_valid_name(name)) {
    error(key, in_quotes(name) +
                   " is not a name, accepted: 1 to 63 of a-z, 0-9, \"-\", \"_\" and \".\", "
                   "starting with a letter or digit");
  }
}

void verifier::check_reference(const name_table& table, const char* kind, const std::string& name,
                               const std::string& key) {
  if (name.empty()) {
    error(key, std::string(kind) + " is missing");
  } else if (!table.contains(name)) {
    error(key, "no " + std::string(kind) + " is named " + in_quotes(name));
  }
}

template <typename List>
void verifier::collect_names(const List& list, const std::string& list_key, const char* kind,
                             name_table& table) {
  for (int i = 0; i < list.size(); ++i) {
    const std::string key = list_key + "[" + std::to_string(i) + "].name";
    check_name(list[i].name(), key);
    const auto [first, is_new] = table.emplace(list[i].name(), key);
    if (!is_new && !list[i].name().empty()) {
      error(key, "a second " + std::string(kind) + " is named " + in_quotes(list[i].name()) +
                     ", first at " +
                     (m_describe_location ? m_describe_location(first->second) : first->second));
    }
  }
}

void verifier::check_distinct(const text_list& list, const std::string& key, const char* kind) {
  std::set<std::string> seen;
  for (int i = 0; i < list.size(); ++i) {
    if (!seen.insert(list[i]).second) {
      error(key + "[" + std::to_string(i) + "]",
            std::string(kind) + " " + in_quotes(list[i]) + " is listed twice");
    }
  }
}

void verifier::collect_all_names() {
  collect_names(m_objects.tiers(), "tiers", "tier", m_tiers);
  collect_names(m_objects.service_levels(), "service_levels", "service level", m_levels);
  collect_names(m_objects.classes(), "classes", "class", m_classes);
  collect_names(m_objects.teams(), "teams", "team", m_teams);
  collect_names(m_objects.pools(), "pools", "pool", m_pools);
  collect_names(m_objects.failure_domains(), "failure_domains", "failure domain", m_domains);
  collect_names(m_objects.vms(), "vms", "VM", m_vms);
  for (int i = 0; i < m_objects.pools_size(); ++i) {
    collect_names(m_objects.pools(i).upstreams(), "pools[" + std::to_string(i) + "].upstreams",
                  "upstream", m_upstreams);
  }
}

// An empty list is an error, since it usually comes from reading the wrong directory.
void verifier::check_required_lists() {
  const auto require = [this](bool present, const char* list) {
    if (!present) {
      error(list, "the list is missing or empty");
    }
  };
  require(!m_tiers.empty(), "tiers");
  require(!m_levels.empty(), "service_levels");
  require(!m_classes.empty(), "classes");
  require(!m_teams.empty(), "teams");
  require(!m_pools.empty(), "pools");
  require(!m_domains.empty(), "failure_domains");
}

void verifier::check_tiers() {
  std::map<std::uint32_t, std::string> ranks;
  for (int i = 0; i < m_objects.tiers_size(); ++i) {
    const schema::Tier& tier = m_objects.tiers(i);
    const auto [first, is_new] = ranks.emplace(tier.rank(), tier.name());
    if (!is_new) {
      error("tiers[" + std::to_string(i) + "].rank",
            "rank " + std::to_string(tier.rank()) + " belongs to tier " + in_quotes(first->second));
    }
  }
}

void verifier::check_service_levels() {
  for (int i = 0; i < m_objects.service_levels_size(); ++i) {
    const schema::ServiceLevel& level = m_objects.service_levels(i);
    if (level.total_ms() < level.first_token_ms()) {
      error("service_levels[" + std::to_string(i) + "].total_ms",
            std::to_string(level.total_ms()) + " ms is below first_token_ms (" +
                std::to_string(level.first_token_ms()) + " ms)");
    }
  }
}

void verifier::check_vms() {
  for (int i = 0; i < m_objects.vms_size(); ++i) {
    check_reference(m_domains, "failure domain", m_objects.vms(i).failure_domain(),
                    "vms[" + std::to_string(i) + "].failure_domain");
  }
}

void verifier::check_unused() {
  std::set<std::string> tiers;
  std::set<std::string> levels;
  std::set<std::string> classes;
  std::set<std::string> pools;
  for (const auto& item : m_objects.classes()) {
    pools.insert(item.pool());
    tiers.insert(item.tier());
    levels.insert(item.service_level());
  }
  for (const auto& team : m_objects.teams()) {
    classes.insert(team.classes().begin(), team.classes().end());
  }
  // Engine pools are also selected by model, so no class needs to name them.
  for (const auto& pool : m_objects.pools()) {
    if (pool.kind() != schema::POOL_KIND_SERVICE) {
      pools.insert(pool.name());
    }
  }
  const auto warn_unused = [this](const name_table& table, const std::set<std::string>& used,
                                  const std::string& kind, const std::string& referrer) {
    for (const auto& [name, key] : table) {
      if (!name.empty() && !used.contains(name)) {
        std::string text = kind;
        text.append(" ").append(in_quotes(name)).append(" is used by no ").append(referrer);
        warning(key, std::move(text));
      }
    }
  };
  warn_unused(m_tiers, tiers, "tier", "class");
  warn_unused(m_levels, levels, "service level", "class");
  warn_unused(m_classes, classes, "class", "team");
  warn_unused(m_pools, pools, "pool", "class");
}

void verifier::check_size() {
  constexpr std::uint64_t largest_revision = ~std::uint64_t{0};
  constexpr std::size_t percent = 100;
  constexpr std::size_t warning_percent = 80;
  const std::size_t size = make_bundle(m_objects, largest_revision).ByteSizeLong();
  const std::string text = "the bundle has " + std::to_string(size) + " bytes, accepted: at most " +
                           std::to_string(max_bundle_bytes);
  if (size > max_bundle_bytes) {
    error("", text);
  } else if (size > max_bundle_bytes / percent * warning_percent) {
    warning("", text);
  }
}

}  // namespace fuchsiaspring::catalog::internal
