// Authenticated messages between the processes of the system, over nng push and pull sockets.
//
//   auto opened = transport::messenger::open({.name = "vm1/agent",
//                                             .listen_address = "10.0.0.1:7301",
//                                             .keys = {key}});
//   auto& link = *opened.value();
//   link.send("10.0.0.2:7301", envelope);
//   if (auto received = link.receive(std::chrono::milliseconds(20))) { handle(*received); }
//
// Messages are one-way and may be lost, delayed or duplicated; the body of a reply contains the id
// of its request. Every message carries an HMAC-SHA256; one that does not verify is dropped and
// counted.
//
// send() may be called from any thread and never blocks. Only one thread may call receive().
#pragma once

#include <messages.pb.h>

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "fuchsiaspring/base/result.h"
#include "fuchsiaspring/base/time.h"

namespace fuchsiaspring::transport {

struct messenger_options {
  std::string name;            // VM name and part, such as "vm1/agent"
  std::string listen_address;  // ip:port on which this process receives
  // Shared keys. The first signs; all are accepted, so that a key can be rotated.
  std::vector<std::string> keys;
  // A link whose send buffer stays full for longer than this is replaced by a new connection.
  base::duration full_link_timeout = std::chrono::seconds(3);
};

// Messages since open(), by outcome.
struct messenger_counts {
  std::uint64_t sent = 0;
  std::uint64_t send_dropped = 0;  // the link's buffer was full
  std::uint64_t received = 0;
  std::uint64_t rejected_mac = 0;     // the signature did not verify
  std::uint64_t rejected_format = 0;  // not a message of this protocol
  std::uint64_t links_replaced = 0;

  friend auto operator<=>(const messenger_counts&, const messenger_counts&) = default;
};

class messenger {
 public:
  // Listens on `listen_address`. Errors: invalid_argument for a missing key, unavailable when the
  // address cannot be bound.
  static base::result<std::unique_ptr<messenger>> open(messenger_options options);

  messenger(const messenger&) = delete;
  messenger& operator=(const messenger&) = delete;
  messenger(messenger&&) = delete;
  messenger& operator=(messenger&&) = delete;
  ~messenger();

  // Sends `envelope` to the process at `address`, filling in sender, incarnation and sequence.
  // Returns false when the message is dropped because the link's buffer is full.
  bool send(const std::string& address, schema::Envelope envelope);

  // The next verified message, or nothing after `timeout`.
  std::optional<schema::Envelope> receive(base::duration timeout);

  // Closes the connection to `address`; the next send opens a new one.
  void replace_link(const std::string& address);

  // Time at which the last verified message with this reply address arrived.
  std::optional<base::time_point> last_received(const std::string& address) const;

  messenger_counts counts() const;
  std::uint64_t incarnation() const { return m_incarnation; }
  const std::string& name() const { return m_options.name; }
  const std::string& listen_address() const { return m_options.listen_address; }

 private:
  struct link;

  explicit messenger(messenger_options options);
  link* find_or_dial(const std::string& address);
  std::optional<schema::Envelope> verify(const char* data, std::size_t size);

  const messenger_options m_options;
  const std::uint64_t m_incarnation;
  std::uint32_t m_pull_socket_id = 0;
  int m_receive_descriptor = -1;  // readable while messages are queued; owned by nng
  std::atomic<std::uint64_t> m_sequence{0};
  mutable std::mutex m_mutex;  // guards the members below
  std::map<std::string, std::unique_ptr<link>> m_links;
  std::map<std::string, base::time_point> m_last_received;
  messenger_counts m_counts;
};

// Reads the shared keys from `path`: one key per line, the first one signs. Errors: not_found,
// invalid_argument for an empty file or a key of fewer than 16 characters.
base::result<std::vector<std::string>> read_key_file(const std::string& path);

}  // namespace fuchsiaspring::transport
