#include "apps/scheduler/grant_table.h"

#include <utility>

namespace fuchsiaspring::scheduler {
namespace {

// Gateways report only the first token; the number of later ones is estimated with this interval.
constexpr base::duration assumed_token_interval = std::chrono::milliseconds(25);

}  // namespace

void grant_table::add(grant_entry entry) {
  m_by_request[entry.request_id] = entry.grant_id;
  const std::uint64_t id = entry.grant_id;
  m_grants.insert_or_assign(id, std::move(entry));
}

grant_entry* grant_table::find(std::uint64_t grant_id) {
  const auto found = m_grants.find(grant_id);
  return found == m_grants.end() ? nullptr : &found->second;
}

grant_entry* grant_table::find_request(const std::string& request_id) {
  const auto found = m_by_request.find(request_id);
  return found == m_by_request.end() ? nullptr : find(found->second);
}

std::optional<grant_entry> grant_table::remove(std::uint64_t grant_id) {
  const auto found = m_grants.find(grant_id);
  if (found == m_grants.end()) {
    return std::nullopt;
  }
  grant_entry entry = std::move(found->second);
  m_grants.erase(found);
  const auto request = m_by_request.find(entry.request_id);
  if (request != m_by_request.end() && request->second == grant_id) {
    m_by_request.erase(request);
  }
  return entry;
}

std::vector<grant_entry> grant_table::remove_stale(base::time_point now, base::duration limit) {
  std::vector<std::uint64_t> stale;
  for (const auto& [id, entry] : m_grants) {
    if (now - entry.last_report_at > limit) {
      stale.push_back(id);
    }
  }
  std::vector<grant_entry> removed;
  removed.reserve(stale.size());
  for (const std::uint64_t id : stale) {
    removed.push_back(*remove(id));
  }
  return removed;
}

std::vector<admission::running_request> grant_table::running_requests(base::time_point now) const {
  std::vector<admission::running_request> requests;
  requests.reserve(m_grants.size());
  for (const auto& [id, entry] : m_grants) {
    std::uint32_t tokens = 0;
    if (entry.first_token_at != base::time_point{}) {
      tokens =
          static_cast<std::uint32_t>((now - entry.first_token_at) / assumed_token_interval) + 1;
    }
    requests.push_back({.id = entry.request_id,
                        .request_class = entry.request_class,
                        .pool = entry.pool,
                        .tokens = tokens,
                        .idempotent = entry.idempotent,
                        .cancelling = entry.cancelling,
                        .rule = entry.rule});
  }
  return requests;
}

}  // namespace fuchsiaspring::scheduler
