#include "fuchsiaspring/placement/types.h"

#include "fuchsiaspring/base/hash.h"

namespace fuchsiaspring::placement {

std::string_view to_string(no_choice_reason reason) {
  switch (reason) {
    case no_choice_reason::unknown_service:
      return "unknown_service";
    case no_choice_reason::no_replica:
      return "no_replica";
    case no_choice_reason::all_busy:
      return "all_busy";
  }
  return "unknown";
}

std::string_view to_string(outcome result) {
  switch (result) {
    case outcome::answered:
      return "answered";
    case outcome::server_error:
      return "server_error";
    case outcome::rejected:
      return "rejected";
    case outcome::replaced:
      return "replaced";
    case outcome::not_connected:
      return "not_connected";
    case outcome::broken:
      return "broken";
    case outcome::silent:
      return "silent";
    case outcome::cancelled:
      return "cancelled";
    case outcome::held:
      return "held";
  }
  return "unknown";
}

std::uint32_t hash_replica_id(std::string_view replica_id) {
  return static_cast<std::uint32_t>(base::hash64(replica_id));
}

}  // namespace fuchsiaspring::placement
