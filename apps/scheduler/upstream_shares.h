// The share ledgers of all upstreams that this VM uses.
//
// Not thread-safe; used by the scheduler's thread only. Messages are sent through the function
// given to the constructor.
#pragma once

#include <messages.pb.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_ledger.h"
#include "fuchsiaspring/routing/config.h"

namespace fuchsiaspring::scheduler {

class upstream_shares {
 public:
  // Sends a message to the scheduler of a VM.
  using send_function =
      std::function<void(const std::string& vm, const schema::ShareMessage& message)>;

  upstream_shares(std::string self, std::uint64_t incarnation, limits::ledger_settings settings,
                  send_function send);

  // Sets the VMs that share each upstream, as given by the configuration and the VM list.
  void update(const routing::router_config& config, const schema::VmList& list,
              std::uint64_t revision, base::time_point now);

  // To be called when this VM has reached the configuration service or a majority of the VM list.
  void on_majority_contact(base::time_point now);

  void set_limit(const std::string& upstream, std::uint32_t limit);
  void set_demand(const std::string& upstream, std::vector<std::uint32_t> queued_by_tier);

  // Whether one more request may start at the upstream now.
  bool may_start(const std::string& upstream, base::time_point now) const;
  std::uint32_t usable_slots(const std::string& upstream, base::time_point now) const;
  // Whether the shares of all upstreams are in force, so that the VM can use them fully.
  bool is_in_force(base::time_point now) const;
  // Whether the VM may run a request at any upstream, on its own or on borrowed credits.
  bool has_credits(base::time_point now) const;
  // To be called when the gateway has reported all requests that were granted before this process
  // started and still run.
  void on_running_reported();
  limits::ledger_status status(const std::string& upstream, base::time_point now) const;

  void on_start(const std::string& upstream, limits::request_origin origin, base::time_point now);
  void on_finish(const std::string& upstream, limits::request_origin origin, base::time_point now);
  void on_message(const schema::ShareMessage& message, base::time_point now);

  // To be called at least every 250 ms.
  void tick(base::time_point now);

 private:
  limits::share_ledger* find(const std::string& upstream);
  const limits::share_ledger* find(const std::string& upstream) const;
  void send_all(const std::string& upstream, const std::vector<limits::outgoing_message>& messages);

  const std::string m_self;
  const std::uint64_t m_incarnation;
  const limits::ledger_settings m_settings;
  const send_function m_send;
  std::map<std::string, limits::share_ledger> m_ledgers;
  bool m_running_reported = false;
};

}  // namespace fuchsiaspring::scheduler
