// One request of the load generator as a libcurl transfer.
//
// Owned by the worker thread that runs its multi handle; not thread-safe.
#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

#include "apps/load/load_plan.h"
#include "apps/load/outcome.h"
#include "apps/load/response_verifier.h"
#include "fuchsiaspring/base/time.h"
#include "fuchsiaspring/event_stream/event_splitter.h"

namespace fuchsiaspring::load {

class transfer {
 public:
  // `plan` must outlive the transfer. `scheduled` is the time of the arrival.
  transfer(const load_plan& plan, arrival planned, base::time_point scheduled);
  ~transfer();
  transfer(const transfer&) = delete;
  transfer& operator=(const transfer&) = delete;
  transfer(transfer&&) = delete;
  transfer& operator=(transfer&&) = delete;

  CURL* handle() const { return m_handle; }

  // After a refused connection, when nothing of the request has been sent: selects the next target.
  // Returns false if failover is off or every target has been tried.
  bool fail_over();

  std::size_t target() const { return m_arrival.target; }

  // Returns the outcome of a transfer that libcurl has ended with `code`. Call it once.
  request_outcome finish(CURLcode code);

 private:
  static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* context);
  static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* context);

  void set_options();
  void handle_body(std::string_view data);
  void handle_header(std::string_view line);
  void handle_event(const event_stream::stream_event& event);
  void classify(CURLcode code);
  void classify_response();
  void classify_error();
  double elapsed_ms() const;

  const load_plan& m_plan;
  const mix_entry& m_entry;
  arrival m_arrival;
  base::time_point m_scheduled;
  std::size_t m_targets_tried = 1;
  CURL* m_handle;
  curl_slist* m_headers = nullptr;
  std::string m_request_body;
  std::string m_body;  // of a response that is not streamed
  bool m_is_event_stream = false;
  event_stream::event_splitter m_splitter;
  response_verifier m_verifier;
  double m_last_token_ms = 0;
  request_outcome m_outcome;
};

}  // namespace fuchsiaspring::load
