// Relays one streamed response from an engine to the caller.
#pragma once

#include <memory>
#include <optional>
#include <span>
#include <string>

#include "apps/gateway/request_record.h"
#include "apps/gateway/stream_validator.h"
#include "fuchsiaspring/event_stream/event_splitter.h"
#include "fuchsiaspring/http/http_server.h"
#include "fuchsiaspring/http/upstream_transfer.h"

namespace fuchsiaspring::gateway {

// Why a stream ended before its end marker.
struct stream_failure {
  std::string reason;  // label of the counter
  std::string message;

  friend auto operator<=>(const stream_failure&, const stream_failure&) = default;
};

// The body of a streamed response. Only complete events are relayed. When the stream fails, the
// caller receives an error event, no end marker, and a closed connection, so that no client
// mistakes the response for complete.
class stream_relay : public http::body_stream {
 public:
  stream_relay(std::unique_ptr<request_record> record,
               std::unique_ptr<http::upstream_transfer> transfer);
  stream_relay(const stream_relay&) = delete;
  stream_relay& operator=(const stream_relay&) = delete;
  stream_relay(stream_relay&&) = delete;
  stream_relay& operator=(stream_relay&&) = delete;
  ~stream_relay() override;

  // Waits for the first event, before the response to the caller starts. A failure leaves the
  // record open for a retry; release_record() returns it.
  std::optional<stream_failure> wait_for_first_event();
  std::unique_ptr<request_record> release_record();

  http::stream_read read(std::span<char> buffer) override;

 private:
  // Appends the next events to the output or sets m_failure or m_done.
  void read_events();
  void process_events();
  stream_failure to_failure(const base::error& error) const;

  std::unique_ptr<request_record> m_record;
  std::unique_ptr<http::upstream_transfer> m_transfer;
  event_stream::event_splitter m_splitter;
  stream_validator m_validator;
  std::string m_output;
  std::size_t m_offset = 0;
  bool m_done = false;
  bool m_end_reported = false;  // on_finished() or on_failed() of the record was called
  std::optional<stream_failure> m_failure;
};

}  // namespace fuchsiaspring::gateway
