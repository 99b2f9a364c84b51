#include "fuchsiaspring/fleet/config_source.h"

#include <algorithm>
#include <map>
#include <set>

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::fleet {
namespace {

constexpr const char* reader_hash_key = "configuration-reader";
constexpr std::size_t min_readers = 2;
// An older proof shows that the reader no longer reaches the service.
constexpr base::duration max_peer_proof_age = std::chrono::milliseconds(1800);

std::vector<std::string> sorted_names(const std::vector<peer_info>& nodes) {
  std::vector<std::string> names;
  names.reserve(nodes.size());
  for (const peer_info& each : nodes) {
    names.push_back(each.vm);
  }
  std::sort(names.begin(), names.end());
  return names;
}

}  // namespace

std::vector<std::string> config_readers(const std::vector<peer_info>& nodes) {
  std::map<std::string, std::vector<std::string>> by_domain;
  for (const peer_info& each : nodes) {
    by_domain[each.failure_domain].push_back(each.vm);
  }
  std::set<std::string> readers;
  for (const auto& [domain, vms] : by_domain) {
    readers.insert(vms[base::rendezvous_top(reader_hash_key, vms, 1).front()]);
  }
  const std::vector<std::string> all = sorted_names(nodes);
  for (const std::size_t index : base::rendezvous_top(reader_hash_key, all, all.size())) {
    if (readers.size() >= min_readers) {
      break;
    }
    readers.insert(all[index]);
  }
  return {readers.begin(), readers.end()};
}

config_source choose_source(const peer_info& self, const std::vector<peer_info>& live,
                            const source_status& status, base::random_source& random) {
  if (live.empty()) {
    return service_source{};
  }
  if (status.did_service_fail) {
    // Any peer may reach the service; random choice finds one that does after a few attempts.
    return peer_source{live[random.uniform_below(live.size())].address};
  }
  const bool needs_direct_read =
      !status.proof_age || *status.proof_age > max_peer_proof_age || status.did_peer_fail;
  std::vector<peer_info> all = live;
  all.push_back(self);
  const std::vector<std::string> readers = config_readers(all);
  if (needs_direct_read || std::find(readers.begin(), readers.end(), self.vm) != readers.end()) {
    return service_source{};
  }
  std::vector<const peer_info*> remote_readers;
  for (const peer_info& each : live) {
    if (std::find(readers.begin(), readers.end(), each.vm) == readers.end()) {
      continue;
    }
    if (each.failure_domain == self.failure_domain) {
      return peer_source{each.address};
    }
    remote_readers.push_back(&each);
  }
  if (remote_readers.empty()) {
    return service_source{};
  }
  return peer_source{remote_readers[random.uniform_below(remote_readers.size())]->address};
}

}  // namespace fuchsiaspring::fleet
