// The requests that this VM has granted and that have not ended.
//
// Not thread-safe; used by the scheduler's thread only.
#pragma once

#include <messages.pb.h>

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fuchsiaspring/admission/admission_queue.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/limits/share_ledger.h"

namespace fuchsiaspring::scheduler {

struct grant_entry {
  std::uint64_t grant_id = 0;
  std::string request_id;
  std::string gateway;  // reply address of the gateway that runs it
  std::string upstream;
  std::string pool;
  std::string request_class;
  std::uint32_t attempt = 0;
  std::uint32_t prompt_tokens = 0;
  bool idempotent = false;
  bool cancelling = false;
  admission::dispatch_rule rule = admission::dispatch_rule::surplus;
  limits::request_origin origin = limits::request_origin::granted_here;
  base::time_point granted_at{};
  base::time_point first_token_at{};  // zero until the first token
  base::time_point last_report_at{};  // equals `granted_at` until the first report
};

class grant_table {
 public:
  void add(grant_entry entry);
  grant_entry* find(std::uint64_t grant_id);
  grant_entry* find_request(const std::string& request_id);
  std::optional<grant_entry> remove(std::uint64_t grant_id);

  // Removes and returns the grants whose last report is older than `limit`: their gateway
  // has stopped, or the report of their end was lost.
  std::vector<grant_entry> remove_stale(base::time_point now, base::duration limit);

  // Requests in flight, in the form that propose_preemption() takes.
  std::vector<admission::running_request> running_requests(base::time_point now) const;

  std::size_t size() const { return m_grants.size(); }

 private:
  std::unordered_map<std::uint64_t, grant_entry> m_grants;
  std::unordered_map<std::string, std::uint64_t> m_by_request;
};

}  // namespace fuchsiaspring::scheduler
