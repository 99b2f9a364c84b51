// Updates the speed, health and reachability of replicas from the outcomes of requests.
#include <algorithm>
#include <cmath>

#include "fuchsiaspring/placement/placer.h"
#include "placement/state.h"

namespace fuchsiaspring::placement {
namespace {

using internal::replica_state;
using internal::service_state;
using std::chrono::milliseconds;

constexpr base::duration min_backoff = milliseconds(200);
constexpr base::duration max_backoff = milliseconds(1600);
constexpr base::duration min_ejection = milliseconds(700);
constexpr base::duration max_ejection = milliseconds(5000);
// At most this share of a service's replicas is ejected for failures: when most replicas fail, the
// cause is elsewhere.
constexpr double max_ejected_share = 0.5;
// A replica whose address is used by another replica has stopped, but stays listed until its entry
// expires, which takes a few seconds.
constexpr base::duration replaced_exclusion = std::chrono::seconds(10);
constexpr double failure_weight = 0.15;  // of one outcome in the moving average
constexpr double min_samples = 6;        // before a moving average is used
constexpr double bad_failure_share = 0.3;
// A replica is ejected only if its failure share is at least this multiple of the mean failure
// share of the service's other replicas.
constexpr double min_ratio_to_others = 2;
constexpr std::uint32_t max_consecutive_failures = 4;
constexpr double first_token_weight = 0.05;  // of one sample in the moving average
// A stream counts as exposed to long prefills if the decaying count of them is at least this.
constexpr double min_exposed_long_prefills = 0.4;
constexpr double gap_weight = 0.04;  // of one stream in the moving average
bool is_failure(outcome result) {
  return result == outcome::server_error || result == outcome::broken ||
         result == outcome::silent || result == outcome::rejected;
}

void observe(internal::measured_first_token& measured, double elapsed_ms) {
  measured.samples += 1;
  const double weight = std::max(first_token_weight, 1 / measured.samples);
  measured.mean_ms += weight * (elapsed_ms - measured.mean_ms);
}

}  // namespace

base::duration placer::mean_first_token_time(const request_profile& request) const {
  const auto service = m_services.find(request.service);
  if (service == m_services.end()) {
    return {};
  }
  const internal::measured_first_token& measured =
      request.is_long_prompt ? service->second->long_prompts : service->second->short_prompts;
  return measured.samples < min_samples ? base::duration{}
                                        : base::from_seconds(measured.mean_ms / 1000);
}

void placer::on_first_event(std::string_view replica_id, const choice& chosen,
                            base::duration elapsed, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr) {
    return;
  }
  state->prefill_tokens -= std::min(state->prefill_tokens, chosen.prefill_tokens);
  if (state->service == nullptr) {
    return;
  }
  const double elapsed_ms = 1000 * base::to_seconds(elapsed);
  observe(chosen.is_long_prompt ? state->service->long_prompts : state->service->short_prompts,
          elapsed_ms);
  const double factor =
      chosen.shared_speed.value_or(state->own_speed.estimate(now)) * chosen.load_factor;
  const double expected_ms = std::max(1.0, 1000 * base::to_seconds(chosen.expected_wait) / factor);
  record_speed(*state, chosen, elapsed_ms / expected_ms, now);
  // Prompt tokens before the first token, derived from the expected wait at the dispatch.
  internal::first_token_model& model = state->service->first_token;
  const double tokens = state->service->profile.is_engine
                            ? std::max(0.0, (expected_ms - model.expect(0)) / model.ms_per_token())
                            : 0;
  model.observe(tokens, elapsed_ms);
}

void placer::on_stream_end(std::string_view replica_id, base::duration gap_target,
                           base::duration longest_gap, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr || state->service == nullptr || gap_target.count() == 0 ||
      internal::recent_long_prefills(*state, now) < min_exposed_long_prefills) {
    return;
  }
  internal::gap_statistics& statistics = state->service->gaps[gap_target];
  statistics.samples += 1;
  const double weight = std::max(gap_weight, 1 / statistics.samples);
  statistics.missed_share +=
      weight * ((longest_gap > gap_target ? 1.0 : 0.0) - statistics.missed_share);
}

void placer::on_end(std::string_view replica_id, const choice& chosen, outcome result,
                    bool had_first_event, base::time_point now) {
  replica_state* state = find(replica_id);
  if (state == nullptr) {
    return;
  }
  state->running -= std::min<std::uint32_t>(state->running, 1);
  state->gap_sensitivity = std::max(0.0, state->gap_sensitivity - chosen.gap_sensitivity);
  if (state->service != nullptr) {
    count_running(*state->service, chosen.is_long_prompt, -1);
  }
  if (!had_first_event) {
    state->prefill_tokens -= std::min(state->prefill_tokens, chosen.prefill_tokens);
  }
  update_health(*state, result, now);
}

void placer::update_health(replica_state& state, outcome result, base::time_point now) {
  if (result == outcome::cancelled || state.service == nullptr) {
    return;
  }
  if (result == outcome::replaced) {
    state.down_until = now + replaced_exclusion;
    state.cached.clear();
    return;
  }
  if (result == outcome::not_connected) {
    state.backoff = std::clamp(state.backoff * 2, min_backoff, max_backoff);
    state.down_until = now + state.backoff;
    state.was_unreachable = true;
    return;
  }
  if (state.was_unreachable) {
    // The replica may have restarted before the published list shows it.
    state.was_unreachable = false;
    state.backoff = {};
    state.cached.clear();
    state.cold_until = std::max(state.cold_until, now + state.service->profile.cold_start);
  }
  if (result == outcome::held) {
    return;  // says nothing about the replica's health
  }
  state.samples += 1;
  const bool failed = is_failure(result);
  state.failure_share += failure_weight * ((failed ? 1.0 : 0.0) - state.failure_share);
  if (!failed) {
    state.consecutive_failures = 0;
    state.ejection_time = {};
    return;
  }
  ++state.consecutive_failures;
  double failure_share_sum = 0;
  std::size_t other_count = 0;
  for (const std::string& id : state.service->replica_ids) {
    const replica_state* other = find(id);
    if (other == nullptr || other == &state) {
      continue;
    }
    failure_share_sum += other->failure_share;
    ++other_count;
  }
  const double mean_other_share =
      other_count == 0 ? 1 : failure_share_sum / static_cast<double>(other_count);
  const bool is_bad = state.consecutive_failures >= max_consecutive_failures ||
                      (state.samples >= min_samples && state.failure_share > bad_failure_share);
  if (!is_bad || state.failure_share < min_ratio_to_others * mean_other_share ||
      !may_eject(*state.service, now)) {
    return;
  }
  state.ejection_time = std::clamp(state.ejection_time * 2, min_ejection, max_ejection);
  state.ejected_until = now + state.ejection_time;
  state.consecutive_failures = 0;
  state.failure_share = bad_failure_share / 2;
}

bool placer::may_eject(const service_state& service, base::time_point now) const {
  std::size_t ejected = 0;
  for (const std::string& id : service.replica_ids) {
    const replica_state* state = find(id);
    if (state != nullptr && now < state->ejected_until) {
      ++ejected;
    }
  }
  return static_cast<double>(ejected + 1) <=
         max_ejected_share * static_cast<double>(service.replica_ids.size());
}

}  // namespace fuchsiaspring::placement
