// Reads the whole configuration with the help of other nodes, each of which reads a range of the
// list of replicas. See docs/design/config-reading.md.
//
//   range_reader reader(context);
//   reader.read(peers.self(), peers.live(now), [](base::result<listing> result) { ... });
//
// A range whose node gives no answer in time is read by this node. The result contains all ranges
// or is a failure. One read runs at a time; cancel() or a new read ends it without a result.
#pragma once

#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "apps/node/node_context.h"
#include "apps/node/store_lister.h"
#include "fuchsiaspring/fleet/peer_directory.h"
#include "fuchsiaspring/fleet/range_plan.h"

namespace fuchsiaspring::node_app {

class range_reader {
 public:
  using handler = std::function<void(base::result<listing>)>;

  explicit range_reader(node_context& context);
  ~range_reader() { cancel(); }
  range_reader(const range_reader&) = delete;
  range_reader& operator=(const range_reader&) = delete;
  range_reader(range_reader&&) = delete;
  range_reader& operator=(range_reader&&) = delete;

  // Whether the known list is long and another node of the domain can read a part of it.
  bool can_divide(const fleet::peer_info& self, const std::vector<fleet::peer_info>& live) const;

  void read(const fleet::peer_info& self, const std::vector<fleet::peer_info>& live,
            base::time_point deadline, handler on_done);
  void cancel();

 private:
  // A range of the current read.
  struct part {
    fleet::key_range range;
    fleet::content_map known;
    std::string address;  // of the node that reads it; empty: this node
    std::shared_ptr<relay::upstream_channel> channel;
    unsigned status = 0;
    std::string body;
    std::optional<fleet::content_map> content;
  };

  std::vector<std::string> member_addresses(const fleet::peer_info& self,
                                            const std::vector<fleet::peer_info>& live,
                                            std::size_t ranges) const;
  void request_part(std::size_t index);
  void on_event(std::size_t index, const relay::channel_event& event);
  void on_response(std::size_t index);
  void on_part_failed(std::size_t index, const std::string& detail);
  void on_part_timeout();
  void read_next_own();
  void on_part_read(std::size_t index, fleet::content_map content,
                    const node::store_version& version);
  // Adopts the version of a part. Returns false, and ends the read, if it is of another era.
  bool add_version(const node::store_version& version);
  void finish_if_complete();
  void fail(const base::error& cause);

  node_context& m_context;
  fleet::range_division m_division;
  boost::asio::steady_timer m_part_timer;
  std::uint64_t m_read = 0;  // number of the current read
  handler m_on_done;
  base::time_point m_deadline{};
  std::vector<part> m_parts;
  std::optional<fleet::content_map> m_operator_content;
  std::optional<node::store_version> m_version;  // the least of all parts
  std::unique_ptr<store_lister> m_operator_lister;
  std::unique_ptr<store_lister> m_own_lister;
  std::deque<std::size_t> m_own_parts;  // that wait for m_own_lister
  std::map<std::string, base::time_point> m_failed_addresses;
  std::map<std::string, std::shared_ptr<relay::upstream_channel>> m_idle_channels;
};

}  // namespace fuchsiaspring::node_app
