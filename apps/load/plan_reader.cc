#include "apps/load/plan_reader.h"

#include <yaml-cpp/yaml.h>

#include <charconv>
#include <functional>
#include <map>
#include <sstream>

namespace fuchsiaspring::load {
namespace {

using base::error;
using base::error_code;

constexpr std::uint32_t max_threads = 16;

bool parse_value(const std::string& text, std::string& value) {
  value = text;
  return true;
}

bool parse_value(const std::string& text, bool& value) {
  value = text == "true";
  return value || text == "false";
}

bool parse_value(const std::string& text, request_kind& value) {
  static const std::map<std::string, request_kind> names = {
      {"chat", request_kind::chat},
      {"completion", request_kind::completion},
      {"service", request_kind::service}};
  const auto found = names.find(text);
  value = found == names.end() ? value : found->second;
  return found != names.end();
}

bool parse_value(const std::string& text, key_kind& value) {
  static const std::map<std::string, key_kind> names = {
      {"none", key_kind::none}, {"opaque", key_kind::opaque}, {"uuid7", key_kind::uuid7}};
  const auto found = names.find(text);
  value = found == names.end() ? value : found->second;
  return found != names.end();
}

bool parse_value(const std::string& text, arrival_process& value) {
  value = text == "constant" ? arrival_process::constant : arrival_process::poisson;
  return text == "constant" || text == "poisson";
}

template <typename Number>
bool parse_value(const std::string& text, Number& value) {
  const char* end = text.data() + text.size();
  const auto [stop, failure] = std::from_chars(text.data(), end, value);
  return failure == std::errc() && stop == end && value >= 0;
}

template <typename Owner>
using field_table = std::map<std::string, std::function<bool(Owner&, const std::string&)>>;

template <typename Owner, typename Value>
std::function<bool(Owner&, const std::string&)> field_setter(Value Owner::*member) {
  return
      [member](Owner& owner, const std::string& text) { return parse_value(text, owner.*member); };
}

const field_table<mix_entry>& entry_fields() {
  static const field_table<mix_entry> fields = {
      {"name", field_setter(&mix_entry::name)},
      {"kind", field_setter(&mix_entry::kind)},
      {"weight", field_setter(&mix_entry::weight)},
      {"rate", field_setter(&mix_entry::rate)},
      {"start_s", field_setter(&mix_entry::start_s)},
      {"end_s", field_setter(&mix_entry::end_s)},
      {"token", field_setter(&mix_entry::token)},
      {"class", field_setter(&mix_entry::request_class)},
      {"model", field_setter(&mix_entry::model)},
      {"stream", field_setter(&mix_entry::stream)},
      {"max_tokens", field_setter(&mix_entry::max_tokens)},
      {"prompt_bytes", field_setter(&mix_entry::prompt_bytes)},
      {"first_token_ms", field_setter(&mix_entry::first_token_ms)},
      {"between_tokens_ms", field_setter(&mix_entry::between_tokens_ms)},
      {"total_ms", field_setter(&mix_entry::total_ms)},
      {"method", field_setter(&mix_entry::method)},
      {"path", field_setter(&mix_entry::path)},
      {"keys", field_setter(&mix_entry::keys)},
      {"duplicates", field_setter(&mix_entry::duplicates)},
      {"duplicate_lag_ms", field_setter(&mix_entry::duplicate_lag_ms)},
  };
  return fields;
}

const field_table<load_plan>& plan_fields() {
  static const field_table<load_plan> fields = {
      {"arrivals", field_setter(&load_plan::arrivals)},
      {"rate", field_setter(&load_plan::rate)},
      {"duration_s", field_setter(&load_plan::duration_s)},
      {"count", field_setter(&load_plan::count)},
      {"seed", field_setter(&load_plan::seed)},
      {"timeout_ms", field_setter(&load_plan::timeout_ms)},
      {"threads", field_setter(&load_plan::threads)},
      {"fresh_connections", field_setter(&load_plan::fresh_connections)},
      {"failover", field_setter(&load_plan::failover)},
  };
  return fields;
}

template <typename Owner>
base::result<void> set_field(const field_table<Owner>& fields, const std::string& name,
                             const std::string& value, Owner& owner) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return error{error_code::invalid_argument, "unknown field " + name};
  }
  if (!found->second(owner, value)) {
    return error{error_code::invalid_argument, "invalid value for " + name + ": " + value};
  }
  return base::success();
}

base::result<void> read_mix(const YAML::Node& list, load_plan& plan) {
  for (const YAML::Node& node : list) {
    mix_entry entry;
    for (const auto& pair : node) {
      auto set = set_field(entry_fields(), pair.first.as<std::string>(),
                           pair.second.as<std::string>(), entry);
      if (!set) {
        return set.error();
      }
    }
    plan.mix.push_back(std::move(entry));
  }
  return base::success();
}

base::result<void> read_plan(const YAML::Node& root, load_plan& plan) {
  for (const auto& pair : root) {
    const auto name = pair.first.as<std::string>();
    base::result<void> set = base::success();
    if (name == "targets") {
      plan.targets = pair.second.as<std::vector<std::string>>();
    } else if (name == "ready_urls") {
      plan.ready_urls = pair.second.as<std::vector<std::string>>();
    } else if (name == "mix") {
      set = read_mix(pair.second, plan);
    } else {
      set = set_plan_field(name, pair.second.as<std::string>(), plan);
    }
    if (!set) {
      return set;
    }
  }
  return base::success();
}

}  // namespace

base::result<void> read_plan_file(const std::string& path, load_plan& plan) {
  try {
    return read_plan(YAML::LoadFile(path), plan);
  } catch (const YAML::BadFile&) {
    return error{error_code::not_found, "cannot read " + path};
  } catch (const YAML::Exception& failure) {
    return error{error_code::invalid_argument, path + ": " + failure.what()};
  }
}

base::result<void> add_mix_entry(const std::string& text, load_plan& plan) {
  mix_entry entry;
  std::istringstream parts(text);
  std::string part;
  while (std::getline(parts, part, ',')) {
    const std::size_t equals = part.find('=');
    if (equals == std::string::npos) {
      return error{error_code::invalid_argument, "expected field=value, not " + part};
    }
    auto set = set_field(entry_fields(), part.substr(0, equals), part.substr(equals + 1), entry);
    if (!set) {
      return set;
    }
  }
  plan.mix.push_back(std::move(entry));
  return base::success();
}

base::result<void> set_plan_field(const std::string& name, const std::string& value,
                                  load_plan& plan) {
  return set_field(plan_fields(), name, value, plan);
}

base::result<void> validate_plan(const load_plan& plan) {
  if (plan.targets.empty()) {
    return error{error_code::invalid_argument, "no target is given"};
  }
  if (!plan.ready_urls.empty() && plan.ready_urls.size() != plan.targets.size()) {
    return error{error_code::invalid_argument,
                 std::to_string(plan.ready_urls.size()) + " readiness URLs for " +
                     std::to_string(plan.targets.size()) + " targets; each target needs one"};
  }
  if (plan.mix.empty()) {
    return error{error_code::invalid_argument, "the mix is empty"};
  }
  if (plan.duration_s <= 0 || plan.timeout_ms == 0) {
    return error{error_code::invalid_argument, "duration_s and timeout_ms must be positive"};
  }
  if (plan.threads == 0 || plan.threads > max_threads) {
    return error{error_code::invalid_argument, "threads must be from 1 to " +
                                                   std::to_string(max_threads) + ", not " +
                                                   std::to_string(plan.threads)};
  }
  for (const mix_entry& entry : plan.mix) {
    if (entry.kind == request_kind::service && entry.path.empty()) {
      return error{error_code::invalid_argument, "service entry " + entry.name + " has no path"};
    }
  }
  return base::success();
}

}  // namespace fuchsiaspring::load
