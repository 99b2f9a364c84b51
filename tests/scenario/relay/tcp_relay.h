// TCP relay that injects network faults into one link of a scenario.
//
//   tcp_relay relay;
//   relay.start("127.0.4.1", 22530, "127.0.2.1", 22510);
//   relay.set_held(direction::forward, "", true);   // holds all bytes to the target
//   relay.silence("");                              // stops open connections, new ones work
//
// `sender` restricts a fault to connections whose first bytes contain "SENDER/", as those of every
// program of that VM do; an empty sender selects all connections. Held and delayed bytes are queued
// and delivered later, as TCP retransmission would do. Connecting to the relay succeeds even while
// its link is held, because the kernel accepts the connection.
//
// Thread-safe.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <map>
#include <mutex>
#include <string>
#include <thread>

namespace fuchsiaspring::scenario {

enum class direction { forward, backward };

class tcp_relay {
 public:
  tcp_relay() = default;
  tcp_relay(const tcp_relay&) = delete;
  tcp_relay& operator=(const tcp_relay&) = delete;
  tcp_relay(tcp_relay&&) = delete;
  tcp_relay& operator=(tcp_relay&&) = delete;
  ~tcp_relay();

  // Listens and starts the relay thread. Returns false if the address cannot be bound.
  bool start(const std::string& listen_ip, std::uint16_t listen_port, const std::string& target_ip,
             std::uint16_t target_port);

  // Holds all bytes of one direction, or releases them.
  void set_held(direction towards, const std::string& sender, bool held);

  // Delays the bytes of both directions.
  void set_delay(const std::string& sender, std::chrono::milliseconds delay);

  // Resets the open connections, and every new one until dropping is set to false.
  void set_dropping(const std::string& sender, bool dropping);

  // Permanently stops forwarding on the connections that are open now, without closing them.
  void silence(const std::string& sender);

  // Removes all faults of `sender`; silenced connections stay silent.
  void restore(const std::string& sender);

  std::size_t open_connections();

 private:
  using clock = std::chrono::steady_clock;

  struct chunk {
    clock::time_point arrived;
    std::string bytes;
  };
  // One direction of a connection.
  struct pipe {
    int source = -1;
    int sink = -1;
    std::deque<chunk> chunks;
    std::size_t queued = 0;
    bool source_ended = false;
    bool sink_closed = false;
  };
  struct connection {
    pipe forward;
    pipe backward;
    std::string first_bytes;
    std::string sender;  // empty until it is known
    bool silenced = false;
    bool ended = false;
  };
  struct faults {
    bool hold_forward = false;
    bool hold_backward = false;
    bool dropping = false;
    std::chrono::milliseconds delay{0};
  };

  void run();
  void accept_all();
  void forward_bytes(connection& entry);
  void identify_sender(connection& entry);
  faults faults_of(const connection& entry) const;
  static void read_source(pipe& flow, std::string* first_bytes);
  static void write_sink(pipe& flow, bool held, std::chrono::milliseconds delay);
  static void close_connection(connection& entry, bool reset);

  std::string m_target_ip;
  std::uint16_t m_target_port = 0;
  int m_listener = -1;
  std::thread m_thread;
  std::atomic<bool> m_stopping{false};
  std::mutex m_mutex;                      // guards the members below
  std::map<std::string, faults> m_faults;  // by sender
  std::list<connection> m_connections;
};

}  // namespace fuchsiaspring::scenario
