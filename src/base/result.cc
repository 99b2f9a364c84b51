#include "fuchsiaspring/base/result.h"

namespace fuchsiaspring::base {

std::string_view to_string(error_code code) {
  switch (code) {
    case error_code::invalid_argument:
      return "invalid_argument";
    case error_code::not_found:
      return "not_found";
    case error_code::unavailable:
      return "unavailable";
    case error_code::timed_out:
      return "timed_out";
    case error_code::unauthenticated:
      return "unauthenticated";
    case error_code::failed_precondition:
      return "failed_precondition";
    case error_code::cancelled:
      return "cancelled";
    case error_code::internal:
      return "internal";
  }
  return "internal";
}

}  // namespace fuchsiaspring::base
