// The bytes of a replica's response in a soak test, in parts with pauses between them.
//
//   const replica_response response = make_success(request_kind::stream, "r-1", 0);
//   std::vector<response_part> parts = split_into_parts(response, random);
//   add_pause(parts, response.head().size(), random);
#pragma once

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

#include "deploy/soak/invariant_checker.h"
#include "fuchsiaspring/base/random.h"

namespace fuchsiaspring::soak {

struct replica_response {
  std::string status = "200 OK";
  std::string id;                 // of the request; empty: the response does not name it
  std::string headers;            // further header lines
  std::vector<std::string> body;  // the events of a stream, or one piece

  std::string head() const;
  std::string bytes() const;

  friend bool operator==(const replica_response&, const replica_response&) = default;
};

struct response_part {
  std::string bytes;
  std::chrono::milliseconds pause_before{};

  friend bool operator==(const response_part&, const response_part&) = default;
};

// Streams begin behind `last_event_id`.
replica_response make_success(bool is_stream, const std::string& id, int last_event_id);

// The head and the first piece, then each further piece after a short time.
std::vector<response_part> split_into_parts(const replica_response& response,
                                            base::random_source& random);

// Longest time that a sound response pauses, in all.
constexpr std::chrono::milliseconds longest_pause{2500};

// 0.5 s to `longest_pause`.
std::chrono::milliseconds random_pause(base::random_source& random);

// Adds a pause before the head, inside it, between or inside the body's pieces, or before the last
// byte.
void add_pause(std::vector<response_part>& parts, std::size_t head_size,
               std::chrono::milliseconds pause, base::random_source& random);

// The first `size` bytes of the parts.
std::vector<response_part> truncate(const std::vector<response_part>& parts, std::size_t size);

}  // namespace fuchsiaspring::soak
