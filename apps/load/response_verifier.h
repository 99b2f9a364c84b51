// Verifies that a response of the engine stand-in is complete and belongs to its request.
//
//   response_verifier verifier;
//   verifier.add_event(event.data);                  // for each event of a stream
//   verifier.verdict(request_id_header);             // complete, incomplete, failed or corrupt
//
// Word i of n of the response to request R is "R.i/n ". Not thread-safe.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace fuchsiaspring::load {

enum class response_verdict {
  complete,
  incomplete,  // ended without [DONE], which the caller can detect
  failed,      // contains an error event
  corrupt,     // wrong content, or words missing before [DONE]
};

// Whether an added event contained words of the response.
enum class event_result { has_words, no_words };

class response_verifier {
 public:
  event_result add_event(std::string_view data);

  // Adds the whole body of a response that was not streamed.
  void add_body(std::string_view body);

  // `request_id` is the X-Request-Id header of the response.
  response_verdict verdict(const std::string& request_id) const;

  // The first fault found, or an empty string.
  const std::string& fault() const { return m_fault; }
  std::uint32_t words() const { return m_words; }

 private:
  void add_text(std::string_view text);
  void add_word(std::string_view word);
  void record_fault(std::string fault);

  std::string m_response_id;  // "id" of the chunks
  std::string m_request_id;   // named by the words
  std::string m_fault;
  std::string m_partial_word;
  std::uint32_t m_words = 0;
  std::uint32_t m_expected_words = 0;
  bool m_done = false;
  bool m_failed = false;
};

}  // namespace fuchsiaspring::load
