// Lists one range of keys of the configuration service.
//
//   store_lister lister(context, prefix, range, [](base::result<listing> result) { ... });
//   lister.start();
//
// Fails if no byte arrives for 900 ms, and in any case at the deadline, so that a read over a slow
// link goes on while it makes progress. The handler is called once from the event loop, last of
// all, and may destroy the lister. Destruction ends the read without a call.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <string>

#include "apps/node/node_context.h"
#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/fleet/range_plan.h"
#include "fuchsiaspring/node/store_version.h"
#include "fuchsiaspring/relay/upstream_channel.h"
#include "platform/store.h"

namespace fuchsiaspring::node_app {

// Bytes of one response of the service.
inline constexpr std::size_t max_response_bytes = 8U << 20U;
// Bytes of what is kept of all responses to one read. Several thousand replicas and routes fit, and
// the smallest VM has memory for it. What entries of other writers contain is not kept, so that it
// does not use up this bound.
inline constexpr std::size_t max_content_bytes = 8U << 20U;
// Longest pause of the service inside a read.
inline constexpr base::duration service_timeout = std::chrono::milliseconds(900);

struct listing {
  fleet::content_map content;   // of the range only
  node::store_version version;  // of the service at the time of the first response
};

class store_lister {
 public:
  using handler = std::function<void(base::result<listing>)>;

  store_lister(node_context& context, std::string_view prefix, fleet::key_range range,
               handler on_done);
  ~store_lister();
  store_lister(const store_lister&) = delete;
  store_lister& operator=(const store_lister&) = delete;
  store_lister(store_lister&&) = delete;
  store_lister& operator=(store_lister&&) = delete;

  void start(base::time_point deadline);

 private:
  void request_page();
  void on_event(const relay::channel_event& event);
  void on_body(std::string_view bytes);
  void on_page();
  void wait();
  void finish(base::result<listing> result);

  node_context& m_context;
  std::string m_prefix;
  fleet::key_range m_range;
  handler m_on_done;
  boost::asio::steady_timer m_timer;
  std::shared_ptr<relay::upstream_channel> m_channel;
  base::time_point m_progress_at{};
  base::time_point m_deadline{};
  std::string m_last_key;  // of the pages read so far
  relay::response_head m_head;
  std::string m_body;
  listing m_listing;
  std::size_t m_pages = 0;
  std::size_t m_content_bytes = 0;
  // A timer that has expired calls its handler also after it was destroyed.
  std::shared_ptr<bool> m_is_alive = std::make_shared<bool>(true);
};

}  // namespace fuchsiaspring::node_app
