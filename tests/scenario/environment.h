// The processes, addresses and objects of one scenario.
//
//   test_environment environment(
//       {.program_folder = "build/bin", .work_folder = "/tmp/x", .port_base = 22500});
//   environment.start_stand_in("engine", "e1", {{"slots", "8"}});
//   environment.start_vm("vm1", "a", {});
//   environment.publish_objects("tests/scenarios/objects", 0);
//
// Each VM has the address 127.0.1.N with the same ports, each stand-in 127.0.2.N, each relay
// 127.0.4.N, and the configuration service 127.0.3.1. Not thread-safe.
#pragma once

#include <catalog.pb.h>
#include <messages.pb.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fuchsiaspring/base/result.h"
#include "tests/scenario/child_process.h"
#include "tests/scenario/relay/tcp_relay.h"

namespace fuchsiaspring::scenario {

struct environment_options {
  std::filesystem::path program_folder;
  std::filesystem::path work_folder;  // created; settings, published values and logs go here
  std::uint16_t port_base = 22500;    // lowest port used
};

struct endpoint {
  std::string ip;
  std::uint16_t port = 0;

  std::string text() const { return ip + ":" + std::to_string(port); }
  std::string url() const { return "http://" + text(); }
};

using option_list = std::vector<std::pair<std::string, std::string>>;

class test_environment {
 public:
  explicit test_environment(environment_options options);

  // Starts a stand-in ("engine", "service" or "config"), or starts it again after it has ended.
  // Options are passed to it as --NAME=VALUE. Returns once it responds to GET /counters; fails
  // after 5 s or if the process ends before that.
  base::result<void> start_stand_in(const std::string& kind, const std::string& name,
                                    const option_list& options);

  // Starts agent, scheduler and gateway of a VM. An option such as agent.FIELD=VALUE sets a field
  // of that program's settings.
  base::result<void> start_vm(const std::string& name, const std::string& domain,
                              const option_list& options);

  // Starts a program again that has ended, with the same settings.
  base::result<void> restart(const std::string& process);

  // Puts a relay on the link to a target ("config", a stand-in or a VM's agent). `from` is "*" or,
  // for the configuration service, the VM whose reads go through the relay. Must be called before
  // the programs that use the link are started.
  base::result<void> add_link(const std::string& from, const std::string& target);
  tcp_relay* find_link(const std::string& from, const std::string& target);

  // Loads a directory of objects, expands the placeholders in it and publishes the objects as
  // `revision`, or as the next revision if `revision` is 0.
  base::result<void> publish_objects(const std::filesystem::path& folder, std::uint64_t revision);

  // Publishes the next version of the VM list, in which the VMs in `leaving` have the state
  // leaving.
  base::result<void> publish_vms(const std::vector<std::string>& vms,
                                 const std::set<std::string>& leaving);

  // Sets or clears `out_of_service` of a failure domain ("domain"), an "upstream" or a "vm" and
  // publishes the next revision.
  base::result<void> set_out_of_service(const std::string& kind, const std::string& name,
                                        bool out_of_service);

  // The process called `name`, or the three processes of the VM `name`. Empty when unknown.
  std::vector<child_process*> find(const std::string& name);

  // Base URL of the operator address or stand-in `name`, empty when unknown.
  std::string operator_url(const std::string& name) const;

  // Base URL that callers use for a VM or a stand-in, empty when unknown.
  std::string caller_url(const std::string& name) const;

  std::uint64_t revision() const { return m_revision; }
  std::uint64_t list_version() const { return m_list_version; }
  const environment_options& options() const { return m_options; }

 private:
  struct process {
    std::vector<std::string> arguments;
    std::string log_path;
    std::string operator_url;
    std::unique_ptr<child_process> child = std::make_unique<child_process>();
  };
  struct vm {
    std::string ip;
    std::string domain;
  };
  struct link {
    endpoint listen;
    std::unique_ptr<tcp_relay> relay;
  };

  // Settings of the programs of a VM, by "agent", "scheduler" and "gateway".
  std::map<std::string, option_list> default_settings(const std::string& name) const;
  base::result<void> start_program(const std::string& vm_name, const std::string& role,
                                   std::uint16_t operator_port);
  base::result<void> start_process(const std::string& name, process& added);
  base::result<void> write_file(const std::filesystem::path& path, const std::string& text) const;
  base::result<void> write_settings(const std::string& vm_name, const std::string& role,
                                    const option_list& settings) const;
  base::result<void> publish_catalog(std::uint64_t revision);
  endpoint agent_endpoint(const std::string& vm_name) const;
  endpoint address_through_link(const std::string& from, const std::string& target,
                                const endpoint& direct) const;
  std::string expand_placeholders(const std::string& text) const;
  std::filesystem::path program_path(const std::string& name) const;
  std::filesystem::path work_file(const std::string& vm_name, const std::string& role,
                                  const char* extension) const;

  environment_options m_options;
  std::map<std::string, vm> m_vms;
  std::map<std::string, endpoint> m_stand_ins;
  std::map<std::pair<std::string, std::string>, link> m_links;  // by origin and target
  schema::Catalog m_catalog;
  std::uint64_t m_revision = 0;
  std::uint64_t m_list_version = 0;
  // Declared last, so that the programs end before the relays between them are destroyed.
  std::map<std::string, process> m_processes;  // "e1", "config", "vm1/agent"
};

}  // namespace fuchsiaspring::scenario
