// Reads bundle and VM list from the configuration service, each in a thread of its own.
//
//   service_reader reader({.url = "http://10.0.0.3:8080", .wait = seconds(30)}, deliver);
//   reader.set_watching(true);       // keeps a long poll open for each value
//   reader.request_read();           // or reads both once
//
// Every response is passed to `deliver`, also one without a newer value (an empty reply), since it
// shows that the service is reachable. All functions are thread-safe.
#pragma once

#include <messages.pb.h>

#include <atomic>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <string>
#include <thread>

#include "fuchsiaspring/base/random.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/http/upstream_transfer.h"

namespace fuchsiaspring::agent {

struct service_reader_options {
  std::string url;      // base URL of the service
  base::duration wait;  // longest wait of one watch call
  std::uint64_t seed = 0;
};

struct service_counts {
  std::uint64_t calls = 0;
  std::uint64_t failed = 0;

  friend auto operator<=>(const service_counts&, const service_counts&) = default;
};

class service_reader {
 public:
  // Called from the reader's threads with a BundleReply or VmListReply.
  using delivery = std::function<void(schema::Envelope)>;

  service_reader(service_reader_options options, delivery deliver);
  service_reader(const service_reader&) = delete;
  service_reader& operator=(const service_reader&) = delete;
  service_reader(service_reader&&) = delete;
  service_reader& operator=(service_reader&&) = delete;
  // Cancels open calls.
  ~service_reader();

  void set_watching(bool watching);
  void request_read();
  // Sets what the agent has, so that the service returns only newer values.
  void set_known_versions(std::uint64_t bundle_revision, std::uint64_t list_version);

  service_counts counts() const { return {m_calls.load(), m_failed.load()}; }

 private:
  // The bundle or the VM list, and the state of its reads.
  struct watched_resource {
    const char* path = "";
    bool is_bundle = false;
    std::uint64_t known_version = 0;
    bool read_requested = false;
    http::upstream_transfer* active_transfer = nullptr;
    std::thread thread;
  };

  void run(watched_resource& resource, std::uint64_t seed);
  bool read_once(watched_resource& resource, std::uint64_t after, base::duration wait);

  const service_reader_options m_options;
  const delivery m_deliver;
  http::transfer_pool m_pool;
  std::atomic<std::uint64_t> m_calls{0};
  std::atomic<std::uint64_t> m_failed{0};
  std::mutex m_mutex;  // guards the members below
  std::condition_variable m_changed;
  bool m_watching = false;
  bool m_stopping = false;
  watched_resource m_bundle;
  watched_resource m_list;
};

}  // namespace fuchsiaspring::agent
