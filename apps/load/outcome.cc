#include "apps/load/outcome.h"

#include <numeric>

namespace fuchsiaspring::load {
namespace {

bool within(double value, std::uint32_t target) {
  return target == 0 || value <= static_cast<double>(target);
}

}  // namespace

std::string to_string(outcome_kind kind) {
  switch (kind) {
    case outcome_kind::ok:
      return "ok";
    case outcome_kind::refused:
      return "refused";
    case outcome_kind::rejected:
      return "rejected";
    case outcome_kind::failed:
      return "failed";
    case outcome_kind::cut:
      return "cut";
    case outcome_kind::corrupt:
      return "corrupt";
    case outcome_kind::unreachable:
      return "unreachable";
    case outcome_kind::lost:
      return "lost";
    case outcome_kind::timed_out:
      return "timed_out";
  }
  return "unknown";
}

bool meets_targets(const request_outcome& outcome, const mix_entry& entry) {
  if (outcome.kind != outcome_kind::ok) {
    return false;
  }
  const double sum = std::accumulate(outcome.gaps_ms.begin(), outcome.gaps_ms.end(), 0.0);
  const double mean =
      outcome.gaps_ms.empty() ? 0 : sum / static_cast<double>(outcome.gaps_ms.size());
  return within(outcome.first_token_ms, entry.first_token_ms) &&
         within(mean, entry.between_tokens_ms) && within(outcome.total_ms, entry.total_ms);
}

}  // namespace fuchsiaspring::load
