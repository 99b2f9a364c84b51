// Tells replicas that have ended from connections that broke for another reason.
//
// A broken response alone proves little: a replica may truncate a response, reset a connection or
// be cut off. Some milliseconds after attempts at a replica broke, the detector connects to its
// address. If the connection is refused, the replica has ended, and the parts of the prompts that
// it had got or just begun to answer are reported as suspects.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "apps/node/node_context.h"
#include "fuchsiaspring/placement/types.h"
#include "fuchsiaspring/quarantine/part_quarantine.h"

namespace fuchsiaspring::node_app {

class crash_detector {
 public:
  using crash_handler = std::function<void(const quarantine::crash_report&)>;

  crash_detector(node_context& context, crash_handler on_crash);
  ~crash_detector();
  crash_detector(const crash_detector&) = delete;
  crash_detector& operator=(const crash_detector&) = delete;
  crash_detector(crash_detector&&) = delete;
  crash_detector& operator=(crash_detector&&) = delete;

  // The connection of an attempt ended in the middle of the exchange. `suspects` are the shared
  // parts of its prompt, and empty if the response had begun some time before.
  void on_attempt_broken(const placement::choice& chosen,
                         const std::vector<quarantine::suspect>& suspects);

 private:
  struct check;

  void connect(const std::string& replica_id, const std::shared_ptr<check>& pending);
  void on_result(const std::string& replica_id, const std::shared_ptr<check>& pending,
                 const boost::system::error_code& result);

  node_context& m_context;
  crash_handler m_on_crash;
  std::map<std::string, std::shared_ptr<check>> m_checks;  // by replica
};

}  // namespace fuchsiaspring::node_app
