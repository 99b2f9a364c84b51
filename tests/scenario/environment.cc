#include "tests/scenario/environment.h"

#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <thread>

#include "fuchsiaspring/base/digest.h"
#include "fuchsiaspring/catalog/bundle.h"
#include "fuchsiaspring/catalog/load.h"
#include "tests/scenario/http_call.h"

namespace fuchsiaspring::scenario {
namespace {

using base::error;
using base::error_code;

constexpr std::uint16_t gateway_port = 0;
constexpr std::uint16_t gateway_operator_port = 1;
constexpr std::uint16_t gateway_mailbox_port = 2;
constexpr std::uint16_t scheduler_mailbox_port = 3;
constexpr std::uint16_t scheduler_operator_port = 4;
constexpr std::uint16_t agent_mailbox_port = 5;
constexpr std::uint16_t agent_operator_port = 6;
constexpr std::uint16_t stand_in_port = 10;
constexpr std::uint16_t config_port = 20;
constexpr std::uint16_t relay_port = 30;

constexpr auto start_timeout = std::chrono::seconds(5);
constexpr auto start_poll = std::chrono::milliseconds(10);
constexpr const char* fleet_key = "scenario-fleet-key-0123456789abcdef\n";

error invalid(std::string message) {
  return {error_code::invalid_argument, std::move(message)};
}

std::string to_json(const google::protobuf::Message& message) {
  std::string text;
  google::protobuf::util::MessageToJsonString(message, &text);
  return text;
}

template <typename Objects>
bool set_out_of_service_flag(Objects& objects, const std::string& name, bool out_of_service) {
  for (auto& each : objects) {
    if (each.name() == name) {
      each.set_out_of_service(out_of_service);
      return true;
    }
  }
  return false;
}

}  // namespace

test_environment::test_environment(environment_options options) : m_options(std::move(options)) {
  std::filesystem::create_directories(m_options.work_folder);
  std::ofstream(m_options.work_folder / "fleet.key") << fleet_key;
}

std::filesystem::path test_environment::work_file(const std::string& vm_name,
                                                  const std::string& role,
                                                  const char* extension) const {
  std::string name = vm_name;
  name.append("-").append(role).append(".").append(extension);
  return m_options.work_folder / name;
}

std::filesystem::path test_environment::program_path(const std::string& name) const {
  return m_options.program_folder / name;
}

base::result<void> test_environment::write_file(const std::filesystem::path& path,
                                                const std::string& text) const {
  // Renames a complete file into place, so that readers never see a partly written one.
  const std::filesystem::path temporary = path.string() + ".new";
  std::ofstream(temporary, std::ios::binary) << text;
  std::error_code failure;
  std::filesystem::rename(temporary, path, failure);
  if (failure) {
    return error{error_code::internal, "cannot write " + path.filename().string()};
  }
  return base::success();
}

base::result<void> test_environment::start_process(const std::string& name, process& added) {
  if (!std::filesystem::exists(added.arguments.front())) {
    return error{
        error_code::not_found,
        "program not found: " + std::filesystem::path(added.arguments.front()).filename().string()};
  }
  if (!added.child->start(added.arguments, added.log_path)) {
    return error{error_code::failed_precondition,
                 name + " is already running or cannot be started"};
  }
  return base::success();
}

base::result<void> test_environment::start_stand_in(const std::string& kind,
                                                    const std::string& name,
                                                    const option_list& options) {
  if (m_processes.contains(name)) {
    return restart(name);
  }
  endpoint address{"127.0.2." + std::to_string(m_stand_ins.size() + 1),
                   static_cast<std::uint16_t>(m_options.port_base + stand_in_port)};
  if (kind == "config") {
    address = {"127.0.3.1", static_cast<std::uint16_t>(m_options.port_base + config_port)};
  }
  process added;
  added.arguments = {program_path("standin-" + kind).string(), "--listen=" + address.text()};
  if (kind == "config") {
    added.arguments.push_back("--bundle=" + (m_options.work_folder / "bundle.json").string());
    added.arguments.push_back("--vms=" + (m_options.work_folder / "vms.json").string());
  }
  for (const auto& [option, value] : options) {
    std::string argument = "--";
    argument.append(option);
    if (!value.empty()) {
      argument.append("=").append(value);
    }
    added.arguments.push_back(std::move(argument));
  }
  added.log_path = (m_options.work_folder / (name + ".log")).string();
  added.operator_url = address.url();
  m_stand_ins[name] = address;
  process& stored = m_processes[name] = std::move(added);
  if (auto started = start_process(name, stored); !started) {
    return started;
  }
  const auto deadline = std::chrono::steady_clock::now() + start_timeout;
  while (!http_call(stored.operator_url + "/counters")) {
    if (!stored.child->is_running() || std::chrono::steady_clock::now() >= deadline) {
      return error{error_code::timed_out, name + " did not respond to GET /counters within 5 s"};
    }
    std::this_thread::sleep_for(start_poll);
  }
  return base::success();
}

base::result<void> test_environment::write_settings(const std::string& vm_name,
                                                    const std::string& role,
                                                    const option_list& settings) const {
  std::string text;
  for (const auto& [field, value] : settings) {
    text.append(field).append(": ").append(value).append("\n");
  }
  return write_file(work_file(vm_name, role, "yaml"), text);
}

endpoint test_environment::agent_endpoint(const std::string& vm_name) const {
  return {m_vms.at(vm_name).ip,
          static_cast<std::uint16_t>(m_options.port_base + agent_mailbox_port)};
}

std::map<std::string, option_list> test_environment::default_settings(
    const std::string& name) const {
  const vm& owner = m_vms.at(name);
  const auto at = [this, &owner](std::uint16_t offset) {
    return endpoint{owner.ip, static_cast<std::uint16_t>(m_options.port_base + offset)}.text();
  };
  const endpoint config{"127.0.3.1", static_cast<std::uint16_t>(m_options.port_base + config_port)};
  std::map<std::string, option_list> settings_by_role;
  settings_by_role["agent"] = {
      {"operator_address", at(agent_operator_port)},
      {"mailbox_address", at(agent_mailbox_port)},
      {"config_service_url", address_through_link(name, "config", config).url()},
      {"local_mailboxes",
       "[\"" + at(gateway_mailbox_port) + "\", \"" + at(scheduler_mailbox_port) + "\"]"}};
  settings_by_role["scheduler"] = {{"operator_address", at(scheduler_operator_port)},
                                   {"mailbox_address", at(scheduler_mailbox_port)},
                                   {"agent_address", at(agent_mailbox_port)},
                                   {"random_seed", std::to_string(m_vms.size())}};
  settings_by_role["gateway"] = {{"listen_address", at(gateway_port)},
                                 {"operator_address", at(gateway_operator_port)},
                                 {"mailbox_address", at(gateway_mailbox_port)},
                                 {"scheduler_address", at(scheduler_mailbox_port)},
                                 {"agent_address", at(agent_mailbox_port)}};
  for (auto& [role, settings] : settings_by_role) {
    settings.emplace_back("vm", name);
    settings.emplace_back("failure_domain", owner.domain);
    settings.emplace_back("key_file", (m_options.work_folder / "fleet.key").string());
  }
  return settings_by_role;
}

base::result<void> test_environment::start_program(const std::string& vm_name,
                                                   const std::string& role,
                                                   std::uint16_t operator_port) {
  const std::string process_name = std::string(vm_name).append("/").append(role);
  process added;
  added.arguments = {program_path("fuchsia-" + role).string(), "--settings",
                     work_file(vm_name, role, "yaml").string()};
  added.log_path = work_file(vm_name, role, "log").string();
  added.operator_url = endpoint{m_vms.at(vm_name).ip,
                                static_cast<std::uint16_t>(m_options.port_base + operator_port)}
                           .url();
  process& stored = m_processes[process_name] = std::move(added);
  return start_process(process_name, stored);
}

base::result<void> test_environment::start_vm(const std::string& name, const std::string& domain,
                                              const option_list& options) {
  if (m_vms.contains(name)) {
    for (const char* role : {"/agent", "/scheduler", "/gateway"}) {
      if (auto started = restart(name + role); !started) {
        return started;
      }
    }
    return base::success();
  }
  m_vms[name] = {"127.0.1." + std::to_string(m_vms.size() + 1), domain};
  auto settings_by_role = default_settings(name);
  for (const auto& [option, value] : options) {
    const std::size_t dot = option.find('.');
    if (dot == std::string::npos || !settings_by_role.contains(option.substr(0, dot))) {
      return invalid(
          "expected agent.FIELD=VALUE, scheduler.FIELD=VALUE or gateway.FIELD=VALUE, not " +
          option);
    }
    settings_by_role[option.substr(0, dot)].emplace_back(option.substr(dot + 1), value);
  }
  const std::map<std::string, std::uint16_t> operator_ports = {
      {"agent", agent_operator_port},
      {"scheduler", scheduler_operator_port},
      {"gateway", gateway_operator_port}};
  for (const auto& [role, settings] : settings_by_role) {
    if (auto written = write_settings(name, role, settings); !written) {
      return written;
    }
    if (auto started = start_program(name, role, operator_ports.at(role)); !started) {
      return started;
    }
  }
  return base::success();
}

base::result<void> test_environment::restart(const std::string& name) {
  const auto found = m_processes.find(name);
  if (found == m_processes.end()) {
    return error{error_code::not_found, "unknown process " + name};
  }
  return start_process(name, found->second);
}

base::result<void> test_environment::add_link(const std::string& from, const std::string& target) {
  endpoint direct;
  if (target == "config") {
    direct = {"127.0.3.1", static_cast<std::uint16_t>(m_options.port_base + config_port)};
  } else if (m_stand_ins.contains(target)) {
    direct = m_stand_ins.at(target);
  } else if (m_vms.contains(target)) {
    direct = agent_endpoint(target);
  } else {
    return error{error_code::not_found, "unknown link target " + target};
  }
  link added;
  added.listen = {"127.0.4." + std::to_string(m_links.size() + 1),
                  static_cast<std::uint16_t>(m_options.port_base + relay_port)};
  added.relay = std::make_unique<tcp_relay>();
  if (!added.relay->start(added.listen.ip, added.listen.port, direct.ip, direct.port)) {
    return error{error_code::unavailable, "relay cannot listen on " + added.listen.text()};
  }
  m_links[{from, target}] = std::move(added);
  return base::success();
}

tcp_relay* test_environment::find_link(const std::string& from, const std::string& target) {
  for (const std::string& origin : {from, std::string("*")}) {
    const auto found = m_links.find({origin, target});
    if (found != m_links.end()) {
      return found->second.relay.get();
    }
  }
  return nullptr;
}

endpoint test_environment::address_through_link(const std::string& from, const std::string& target,
                                                const endpoint& direct) const {
  for (const std::string& origin : {from, std::string("*")}) {
    const auto found = m_links.find({origin, target});
    if (found != m_links.end()) {
      return found->second.listen;
    }
  }
  return direct;
}

// Replaces ${NAME} with the address of a stand-in and ${sha256:TEXT} with the digest of TEXT.
std::string test_environment::expand_placeholders(const std::string& text) const {
  constexpr std::string_view digest_prefix = "sha256:";
  std::string replaced;
  std::size_t at = 0;
  while (true) {
    const std::size_t start = text.find("${", at);
    const std::size_t end = start == std::string::npos ? start : text.find('}', start);
    if (end == std::string::npos) {
      return replaced + text.substr(at);
    }
    replaced += text.substr(at, start - at);
    const std::string name = text.substr(start + 2, end - start - 2);
    if (name.starts_with(digest_prefix)) {
      replaced += base::sha256_hex(name.substr(digest_prefix.size()));
    } else if (const auto found = m_stand_ins.find(name); found != m_stand_ins.end()) {
      replaced += address_through_link("*", name, found->second).text();
    } else {
      replaced += "unknown-" + name;
    }
    at = end + 1;
  }
}

base::result<void> test_environment::publish_objects(const std::filesystem::path& folder,
                                                     std::uint64_t revision) {
  const std::filesystem::path copy = m_options.work_folder / "objects";
  std::filesystem::remove_all(copy);
  std::filesystem::create_directories(copy);
  std::error_code failure;
  for (const auto& entry : std::filesystem::directory_iterator(folder, failure)) {
    std::ifstream file(entry.path());
    const std::string text{std::istreambuf_iterator<char>(file), {}};
    std::ofstream(copy / entry.path().filename()) << expand_placeholders(text);
  }
  if (failure) {
    return error{error_code::not_found, "cannot read " + folder.filename().string()};
  }
  auto loaded = catalog::load_directory(copy);
  if (catalog::has_errors(loaded.findings)) {
    return invalid(catalog::join_errors(loaded.findings));
  }
  m_catalog = loaded.objects;
  return publish_catalog(revision == 0 ? m_revision + 1 : revision);
}

base::result<void> test_environment::publish_catalog(std::uint64_t revision) {
  m_revision = std::max(m_revision, revision);
  return write_file(m_options.work_folder / "bundle.json",
                    to_json(catalog::make_bundle(m_catalog, revision)));
}

base::result<void> test_environment::publish_vms(const std::vector<std::string>& vms,
                                                 const std::set<std::string>& leaving) {
  schema::VmList list;
  list.set_version(++m_list_version);
  for (const std::string& name : vms) {
    const auto found = m_vms.find(name);
    if (found == m_vms.end()) {
      return error{error_code::not_found, "unknown VM " + name};
    }
    schema::VmEntry& entry = *list.add_vms();
    entry.set_name(name);
    entry.set_failure_domain(found->second.domain);
    entry.set_agent_address(address_through_link("*", name, agent_endpoint(name)).text());
    entry.set_scheduler_address(found->second.ip + ":" +
                                std::to_string(m_options.port_base + scheduler_mailbox_port));
    entry.set_state(leaving.contains(name) ? schema::VM_STATE_LEAVING : schema::VM_STATE_LIVE);
  }
  return write_file(m_options.work_folder / "vms.json", to_json(list));
}

base::result<void> test_environment::set_out_of_service(const std::string& kind,
                                                        const std::string& name,
                                                        bool out_of_service) {
  bool found = false;
  if (kind == "domain") {
    found = set_out_of_service_flag(*m_catalog.mutable_failure_domains(), name, out_of_service);
  } else if (kind == "vm") {
    found = set_out_of_service_flag(*m_catalog.mutable_vms(), name, out_of_service);
  } else if (kind == "upstream") {
    for (schema::Pool& pool : *m_catalog.mutable_pools()) {
      found = set_out_of_service_flag(*pool.mutable_upstreams(), name, out_of_service) || found;
    }
  }
  if (!found) {
    return error{error_code::not_found, "no " + kind + " " + name + " in the objects"};
  }
  return publish_catalog(m_revision + 1);
}

std::vector<child_process*> test_environment::find(const std::string& name) {
  std::vector<child_process*> found;
  for (auto& [each, entry] : m_processes) {
    if (each == name || each.starts_with(name + "/")) {
      found.push_back(entry.child.get());
    }
  }
  return found;
}

std::string test_environment::operator_url(const std::string& name) const {
  const auto found = m_processes.find(name);
  return found == m_processes.end() ? "" : found->second.operator_url;
}

std::string test_environment::caller_url(const std::string& name) const {
  if (const auto found = m_vms.find(name); found != m_vms.end()) {
    return endpoint{found->second.ip,
                    static_cast<std::uint16_t>(m_options.port_base + gateway_port)}
        .url();
  }
  return operator_url(name);
}

}  // namespace fuchsiaspring::scenario
