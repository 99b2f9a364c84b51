// Reads ranges of the list of replicas for other nodes: POST /range on the peers' address.
//
// A request is answered from a list that begins after the request has arrived, so that the time of
// the request is that of the proof. The response contains what differs from the content that the
// requester has. See fleet/range_plan.h.
#pragma once

#include <list>
#include <memory>
#include <optional>

#include "apps/node/node_context.h"
#include "apps/node/store_lister.h"
#include "fuchsiaspring/fleet/range_plan.h"
#include "fuchsiaspring/relay/caller_connection.h"

namespace fuchsiaspring::node_app {

inline constexpr const char* range_target = "/range";

struct range_request {
  fleet::key_range range;
  std::uint64_t known_hash = 0;

  friend bool operator==(const range_request&, const range_request&) = default;
};

relay::request encode_range_request(const range_request& request);
std::optional<range_request> decode_range_request(const std::string& bytes);

class range_server {
 public:
  explicit range_server(node_context& context) : m_context(context) {}

  void serve(relay::caller_connection& caller, const relay::request& message);

 private:
  struct job {
    std::shared_ptr<relay::caller_connection> caller;
    range_request request;
    std::unique_ptr<store_lister> lister;
  };
  struct known_range {
    fleet::key_range range;
    fleet::content_history history;
  };

  void finish(std::list<job>::iterator which, base::result<listing> result);
  fleet::content_history& history_of(const fleet::key_range& range);

  node_context& m_context;
  std::list<job> m_jobs;
  std::list<known_range> m_ranges;  // the one used last first
};

}  // namespace fuchsiaspring::node_app
