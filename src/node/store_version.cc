#include "fuchsiaspring/node/store_version.h"

namespace fuchsiaspring::node {

answer_order compare(const std::optional<proved_version>& held, const proved_version& answer) {
  if (!held) {
    return answer_order::follows;
  }
  const store_version version = adopted_version(held, answer.version);
  const base::duration later_by = answer.proved_at - held->proved_at;
  const bool is_other_era = held->version.era && version.era != held->version.era;
  if (is_other_era && version > held->version) {
    return later_by < -late_answer_time ? answer_order::older : answer_order::returned;
  }
  if (!is_other_era && version.revision >= held->version.revision) {
    return answer_order::follows;
  }
  // The first stated era, with a fallen revision, is that of a service that has just come back.
  const bool is_first_era = !held->version.era && version.era;
  if (is_first_era) {
    return answer_order::returned;
  }
  return later_by > late_answer_time ? answer_order::renumbered : answer_order::older;
}

store_version adopted_version(const std::optional<proved_version>& held,
                              const store_version& answer) {
  if (answer.era || !held) {
    return answer;
  }
  return {.era = held->version.era, .revision = answer.revision};
}

}  // namespace fuchsiaspring::node
