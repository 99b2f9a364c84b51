#include "fuchsiaspring/admission/admission_queue.h"

namespace fuchsiaspring::admission {

std::string_view to_string(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::queue_full:
      return "queue_full";
    case refusal_reason::displaced:
      return "displaced";
    case refusal_reason::deadline_unreachable:
      return "deadline_unreachable";
    case refusal_reason::unknown_class:
      return "unknown_class";
    case refusal_reason::unknown_team:
      return "unknown_team";
  }
  return "queue_full";
}

std::string_view to_string(dispatch_rule rule) {
  switch (rule) {
    case dispatch_rule::floor:
      return "floor";
    case dispatch_rule::guarantee:
      return "guarantee";
    case dispatch_rule::surplus:
      return "surplus";
  }
  return "surplus";
}

}  // namespace fuchsiaspring::admission
