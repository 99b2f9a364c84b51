// One request of the load generator as a libcurl transfer.
//
// Owned by the worker thread that runs its multi handle; not thread-safe.
#pragma once

#include <curl/curl.h>

#include <memory>
#include <string>

#include "apps/load/answer_verifier.h"
#include "apps/load/load_plan.h"
#include "apps/load/outcome.h"
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

  // After a refused connection: turns to the next target. False when failover is off or every
  // target has been tried. Nothing of the request has been sent at that point.
  bool turn_to_next_target();

  std::size_t target() const { return m_arrival.target; }

  // The outcome after libcurl has ended the transfer with `code`.
  request_outcome finish(CURLcode code);

 private:
  static std::size_t on_body(char* data, std::size_t size, std::size_t count, void* context);
  static std::size_t on_header(char* data, std::size_t size, std::size_t count, void* context);

  void set_options();
  void take_body(std::string_view data);
  void take_header(std::string_view line);
  void take_event(const event_stream::stream_event& event);
  void classify(CURLcode code);
  void classify_answer();
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
  std::string m_body;  // of answers that are not streamed
  bool m_is_event_stream = false;
  event_stream::event_splitter m_splitter;
  answer_verifier m_verifier;
  double m_last_token_ms = 0;
  request_outcome m_outcome;
};

}  // namespace fuchsiaspring::load
