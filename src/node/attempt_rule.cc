#include "fuchsiaspring/node/attempt_rule.h"

namespace fuchsiaspring::node {
namespace {

// Dispatches of one request, including those that upstreams rejected without running them: every
// repeated dispatch draws on the retry budget that the whole fleet shares.
constexpr std::uint32_t max_dispatches = 4;

// The next step of a request whose response has begun.
next_step continue_response(const request_progress& progress, bool has_budget) {
  // The number of rejections does not end a response that the router gave up; its retries are
  // spaced out, and the retry budget bounds them.
  const bool may_dispatch = progress.dispatches < max_dispatches || progress.has_given_up_attempt;
  const bool may_run_again = progress.is_resumable && progress.has_time && may_dispatch &&
                             progress.runs < progress.max_runs;
  if (!may_run_again) {
    return next_step::break_off;
  }
  if (progress.is_permitted && has_budget) {
    return next_step::resume;
  }
  // A replica that broke off ends the response at once, so that the caller can go on elsewhere. The
  // router's own decision does not cost the caller a response as long as it can be completed.
  const bool may_be_permitted = progress.is_permitted || progress.is_config_outdated;
  return progress.has_given_up_attempt && may_be_permitted ? next_step::wait : next_step::break_off;
}

}  // namespace

std::string_view to_string(next_step step) {
  switch (step) {
    case next_step::try_again:
      return "try_again";
    case next_step::resume:
      return "resume";
    case next_step::wait:
      return "wait";
    case next_step::pass_failure:
      return "pass_failure";
    case next_step::refuse:
      return "refuse";
    case next_step::fail:
      return "fail";
    case next_step::break_off:
      return "break_off";
  }
  return "unknown";
}

bool promises_no_run(unsigned status) {
  return status == 408 || status == 429 || status == 503;
}

bool may_have_run(placement::outcome attempt_outcome, bool was_sent) {
  return was_sent && attempt_outcome != placement::outcome::rejected &&
         attempt_outcome != placement::outcome::replaced;
}

next_step decide_next(const request_progress& progress, placement::outcome attempt_outcome) {
  const bool is_unsent = attempt_outcome == placement::outcome::not_connected;
  const bool has_budget = is_unsent || progress.has_budget;
  if (progress.is_response_started) {
    return continue_response(progress, has_budget);
  }
  const bool may_dispatch = progress.is_permitted && progress.has_time &&
                            progress.dispatches < max_dispatches && has_budget;
  const bool has_run = progress.runs > 0;
  const bool may_repeat = !has_run || (progress.is_idempotent && progress.runs < progress.max_runs);
  if (may_repeat && may_dispatch) {
    return next_step::try_again;
  }
  if (progress.has_error_response) {
    return next_step::pass_failure;
  }
  return has_run ? next_step::fail : next_step::refuse;
}

bool may_abandon_attempt(const request_progress& progress) {
  request_progress after = progress;
  ++after.runs;
  const next_step step = decide_next(after, placement::outcome::broken);
  return step == next_step::try_again || step == next_step::resume;
}

}  // namespace fuchsiaspring::node
