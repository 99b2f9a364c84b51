#include "fuchsiaspring/transport/messenger.h"

#include <nng/nng.h>
#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <poll.h>

#include <fstream>
#include <utility>

#include "fuchsiaspring/base/digest.h"

namespace fuchsiaspring::transport {
namespace {

constexpr std::uint32_t protocol_version = 1;
constexpr std::size_t min_key_characters = 16;
constexpr int send_buffer_messages = 256;
constexpr int receive_buffer_messages = 1024;
constexpr nng_duration reconnect_min_ms = 10;
constexpr nng_duration reconnect_max_ms = 250;
// A bundle holds up to 1 MB; the rest is room for the envelope.
constexpr std::size_t max_message_bytes = 4U << 20U;

nng_socket make_socket(std::uint32_t id) {
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  socket.id = id;
  return socket;
}

// nng 1.5.2 crashes or hangs when threads of one process open and close sockets at the same time.
std::mutex& socket_lifecycle_mutex() {
  static std::mutex mutex;
  return mutex;
}

std::string tcp_url(const std::string& address) {
  return "tcp://" + address;
}

}  // namespace

struct messenger::link {
  explicit link(nng_socket opened) : socket(opened) {}
  link(const link&) = delete;
  link& operator=(const link&) = delete;
  link(link&&) = delete;
  link& operator=(link&&) = delete;
  ~link() {
    const std::lock_guard lock(socket_lifecycle_mutex());
    nng_close(socket);
  }

  nng_socket socket;
  std::optional<base::time_point> full_since;
};

messenger::messenger(messenger_options options)
    : m_options(std::move(options)), m_incarnation(base::wall_clock_ms()) {}

messenger::~messenger() {
  m_links.clear();
  if (m_pull_socket_id != 0) {
    const std::lock_guard lock(socket_lifecycle_mutex());
    nng_close(make_socket(m_pull_socket_id));
  }
}

base::result<std::unique_ptr<messenger>> messenger::open(messenger_options options) {
  if (options.keys.empty()) {
    return base::error{base::error_code::invalid_argument, "no shared key is configured"};
  }
  std::unique_ptr<messenger> opened(new messenger(std::move(options)));
  const std::lock_guard lock(socket_lifecycle_mutex());
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (int status = nng_pull0_open(&socket); status != 0) {
    return base::error{base::error_code::internal, nng_strerror(status)};
  }
  opened->m_pull_socket_id = socket.id;
  nng_socket_set_int(socket, NNG_OPT_RECVBUF, receive_buffer_messages);
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, max_message_bytes);
  if (int status = nng_socket_get_int(socket, NNG_OPT_RECVFD, &opened->m_receive_descriptor);
      status != 0) {
    return base::error{base::error_code::internal, nng_strerror(status)};
  }
  const std::string url = tcp_url(opened->m_options.listen_address);
  if (int status = nng_listen(socket, url.c_str(), nullptr, 0); status != 0) {
    return base::error{base::error_code::unavailable,
                       "cannot listen on " + url + ": " + nng_strerror(status)};
  }
  return opened;
}

messenger::link* messenger::find_or_dial(const std::string& address) {
  auto& entry = m_links[address];
  if (entry) {
    return entry.get();
  }
  const std::lock_guard lock(socket_lifecycle_mutex());
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0) {
    return nullptr;
  }
  entry = std::make_unique<link>(socket);
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, send_buffer_messages);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, reconnect_min_ms);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, reconnect_max_ms);
  nng_socket_set_bool(socket, NNG_OPT_TCP_NODELAY, true);
  nng_dial(socket, tcp_url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK);
  return entry.get();
}

bool messenger::send(const std::string& address, schema::Envelope envelope) {
  envelope.set_protocol_version(protocol_version);
  envelope.set_sender(m_options.name);
  envelope.set_reply_address(m_options.listen_address);
  envelope.set_incarnation(m_incarnation);
  envelope.set_sequence(++m_sequence);
  envelope.set_sent_at_ms(base::wall_clock_ms());
  schema::SignedEnvelope signed_envelope;
  envelope.SerializeToString(signed_envelope.mutable_envelope());
  signed_envelope.set_mac(base::hmac_sha256(m_options.keys.front(), signed_envelope.envelope()));
  std::string bytes = signed_envelope.SerializeAsString();

  const std::lock_guard lock(m_mutex);
  link* destination = find_or_dial(address);
  if (destination == nullptr) {
    ++m_counts.send_dropped;
    return false;
  }
  if (nng_send(destination->socket, bytes.data(), bytes.size(), NNG_FLAG_NONBLOCK) == 0) {
    destination->full_since.reset();
    ++m_counts.sent;
    return true;
  }
  ++m_counts.send_dropped;
  // A buffer that stays full means an unreachable peer or a dead connection. Replacing the link
  // also discards the buffered messages, which are outdated by then.
  const base::time_point now = base::boot_clock::now();
  if (!destination->full_since) {
    destination->full_since = now;
  } else if (now - *destination->full_since > m_options.full_link_timeout) {
    m_links.erase(address);
    ++m_counts.links_replaced;
  }
  return false;
}

std::optional<schema::Envelope> messenger::receive(base::duration timeout) {
  const nng_socket socket = make_socket(m_pull_socket_id);
  const base::time_point deadline = base::boot_clock::now() + timeout;
  while (true) {
    char* data = nullptr;
    std::size_t size = 0;
    if (nng_recv(socket, &data, &size, NNG_FLAG_ALLOC | NNG_FLAG_NONBLOCK) != 0) {
      // An nng receive timeout wakes all expiry threads of nng: an idle process that receives with
      // a timeout of 5 ms uses a fifth of a core. poll() uses no processor time while it blocks.
      const auto remaining_ms = base::to_milliseconds(deadline - base::boot_clock::now());
      pollfd readable{.fd = m_receive_descriptor, .events = POLLIN, .revents = 0};
      if (remaining_ms == 0 || ::poll(&readable, 1, static_cast<int>(remaining_ms)) <= 0) {
        return std::nullopt;
      }
      continue;
    }
    auto envelope = verify(data, size);
    nng_free(data, size);
    if (envelope) {
      return envelope;
    }
  }
}

std::optional<schema::Envelope> messenger::verify(const char* data, std::size_t size) {
  schema::SignedEnvelope signed_envelope;
  schema::Envelope envelope;
  if (!signed_envelope.ParseFromArray(data, static_cast<int>(size))) {
    const std::lock_guard lock(m_mutex);
    ++m_counts.rejected_format;
    return std::nullopt;
  }
  bool verified = false;
  for (const std::string& key : m_options.keys) {
    const std::string expected = base::hmac_sha256(key, signed_envelope.envelope());
    verified = verified || base::constant_time_equal(expected, signed_envelope.mac());
  }
  const bool parsed = verified && envelope.ParseFromString(signed_envelope.envelope()) &&
                      envelope.protocol_version() == protocol_version;
  const std::lock_guard lock(m_mutex);
  if (!verified) {
    ++m_counts.rejected_mac;
    return std::nullopt;
  }
  if (!parsed) {
    ++m_counts.rejected_format;
    return std::nullopt;
  }
  ++m_counts.received;
  m_last_received[envelope.reply_address()] = base::boot_clock::now();
  return envelope;
}

void messenger::replace_link(const std::string& address) {
  const std::lock_guard lock(m_mutex);
  if (m_links.erase(address) > 0) {
    ++m_counts.links_replaced;
  }
}

std::optional<base::time_point> messenger::last_received(const std::string& address) const {
  const std::lock_guard lock(m_mutex);
  const auto found = m_last_received.find(address);
  if (found == m_last_received.end()) {
    return std::nullopt;
  }
  return found->second;
}

messenger_counts messenger::counts() const {
  const std::lock_guard lock(m_mutex);
  return m_counts;
}

base::result<std::vector<std::string>> read_key_file(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return base::error{base::error_code::not_found, "cannot read the key file " + path};
  }
  std::vector<std::string> keys;
  std::string line;
  while (std::getline(file, line)) {
    if (line.empty()) {
      continue;
    }
    if (line.size() < min_key_characters) {
      return base::error{base::error_code::invalid_argument,
                         "a key in " + path + " has fewer than 16 characters"};
    }
    keys.push_back(line);
  }
  if (keys.empty()) {
    return base::error{base::error_code::invalid_argument, "no shared key in " + path};
  }
  return keys;
}

}  // namespace fuchsiaspring::transport
